//! HTTP server that runs each request on its own thread, up to a limit.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use slog::{Logger, debug, error, warn};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use super::request::{InProgressGuard, ReplyBody, Request};
use super::response::refuse;
use crate::constants::ACCEPT_RETRY_DELAY;

/// Length of the accept queue, in connections.
const BACKLOG: i32 = 1024;
/// Largest head of a request, and most bytes that a connection reads ahead.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most connections at once; later ones are closed at once.
///
/// With `MAX_HEAD_BYTES` each, they stay below a fifth of the memory of the smallest VM.
const MAX_CONNECTIONS: usize = 1536;
/// Interval at which a server that closes looks for open connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Most bytes of a refused body that are read.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Longest time for which a refused body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay for callers while a limit of the VM is reached.
pub(super) const LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle of an HTTP server that accepts requests until the process ends.
#[derive(Clone, Debug)]
pub struct HttpServer {
    address: SocketAddr,
    in_progress: Arc<AtomicUsize>,
    /// Open connections.
    connections: Arc<AtomicUsize>,
    /// Set to close each connection after the response in progress.
    closing: watch::Sender<bool>,
}

/// Handles a request and sends its response.
pub type Handler = Arc<dyn Fn(Request) + Send + Sync>;

/// What the connections of a server share.
struct Shared {
    handler: Handler,
    idle_timeout: Duration,
    /// Most requests in progress.
    limit: usize,
    in_progress: Arc<AtomicUsize>,
    /// Open connections, at most `MAX_CONNECTIONS`.
    connections: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
    log: Logger,
}

impl HttpServer {
    /// Binds the address and serves at most `limit` requests at once.
    ///
    /// Requests beyond the limit are refused. A connection is closed when its caller sends no
    /// head, no part of a body, or takes none of the response for `idle_timeout`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound or a thread cannot be started.
    pub fn bind(
        address: SocketAddr,
        idle_timeout: Duration,
        limit: usize,
        log: &Logger,
        handler: Handler,
    ) -> Result<Self> {
        let listener =
            open_listener(address).with_context(|| format!("cannot listen on {address}"))?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let in_progress = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let (closing, is_closing) = watch::channel(false);
        let shared = Arc::new(Shared {
            handler,
            idle_timeout,
            limit,
            in_progress: Arc::clone(&in_progress),
            connections: Arc::clone(&connections),
            closing: is_closing,
            log: log.clone(),
        });
        thread::Builder::new()
            .name("accept".to_owned())
            .spawn(move || runtime.block_on(accept_connections(listener, shared)))?;
        Ok(Self {
            address,
            in_progress,
            connections,
            closing,
        })
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

    /// Closes each connection after the response in progress; waits for at most `patience`.
    ///
    /// A response that is no longer in progress may still be on its way to the socket.
    pub fn close(&self, patience: Duration) {
        self.closing.send_replace(true);
        let start = Instant::now();
        while self.connections.load(Ordering::Relaxed) > 0 && start.elapsed() < patience {
            thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }
}

/// Opens a listening socket.
fn open_listener(address: SocketAddr) -> Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            error!(shared.log, "HTTP server cannot accept"; "error" => %error);
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (guard, before) = InProgressGuard::new(&shared.connections);
                if before < MAX_CONNECTIONS {
                    tokio::spawn(serve_connection(Arc::clone(&shared), stream, guard));
                } else {
                    debug!(shared.log, "Connection closed: too many are open");
                }
            }
            Err(error) => {
                warn!(shared.log, "Failed to accept connection"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, _guard: InProgressGuard) {
    if let Err(error) = set_tcp_options(&stream, shared.idle_timeout) {
        debug!(shared.log, "Failed to set socket options"; "error" => %error);
    }
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(respond(&shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.idle_timeout)
        .title_case_headers(true)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut closing = shared.closing.clone();
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = async { drop(closing.wait_for(|closing| *closing).await) } => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(shared.log, "Connection failed"; "error" => %error);
    }
}

/// Sets `TCP_NODELAY`, and the time after which a caller that takes no bytes counts as gone.
fn set_tcp_options(stream: &TcpStream, idle_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(idle_timeout))
}

/// Runs the handler on a new thread and waits for its response.
async fn respond(shared: &Shared, request: hyper::Request<Incoming>) -> Response<ReplyBody> {
    let (guard, before) = InProgressGuard::new(&shared.in_progress);
    let (reply, response) = oneshot::channel();
    let request = Request::new(request, reply, shared.idle_timeout, guard);
    if before >= shared.limit {
        let refusal = Refusal::not_run(RefusalReason::VmLimit, Some(LIMIT_RETRY_AFTER));
        refuse(request, None, &refusal);
    } else {
        let handler = Arc::clone(&shared.handler);
        let spawned = thread::Builder::new()
            .name("request".to_owned())
            .spawn(move || handler(request));
        // If no thread could be started, the request is dropped without a response.
        drop(spawned);
    }
    if let Ok(reply) = response.await {
        discard(reply.unread).await;
        return reply.response;
    }
    let (guard, _) = InProgressGuard::new(&shared.in_progress);
    let mut response = Response::new(ReplyBody::new(Bytes::new(), guard));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// Reads the rest of a body that was refused, so that its sender comes to read the response.
async fn discard(mut body: Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    let discarded = timeout(DISCARD_TIMEOUT, async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(length);
            if left == 0 {
                return;
            }
        }
    });
    drop(discarded.await);
}
