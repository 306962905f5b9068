//! A small HTTP/1.1 client and the parsing that the stand-ins share.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a request or a response.
pub struct Message {
    /// First line without its end.
    pub start_line: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a length, or a body that ends with the connection.
///
/// Returns `None` if the connection ends before a message begins.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        if read_more(stream, buffer)? == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let is_response = start_line.starts_with("HTTP/");
    let body = match length {
        Some(length) => {
            while buffer.len() < length {
                if read_more(stream, buffer)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            buffer.drain(..length).collect()
        }
        None if is_response => {
            while read_more(stream, buffer)? > 0 {}
            std::mem::take(buffer)
        }
        None => Vec::new(),
    };
    Ok(Some(Message {
        start_line,
        headers,
        body,
    }))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut part = [0; 4096];
    let length = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..length]);
    Ok(length)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Makes a call on a new connection, and closes it after the answer or the time limit.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time_limit: Duration,
) -> Result<Message, String> {
    let end = Instant::now() + time_limit;
    let mut stream = TcpStream::connect_timeout(&address, time_limit).map_err(text)?;
    let left = end.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let request = [head.as_bytes(), body].concat();
    stream.write_all(&request).map_err(text)?;
    let answer = read_message(&mut stream, &mut Vec::new()).map_err(text)?;
    answer.ok_or_else(|| "closed without an answer".to_owned())
}

fn text(error: io::Error) -> String {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => "no answer in time".to_owned(),
        _ => error.to_string(),
    }
}
