//! HTTP server that runs each request on its own thread, up to a limit.

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
use crate::memory_budget::{MemoryBudget, MemoryShare};
use crate::timer::Timer;

/// Length of the accept queue, in connections.
const BACKLOG: i32 = 1024;
/// Size of the buffer for reading a body.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Copies of a body that are held at once: as received, as parsed and as sent.
const BODY_COPIES: usize = 3;
/// Retry delay for callers while the limit of requests in progress is reached.
const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle of an HTTP server that accepts requests until the process ends.
#[derive(Clone, Debug)]
pub struct HttpServer {
    address: SocketAddr,
    in_progress: Arc<AtomicUsize>,
}

/// Handles a request and sends its response.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

impl HttpServer {
    /// Binds the address and serves at most `limit` requests at once.
    ///
    /// Requests beyond the limit are refused. Reads and writes on a connection time out after
    /// `idle_timeout`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn bind(
        address: SocketAddr,
        idle_timeout: Duration,
        limit: usize,
        timer: &Timer,
        log: &Logger,
        handler: Handler,
    ) -> Result<Self> {
        let listener = open_listener(address, idle_timeout)
            .with_context(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(|error| anyhow!("{error}"))?;
        let in_progress = Arc::new(AtomicUsize::new(0));
        keep_accepting(address, idle_timeout, timer)?;
        let http_server = Self {
            address,
            in_progress: Arc::clone(&in_progress),
        };
        let log = log.clone();
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || {
                loop {
                    match server.recv() {
                        Ok(request) => spawn_handler(request, limit, &in_progress, &handler),
                        Err(error) => {
                            error!(log, "HTTP server stopped accepting"; "error" => %error);
                            return;
                        }
                    }
                }
            })?;
        Ok(http_server)
    }

    /// Returns the bound address, with the port that was chosen if it was zero.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }
}

/// Opens a listening socket; accepted connections inherit `TCP_NODELAY` and the idle timeout.
fn open_listener(address: SocketAddr, idle_timeout: Duration) -> Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(idle_timeout))?;
    socket.set_write_timeout(Some(idle_timeout))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Connects to its own port regularly, so that accepting never times out.
///
/// The socket timeout also applies to `accept`, and the HTTP library stops for good once `accept`
/// times out. There is no way to set the timeout on accepted connections only.
fn keep_accepting(address: SocketAddr, idle_timeout: Duration, timer: &Timer) -> Result<()> {
    let ticks = timer.every(idle_timeout / 4);
    thread::Builder::new()
        .name("keep-accepting".to_owned())
        .spawn(move || {
            while ticks.recv().is_ok() {
                drop(TcpStream::connect_timeout(&address, idle_timeout));
            }
        })?;
    Ok(())
}

/// Decrements the number of requests in progress when dropped.
struct InProgressGuard(Arc<AtomicUsize>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs the handler on a new thread; refuses the request beyond the limit.
fn spawn_handler(
    request: Request,
    limit: usize,
    in_progress: &Arc<AtomicUsize>,
    handler: &Handler,
) {
    let limit_reached = in_progress.fetch_add(1, Ordering::Relaxed) >= limit;
    let guard = InProgressGuard(Arc::clone(in_progress));
    if limit_reached {
        refuse(
            request,
            None,
            &Refusal::not_run(RefusalReason::VmLimit, Some(LIMIT_RETRY_AFTER)),
        );
        return;
    }
    let handler = Arc::clone(handler);
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .spawn(move || {
            handler(request);
            drop(guard);
        });
    // If no thread could be started, the request is dropped and the library answers with an error.
    drop(spawned);
}

/// Whole body of a request, with the memory that it takes.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The body.
    pub bytes: Vec<u8>,
    /// Memory of the body and of the copies that are made of it.
    pub share: MemoryShare,
}

/// Reads a body of at most `max_bytes`, which must arrive completely within `timeout`.
///
/// Its memory, and that of its copies, is taken from `budget`.
///
/// # Errors
/// Returns a refusal if the body is too large, arrives too slowly or ends early, or if other bodies
/// take the budget; a failed read counts as too slow.
pub fn read_body(
    request: &mut Request,
    max_bytes: usize,
    timeout: Duration,
    budget: &Arc<MemoryBudget>,
) -> Result<ReceivedBody, Refusal> {
    let too_large = Refusal::not_run(RefusalReason::BodyTooLarge, None);
    if request
        .body_length()
        .is_some_and(|length| length > max_bytes)
    {
        return Err(too_large);
    }
    let stated_length = request.body_length();
    let start = Instant::now();
    let mut share = MemoryShare::new(budget);
    let mut body = Vec::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = request.as_reader().read(&mut chunk);
        let slow = Refusal::not_run(RefusalReason::SlowBody, None);
        match read {
            Ok(0) => break,
            Ok(length) => {
                let no_memory = Refusal::not_run(RefusalReason::VmLimit, Some(LIMIT_RETRY_AFTER));
                let taken = share.grow(length * BODY_COPIES);
                taken.map_err(|_exhausted| no_memory)?;
                body.extend_from_slice(&chunk[..length]);
            }
            Err(_) => return Err(slow),
        }
        if body.len() > max_bytes {
            return Err(too_large);
        }
        if start.elapsed() > timeout {
            return Err(slow);
        }
    }
    if stated_length.is_some_and(|length| length != body.len()) {
        return Err(Refusal::not_run(RefusalReason::BadRequest, None));
    }
    Ok(ReceivedBody { bytes: body, share })
}
