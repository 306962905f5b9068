//! One listening HTTP port: each request runs on a thread of its own, up to a limit.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use slog::{Logger, error};
use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::{Request, Server};

use super::response::refuse;
use crate::timer::Timer;

/// Connections that the operating system holds until they are taken.
const BACKLOG: i32 = 1024;
/// Bytes read from a body at once.
const READ_BYTES: usize = 64 * 1024;
/// When a caller that met a full VM may come back.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// A bound port whose requests run.
#[derive(Clone, Debug)]
pub struct HttpServer {
    address: SocketAddr,
    in_progress: Arc<AtomicUsize>,
}

/// What answers a request.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

impl HttpServer {
    /// Binds the port and starts to take requests, at most `limit` at once.
    ///
    /// # Errors
    /// Fails where the port cannot be bound or no thread can be started.
    pub fn bind(
        address: SocketAddr,
        idle: Duration,
        limit: usize,
        timer: &Timer,
        log: &Logger,
        handler: Handler,
    ) -> Result<Self> {
        let listener =
            listen(address, idle).with_context(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(|error| anyhow!("{error}"))?;
        let in_progress = Arc::new(AtomicUsize::new(0));
        keep_accepting(address, idle, timer)?;
        let front = Self {
            address,
            in_progress: Arc::clone(&in_progress),
        };
        let log = log.clone();
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || {
                loop {
                    match server.recv() {
                        Ok(request) => start(request, limit, &in_progress, &handler),
                        Err(error) => {
                            error!(log, "A port takes no more requests"; "error" => %error);
                            return;
                        }
                    }
                }
            })?;
        Ok(front)
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests are in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }
}

/// Listens with the options that accepted connections inherit: no delay, and an idle limit.
fn listen(address: SocketAddr, idle: Duration) -> Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(idle))?;
    socket.set_write_timeout(Some(idle))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Connects now and then to the own port.
///
/// The idle limit holds for the wait for a connection too, and the HTTP library ends for good when
/// that wait times out. The platform offers no way to set it on accepted connections alone.
fn keep_accepting(address: SocketAddr, idle: Duration, timer: &Timer) -> Result<()> {
    let ticks = timer.every(idle / 4);
    thread::Builder::new()
        .name("keep-accepting".to_owned())
        .spawn(move || {
            while ticks.recv().is_ok() {
                drop(TcpStream::connect_timeout(&address, idle));
            }
        })?;
    Ok(())
}

/// Counts a request for as long as it runs.
struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn start(request: Request, limit: usize, in_progress: &Arc<AtomicUsize>, handler: &Handler) {
    let full = in_progress.fetch_add(1, Ordering::Relaxed) >= limit;
    let slot = Slot(Arc::clone(in_progress));
    if full {
        refuse(
            request,
            None,
            &Refusal::not_run(RefusalReason::VmLimit, Some(FULL_RETRY)),
        );
        return;
    }
    let handler = Arc::clone(handler);
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .spawn(move || {
            handler(request);
            drop(slot);
        });
    // The library answers a request that was dropped with an error by itself.
    drop(spawned);
}

/// Reads a body of at most `most` bytes that must be whole in `time`.
///
/// # Errors
/// Returns why the body is refused.
pub fn read_body(request: &mut Request, most: usize, time: Duration) -> Result<Vec<u8>, Refusal> {
    let too_large = Refusal::not_run(RefusalReason::BodyTooLarge, None);
    if request.body_length().is_some_and(|length| length > most) {
        return Err(too_large);
    }
    let expected = request.body_length();
    let start = Instant::now();
    let mut body = Vec::with_capacity(expected.unwrap_or_default());
    let mut chunk = vec![0; READ_BYTES];
    loop {
        let read = request.as_reader().read(&mut chunk);
        let slow = Refusal::not_run(RefusalReason::SlowBody, None);
        match read {
            Ok(0) => break,
            Ok(length) => body.extend_from_slice(&chunk[..length]),
            Err(_) => return Err(slow),
        }
        if body.len() > most {
            return Err(too_large);
        }
        if start.elapsed() > time {
            return Err(slow);
        }
    }
    if expected.is_some_and(|length| length != body.len()) {
        return Err(Refusal::not_run(RefusalReason::BadRequest, None));
    }
    Ok(body)
}
