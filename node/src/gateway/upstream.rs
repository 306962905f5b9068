//! Connections to backend servers, kept for further requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::sockets;

/// Time to open a connection to a backend server.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Time for which an idle connection is kept where the server states none.
const USUAL_KEEP: Duration = Duration::from_millis(2500);
/// Part of the server's own idle time after which a connection is not used again.
const KEEP_PART: f64 = 0.6;
/// Most idle connections to one server.
const MAX_IDLE: usize = 8;

/// A connection, ended when this is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: Option<SendRequest<Full<Bytes>>>,
    address: SocketAddr,
    task: AbortHandle,
}

/// Why no answer's head came.
#[derive(Debug)]
#[expect(dead_code, reason = "the details go to the log by way of Debug")]
pub(super) enum SendFailure {
    /// The request was never sent.
    NotSent(String),
    /// It may have reached the server.
    MayHaveRun(String),
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by server address.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection or opens one; `fresh` asks for one that nothing was sent on.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Connection, String> {
        let kept = if fresh { None } else { self.take(address) };
        match kept {
            Some(connection) => Ok(connection),
            None => open(address).await,
        }
    }

    /// Keeps a connection whose answer came whole; `stated` is the server's idle time.
    pub(super) fn keep(&self, connection: Connection, stated: Option<Duration>) {
        let keep = stated.map_or(USUAL_KEEP, |stated| stated.mul_f64(KEEP_PART));
        let until = Instant::now() + keep;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.address).or_default();
        kept.retain(Idle::is_usable);
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, until });
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        kept.retain(Idle::is_usable);
        kept.pop().map(|idle| idle.connection)
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        let sender = self.connection.sender.as_ref();
        self.until > Instant::now() && sender.is_some_and(SendRequest::is_ready)
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, SendFailure> {
        let Some(sender) = &mut self.sender else {
            return Err(SendFailure::NotSent("the connection is closed".to_owned()));
        };
        sender.send_request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_canceled() {
                SendFailure::NotSent(detail)
            } else {
                SendFailure::MayHaveRun(detail)
            }
        })
    }
}

impl Drop for Connection {
    /// Closes the socket at once: the server sees the end of the request that it works on.
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn open(address: SocketAddr) -> Result<Connection, String> {
    let connecting = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    let stream = connecting
        .map_err(|_elapsed| "connecting took too long".to_owned())?
        .map_err(|error| error.to_string())?;
    sockets::tune(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    let driver = spawn_local(async move {
        // Its end shows at the sender, with the reason.
        drop(connection.await);
    });
    Ok(Connection {
        sender: Some(sender),
        address,
        task: driver.abort_handle(),
    })
}
