//! A client of the HTTP/1.1 interfaces: one request on a channel of its own.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::json::{HOST, KEY};

/// What a client has seen of the answer to one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head came.
    pub status: u16,
    /// Head with lower-case names, without the status line.
    pub head: String,
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the framing shows that the answer is complete.
    pub complete: bool,
    /// How the answer ended, for the record.
    pub end: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key == name).then(|| value.trim())
        })
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a client's request to a front address and reads the answer to its end.
pub fn call(
    front: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
    body: &str,
) -> Answer {
    call_with_key(front, KEY, method, path, attempt, deadline_ms, body)
}

/// Sends a prompt with these parts, the last of which is its own, and reads the stream to its end.
pub fn prompt(front: SocketAddr, path: &str, attempt: &str, parts: &str) -> Answer {
    let body = format!("the prompt of {attempt}");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
         X-Merlinrudder-Model: m\r\nX-Merlinrudder-Token-Count: 1460,80\r\n\
         X-Merlinrudder-Prompt-Prefix: {parts}\r\nX-Merlinrudder-Deadline-Ms: 10000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(front, request.as_bytes(), Duration::from_secs(10))
}

/// Sends a client's request as `call` does, with another key.
pub fn call_with_key(
    front: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
    body: &str,
) -> Answer {
    let length = if method == "GET" && body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
         X-Merlinrudder-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{length}\r\n{body}"
    );
    let limit = Duration::from_millis(u64::from(deadline_ms) + 500);
    exchange(front, request.as_bytes(), limit)
}

/// Sends a call of the operator or an engine to a control address.
pub fn control(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Answer {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(address, request.as_bytes(), limit)
}

/// Sends a request on a new channel and reads one answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let start = Instant::now();
    let mut answer = Answer::default();
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(mut stream) => {
            let _ = stream.set_nodelay(true);
            answer = match stream.write_all(request) {
                Ok(()) => read_answer(&mut stream, start + limit),
                Err(error) => Answer {
                    end: format!("write failed: {error}"),
                    ..Answer::default()
                },
            };
        }
        Err(error) => answer.end = format!("no channel: {error}"),
    }
    answer.took = start.elapsed();
    answer
}

/// Reads one answer until its end, the end of the channel or `until`.
pub fn read_answer(stream: &mut TcpStream, until: Instant) -> Answer {
    let mut bytes = Vec::new();
    let mut answer = Answer::default();
    loop {
        if let Some(done) = parse(&bytes, false) {
            answer = done;
            if answer.complete {
                answer.end = "complete".to_owned();
                return answer;
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.end = "client gave up".to_owned();
            return answer;
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16 * 1024];
        match stream.read(&mut buffer) {
            Ok(0) => {
                if let Some(done) = parse(&bytes, true) {
                    answer = done;
                }
                answer.end = "channel closed".to_owned();
                return answer;
            }
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => {
                answer.end = format!("channel failed: {error}");
                return answer;
            }
        }
    }
}

/// Parses what has arrived; `None` while the head is not complete.
fn parse(bytes: &[u8], closed: bool) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let (status_line, fields) = text.split_once("\r\n").unwrap_or((&text, ""));
    let status = status_line.split(' ').nth(1)?.parse().ok()?;
    let fields: Vec<_> = fields
        .split("\r\n")
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| format!("{}: {}", name.trim().to_ascii_lowercase(), value.trim()))
        .collect();
    let mut answer = Answer {
        status,
        head: fields.join("\n"),
        ..Answer::default()
    };
    let rest = &bytes[end + 4..];
    if answer
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        (answer.body, answer.complete) = unchunk(rest);
    } else if let Some(length) = answer
        .header("content-length")
        .and_then(|value| value.parse::<usize>().ok())
    {
        answer.complete = rest.len() >= length;
        answer.body = rest[..rest.len().min(length)].to_vec();
    } else {
        answer.complete = closed || status == 204 || status == 304;
        answer.body = rest.to_vec();
    }
    Some(answer)
}

/// Removes chunk framing; also returns whether the last chunk has arrived.
fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return (body, false);
        };
        rest = &rest[end + 2..];
        if size == 0 {
            return (body, rest.windows(2).any(|window| window == b"\r\n"));
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return (body, false);
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
