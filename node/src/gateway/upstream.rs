//! HTTP/1.1 connections to backend servers, pooled for reuse.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::sockets;

/// Timeout for opening a TCP connection to a backend server.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a new connection must stay open to be trusted.
const HOLD_TIME: Duration = Duration::from_millis(20);
/// Largest head of a response.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Informational responses to one request, such as 102.
const MAX_INFORMATIONAL: u32 = 16;
/// Time to keep an idle connection if the server sends no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest time to keep an idle connection, whatever the server allows.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Fraction of the server's keep-alive timeout for which an idle connection is reused.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Maximum idle connections to one server address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Connection to a backend server; dropping it closes the socket.
#[derive(Debug)]
pub(super) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    /// Whether no request was sent on it before.
    pub(super) is_new: bool,
    /// Task that drives the connection's I/O.
    driver: AbortHandle,
}

/// Why sending a request returned no response head, with the HTTP library's error text.
#[derive(Debug)]
#[expect(dead_code, reason = "the details are logged through Debug")]
pub(super) enum SendFailure {
    /// The request was never sent.
    NotSent(String),
    /// The request may have reached the server.
    MayHaveRun(String),
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by server address.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// Address of this VM, from which connections are opened.
    pub(super) local_ip: IpAddr,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool of a VM with this address.
    pub(super) fn new(local_ip: IpAddr) -> Self {
        Self {
            local_ip,
            idle: RefCell::default(),
        }
    }

    /// Takes an idle connection or opens one; with `require_new`, always opens one.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        require_new: bool,
    ) -> Result<Connection, String> {
        let reused = if require_new {
            None
        } else {
            self.take_idle(address)
        };
        match reused {
            Some(connection) => Ok(connection),
            None => open_connection(self.local_ip, address).await,
        }
    }

    /// Keeps a connection whose response was read completely, up to `MAX_IDLE_CONNECTIONS`.
    ///
    /// `server_timeout` is the keep-alive timeout that the server sent, if any.
    pub(super) fn put_back(&self, mut connection: Connection, server_timeout: Option<Duration>) {
        let idle_timeout = server_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |server_timeout| {
            server_timeout
                .min(MAX_IDLE_TIMEOUT)
                .mul_f64(IDLE_TIMEOUT_FRACTION)
        });
        let expires_at = Instant::now() + idle_timeout;
        connection.is_new = false;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        connections.retain(IdleConnection::is_usable);
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(IdleConnection::is_usable);
        connections.pop().map(|idle| idle.connection)
    }
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        let sender = self.connection.sender.as_ref();
        self.expires_at > Instant::now() && sender.is_some_and(SendRequest::is_ready)
    }
}

impl Connection {
    /// Whether a new connection is still open after `HOLD_TIME`.
    pub(super) async fn stays_open(&self) -> bool {
        sleep(HOLD_TIME).await;
        self.sender
            .as_ref()
            .is_some_and(|sender| !sender.is_closed())
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, SendFailure> {
        let Some(sender) = &mut self.sender else {
            return Err(SendFailure::NotSent("connection is closed".to_owned()));
        };
        let too_many = limit_informational(&mut request);
        let sent = tokio::select! {
            sent = sender.send_request(request) => sent,
            () = too_many.notified() => {
                let detail = "too many informational responses";
                return Err(SendFailure::MayHaveRun(detail.to_owned()));
            }
        };
        sent.map_err(|error| {
            let detail = error.to_string();
            if error.is_canceled() {
                SendFailure::NotSent(detail)
            } else {
                SendFailure::MayHaveRun(detail)
            }
        })
    }
}

/// Notifies once a request has got more than `MAX_INFORMATIONAL` informational responses.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notify, count) = (Arc::clone(&too_many), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_response| {
        if count.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    too_many
}

impl Drop for Connection {
    /// Closes the socket at once, so the server can cancel a request in progress.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection from an address of this VM.
pub(super) async fn connect_from(
    local_ip: IpAddr,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if local_ip.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    socket.connect(address).await
}

async fn open_connection(local_ip: IpAddr, address: SocketAddr) -> Result<Connection, String> {
    let connecting = timeout(UPSTREAM_CONNECT_TIMEOUT, connect_from(local_ip, address)).await;
    let stream = connecting
        .map_err(|_elapsed| "connection attempt timed out".to_owned())?
        .map_err(|error| error.to_string())?;
    sockets::set_tcp_options(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let driver = spawn_local(async move {
        // An error also reaches the sender, so it is ignored here.
        drop(connection.await);
    });
    Ok(Connection {
        sender: Some(sender),
        address,
        is_new: true,
        driver: driver.abort_handle(),
    })
}
