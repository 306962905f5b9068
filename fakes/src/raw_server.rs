//! A server whose answers are written byte by byte, also such that no sound server sends.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use socket2::SockRef;

/// Receive buffer of a server that answers early, in bytes.
const EARLY_BUFFER_BYTES: usize = 8 * 1024;

/// A request as far as an answer depends on it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawRequest {
    /// Path and query of the request line.
    pub path: String,
    /// Attempt id that the caller chose.
    pub attempt: String,
    /// Requests on the same connection before this one.
    pub earlier: usize,
    /// Addresses of the engines that the sender names as helpers, with reservation ids.
    pub helpers: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Handle of a running raw server.
#[derive(Debug)]
pub struct RawServer {
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Attempt ids of the requests that arrived whole, oldest first.
    attempts: Arc<Mutex<Vec<String>>>,
}

impl RawServer {
    /// Listens on a free loopback port; `answer` runs for each request, on its connection's thread.
    ///
    /// An error that `answer` returns closes the connection.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn bind<F>(answer: F) -> std::io::Result<Self>
    where
        F: Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
    {
        Self::listen(answer, true)
    }

    /// Listens as `bind` does; `answer` runs once the head of a request has arrived.
    ///
    /// Little of the body fits into the buffers of the connection, and none of it is read.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn bind_early<F>(answer: F) -> std::io::Result<Self>
    where
        F: Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
    {
        Self::listen(answer, false)
    }

    fn listen<F>(answer: F, reads_body: bool) -> std::io::Result<Self>
    where
        F: Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        if !reads_body {
            SockRef::from(&listener).set_recv_buffer_size(EARLY_BUFFER_BYTES)?;
        }
        let address = listener.local_addr()?;
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let (answer, recorded) = (Arc::new(answer), Arc::clone(&attempts));
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let (answer, recorded) = (Arc::clone(&answer), Arc::clone(&recorded));
                thread::spawn(move || {
                    // I/O errors mean that a side has closed the connection.
                    drop(serve(connection, &recorded, answer.as_ref(), reads_body));
                });
            }
        });
        Ok(Self { address, attempts })
    }

    /// Returns the attempt ids of the requests that arrived whole, oldest first.
    #[must_use]
    pub fn attempts(&self) -> Vec<String> {
        let attempts = self.attempts.lock();
        attempts.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn serve(
    mut connection: TcpStream,
    recorded: &Mutex<Vec<String>>,
    answer: &dyn Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()>,
    reads_body: bool,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(connection.try_clone()?);
    let mut earlier = 0;
    while let Some(request) = read_request(&mut reader, reads_body)? {
        let request = RawRequest { earlier, ..request };
        let mut attempts = recorded.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.push(request.attempt.clone());
        drop(attempts);
        answer(&mut connection, &request)?;
        earlier += 1;
    }
    Ok(())
}

/// Reads a request, with its body if `reads_body`; returns `None` if the connection has closed.
fn read_request(
    reader: &mut BufReader<TcpStream>,
    reads_body: bool,
) -> std::io::Result<Option<RawRequest>> {
    let (mut request, mut length) = (RawRequest::default(), 0);
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let path = start.split(' ').nth(1).unwrap_or_default();
    path.clone_into(&mut request.path);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line == "\r\n" {
            break;
        }
        match line.trim().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("x-merlinrudder-attempt-id") => {
                value.trim().clone_into(&mut request.attempt);
            }
            Some((name, value)) if name.eq_ignore_ascii_case("x-merlinrudder-helpers") => {
                value.trim().clone_into(&mut request.helpers);
            }
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().unwrap_or(0);
            }
            _ => {}
        }
    }
    if reads_body {
        reader.take(length).read_to_end(&mut request.body)?;
    }
    Ok(Some(request))
}
