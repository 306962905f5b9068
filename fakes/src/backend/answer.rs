//! Answers of a fake backend server, with or without framing.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;

use super::FakeBackend;
use super::request::RequestHead;

/// How the receiver recognises the end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// The head states the number of bytes.
    Length(usize),
    /// The last chunk is empty.
    Chunks,
    /// The connection closes.
    Close,
}

/// An answer of which the head has been sent.
pub(super) struct Answer<'a> {
    backend: &'a FakeBackend,
    writer: &'a TcpStream,
    framing: Framing,
}

impl<'a> Answer<'a> {
    /// Sends the head.
    pub(super) fn begin(
        backend: &'a FakeBackend,
        writer: &'a TcpStream,
        head: &RequestHead,
        framing: Framing,
    ) -> std::io::Result<Self> {
        let attempt = head.header("x-merlinrudder-attempt-id");
        let content_type = if head.is_stream {
            "Content-Type: text/event-stream\r\n"
        } else {
            ""
        };
        let framing_header = match framing {
            Framing::Length(length) => format!("Content-Length: {length}"),
            Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
            Framing::Close => "Connection: close".to_owned(),
        };
        let limits = backend.limit_lines();
        let mut answer = Self {
            backend,
            writer,
            framing,
        };
        answer.send(&format!(
            "HTTP/1.1 200 OK\r\n{content_type}{limits}X-Merlinrudder-Attempt-Id: {attempt}\r\n\
             X-Merlinrudder-Response-Seal: seal\r\n{framing_header}\r\n\r\n"
        ))?;
        Ok(answer)
    }

    /// Sends a piece of the body, as one chunk if the answer has chunks.
    pub(super) fn write(&mut self, text: &str) -> std::io::Result<()> {
        if self.framing == Framing::Chunks {
            self.send(&format!("{:x}\r\n{text}\r\n", text.len()))
        } else {
            self.send(text)
        }
    }

    /// Marks the end of the body; without framing, the caller has to close the connection.
    pub(super) fn end(mut self) -> std::io::Result<()> {
        if self.framing == Framing::Chunks {
            self.send("0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Sends text, unless the receiver has closed the connection.
    fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.backend.wait_while_cut(self.writer)?;
        if is_closed(self.writer)? {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        self.writer.write_all(text.as_bytes())
    }
}

/// Whether the peer has closed the connection; the first write after that would succeed.
fn is_closed(connection: &TcpStream) -> std::io::Result<bool> {
    connection.set_nonblocking(true)?;
    let peeked = connection.peek(&mut [0]);
    connection.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    })
}
