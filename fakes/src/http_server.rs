//! A small HTTP server that can be made to die like a process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Time between two looks at whether the server is to die.
const DEATH_LOOK: Duration = Duration::from_millis(20);

/// Whether a stand-in is dead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Life(Arc<AtomicBool>);

impl Life {
    pub(crate) fn end(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Serves requests, each on a thread of its own, until the life is over; returns the address.
pub(crate) fn serve(
    address: SocketAddr,
    life: Life,
    handler: impl Fn(Request) + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let server = Server::http(address).map_err(io::Error::other)?;
    let bound = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| io::Error::other("no IP address"))?;
    thread::Builder::new()
        .name("fake".to_owned())
        .spawn(move || {
            while !life.is_over() {
                if let Ok(Some(request)) = server.recv_timeout(DEATH_LOOK) {
                    let handler = handler.clone();
                    thread::spawn(move || handler(request));
                }
            }
            // Dropping the server closes the port, as a dead process does.
        })?;
    Ok(bound)
}

/// Reads a body whole; what cannot be read is empty.
pub(crate) fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    // A body that broke off is not valid JSON and is refused as such.
    drop(request.as_reader().read_to_end(&mut body));
    body
}

/// Sends a JSON answer.
pub(crate) fn send_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes(&b"Content-Type"[..], &b"application/json"[..]) {
        response.add_header(header);
    }
    drop(request.respond(response));
}

/// Writes one chunk of a chunked answer.
pub(crate) fn write_chunk(writer: &mut dyn Write, text: &str) -> io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}
