//! One HTTP exchange on a connection of its own, read as it comes, cuts and all.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::backend::EVENTS;

/// Time to make a connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Longest silence in an answer.
const SILENCE: Duration = Duration::from_secs(15);

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct HttpResponse {
    /// Status; 0 where no answer came.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// What came of the body.
    pub body: String,
    /// Whether the answer ended as its framing says.
    pub whole: bool,
}

impl HttpResponse {
    /// Returns the numbers of the events that came whole.
    #[must_use]
    pub fn events(&self) -> Vec<u64> {
        let ids = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Whether every event of a stream came, once and in order.
    #[must_use]
    pub fn is_whole_stream(&self) -> bool {
        self.status == 200 && self.whole && self.events().into_iter().eq(1..=EVENTS)
    }
}

/// Sends one request; no answer has status 0.
#[must_use]
pub fn send_request(address: SocketAddr, call: &str, headers: &str, body: &str) -> HttpResponse {
    try_exchange(address, call, headers, body).unwrap_or_default()
}

/// Sends a caller's request with an id of its own and the key of the only customer.
#[must_use]
pub fn send_customer_request(address: SocketAddr, call: &str, attempt: &str) -> HttpResponse {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 10000\r\n\
         Authorization: Bearer k1\r\n"
    );
    send_request(address, call, &headers, "body")
}

fn try_exchange(
    address: SocketAddr,
    call: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
    stream.set_read_timeout(Some(SILENCE))?;
    let length = body.len();
    write!(
        stream,
        "{call} HTTP/1.1\r\nHost: h.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    if answer.head.contains("transfer-encoding: chunked") {
        read_chunks(&mut reader, &mut answer);
        return Ok(answer);
    }
    let length = answer
        .head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length
        .and_then(|length| length.trim().parse().ok())
        .unwrap_or(0);
    let mut bytes = vec![0; length];
    // A head without its body is an answer that was cut.
    answer.whole = answer.status != 0 && reader.read_exact(&mut bytes).is_ok();
    if answer.whole {
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
    }
    Ok(answer)
}

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<HttpResponse> {
    let mut answer = HttpResponse::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        answer.head += &line.to_ascii_lowercase();
    }
    let status = answer.head.split(' ').nth(1);
    answer.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(answer)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, answer: &mut HttpResponse) {
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
            answer.whole = true;
            return;
        }
        answer.body += &String::from_utf8_lossy(&bytes[..length]);
    }
}
