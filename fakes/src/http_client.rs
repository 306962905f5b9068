//! A minimal HTTP/1.1 client that reports truncated responses instead of failing.
//!
//! The functions use one connection for each request; a `Connection` is kept for several.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::backend::STREAM_EVENTS;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without data while a response is read.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A response as far as it arrived; the default value stands for no response.
#[derive(Clone, Debug, Default)]
pub struct HttpResponse {
    /// Status code; 0 if no response arrived.
    pub status: u16,
    /// Status line and headers in lower case, with their line ends.
    pub head: String,
    /// The body; if cut short, the complete chunks, or nothing without chunked encoding.
    pub body: String,
    /// Whether the body is complete according to its framing.
    pub whole: bool,
}

impl HttpResponse {
    /// Returns the ids of the server-sent events in the body, in order of arrival.
    #[must_use]
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Whether a stream is complete and has each event once and in order.
    #[must_use]
    pub fn is_whole_stream(&self) -> bool {
        self.status == 200 && self.whole && self.event_ids().into_iter().eq(1..=STREAM_EVENTS)
    }
}

/// Sends one request; without a response, the returned status is 0.
///
/// `method_path` is the method and path, as in `GET /path`. Each line of `headers` ends with
/// `\r\n`.
#[must_use]
pub fn send_request(
    address: SocketAddr,
    method_path: &str,
    headers: &str,
    body: &str,
) -> HttpResponse {
    try_send(address, method_path, headers, body).unwrap_or_default()
}

/// Sends a request of the first customer in `sample_configuration`, with a 10 s deadline.
#[must_use]
pub fn send_customer_request(
    address: SocketAddr,
    method_path: &str,
    attempt_id: &str,
) -> HttpResponse {
    send_request_with_key(address, method_path, attempt_id, "k1")
}

/// Sends a request with an API key and a 10 s deadline.
#[must_use]
pub fn send_request_with_key(
    address: SocketAddr,
    method_path: &str,
    attempt_id: &str,
    key: &str,
) -> HttpResponse {
    send_request_with_headers(address, method_path, attempt_id, key, "")
}

/// Sends a request with an API key, a 10 s deadline and further headers.
///
/// Each line of `headers` ends with `\r\n`.
#[must_use]
pub fn send_request_with_headers(
    address: SocketAddr,
    method_path: &str,
    attempt_id: &str,
    key: &str,
    headers: &str,
) -> HttpResponse {
    let headers = caller_headers(attempt_id, key) + headers;
    send_request(address, method_path, &headers, "body")
}

/// Returns the headers of a caller's request with a 10 s deadline.
#[must_use]
pub fn caller_headers(attempt_id: &str, key: &str) -> String {
    format!(
        "X-Merlinrudder-Attempt-Id: {attempt_id}\r\nX-Merlinrudder-Deadline-Ms: 10000\r\n\
         Authorization: Bearer {key}\r\n"
    )
}

fn try_send(
    address: SocketAddr,
    method_path: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<HttpResponse> {
    Connection::open(address)?.exchange(method_path, headers, body)
}

/// A connection that is kept for several requests.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let reader = BufReader::new(stream);
        Ok(Self { reader })
    }

    /// Sends a request of the first customer in `sample_configuration`, with a 10 s deadline.
    ///
    /// Each line of `headers` ends with `\r\n`. Returns whether the connection can be used again.
    pub fn send_customer_request(
        &mut self,
        method_path: &str,
        attempt_id: &str,
        headers: &str,
    ) -> (HttpResponse, bool) {
        let headers = caller_headers(attempt_id, "k1") + headers;
        let response = self
            .exchange(method_path, &headers, "body")
            .unwrap_or_default();
        let usable = response.whole && !response.head.contains("connection: close");
        (response, usable)
    }

    fn exchange(
        &mut self,
        method_path: &str,
        headers: &str,
        body: &str,
    ) -> std::io::Result<HttpResponse> {
        let length = body.len();
        write!(
            self.reader.get_mut(),
            "{method_path} HTTP/1.1\r\nHost: h.example\r\n{headers}\
             Content-Length: {length}\r\n\r\n{body}"
        )?;
        let mut response = read_head(&mut self.reader)?;
        if response.head.contains("transfer-encoding: chunked") {
            read_chunks(&mut self.reader, &mut response);
            return Ok(response);
        }
        let length = response
            .head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"));
        if length.is_none() && response.head.contains("connection: close") {
            let mut bytes = Vec::new();
            // Without framing, an answer that was cut short looks complete.
            response.whole = self.reader.read_to_end(&mut bytes).is_ok();
            response.body = String::from_utf8_lossy(&bytes).into_owned();
            return Ok(response);
        }
        let length = length
            .and_then(|length| length.trim().parse().ok())
            .unwrap_or(0);
        let mut bytes = vec![0; length];
        // A head without its complete body is a truncated response.
        response.whole = response.status != 0 && self.reader.read_exact(&mut bytes).is_ok();
        if response.whole {
            response.body = String::from_utf8_lossy(&bytes).into_owned();
        }
        Ok(response)
    }
}

/// Reads the status line and headers up to the empty line.
fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<HttpResponse> {
    let mut response = HttpResponse::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        response.head += &line.to_ascii_lowercase();
    }
    let status = response.head.split(' ').nth(1);
    response.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(response)
}

/// Appends the chunks to the body; `whole` stays false unless the last chunk arrives.
fn read_chunks(reader: &mut BufReader<TcpStream>, response: &mut HttpResponse) {
    loop {
        let mut line = String::new();
        let Ok(read) = reader.read_line(&mut line) else {
            return;
        };
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        if read == 0 {
            return;
        }
        let mut bytes = vec![0; length + 2];
        if reader.read_exact(&mut bytes).is_err() {
            return;
        }
        if length == 0 {
            response.whole = true;
            return;
        }
        response.body += &String::from_utf8_lossy(&bytes[..length]);
    }
}
