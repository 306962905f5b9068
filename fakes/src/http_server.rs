//! A small HTTP server that can be stopped abruptly, like a killed process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Longest time until a killed server notices and closes its port.
const KILL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shared flag that stops all threads of a fake, as if it were killed.
#[derive(Clone, Debug, Default)]
pub(crate) struct KillFlag(Arc<AtomicBool>);

impl KillFlag {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Serves each request on its own thread until `killed` is set; returns the bound address.
pub(crate) fn serve(
    address: SocketAddr,
    killed: KillFlag,
    handler: impl Fn(Request) + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let server = Server::http(address).map_err(io::Error::other)?;
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| io::Error::other("HTTP server is not bound to an IP address"))?;
    thread::Builder::new()
        .name("fake".to_owned())
        .spawn(move || {
            while !killed.is_set() {
                if let Ok(Some(request)) = server.recv_timeout(KILL_POLL_INTERVAL) {
                    let handler = handler.clone();
                    thread::spawn(move || handler(request));
                }
            }
            // Dropping the server closes the port, as the end of a process would.
        })?;
    Ok(bound)
}

/// Reads the request body; after a read error, returns the bytes that arrived before it.
pub(crate) fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    // A truncated body is not valid JSON, so that the JSON endpoints refuse it.
    drop(request.as_reader().read_to_end(&mut body));
    body
}

/// Sends a JSON response; ignores a client that has disconnected.
pub(crate) fn send_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes(&b"Content-Type"[..], &b"application/json"[..]) {
        response.add_header(header);
    }
    drop(request.respond(response));
}

/// Writes and flushes one chunk of a response with chunked transfer encoding.
pub(crate) fn write_chunk(writer: &mut dyn Write, text: &str) -> io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}
