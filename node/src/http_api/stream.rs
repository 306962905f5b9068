//! Stream of server-sent events to a caller, flushed after each event.

use std::io::{self, Write};

use merlinrudder_core::units::RequestId;
use serde::Serialize;
use tiny_http::Request;

/// Event stream to a caller; the first event or comment sends the response head.
pub(super) struct EventStream {
    id: RequestId,
    state: State,
}

enum State {
    /// Nothing was sent yet.
    Unsent(Request),
    /// The response head was sent.
    Open(Box<dyn Write + Send>),
    /// The caller disconnected, or `take_unsent` returned the request.
    Closed,
}

impl EventStream {
    pub(super) fn new(request: Request, id: RequestId) -> Self {
        Self {
            id,
            state: State::Unsent(request),
        }
    }

    /// Returns the request if nothing was sent yet, to answer it without a stream.
    pub(super) fn take_unsent(&mut self) -> Option<Request> {
        match std::mem::replace(&mut self.state, State::Closed) {
            State::Unsent(request) => Some(request),
            state => {
                self.state = state;
                None
            }
        }
    }

    /// Sends one event with `value` as JSON data.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn send_event<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        let json = serde_json::to_string(value).map_err(io::Error::other)?;
        self.write_chunk(&format!("data: {json}\n\n"))
    }

    /// Sends an SSE comment, which detects a disconnected caller.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn send_comment(&mut self) -> io::Result<()> {
        self.write_chunk(": waiting\n\n")
    }

    /// Sends `[DONE]`, which marks the answer as complete, and closes the stream.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn finish(mut self) -> io::Result<()> {
        self.write_chunk("data: [DONE]\n\n")?;
        self.close()
    }

    /// Closes the stream with the last HTTP chunk, without `[DONE]`.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn close(mut self) -> io::Result<()> {
        let writer = self.open_writer()?;
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }

    /// Writes one HTTP chunk and flushes it.
    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        let writer = self.open_writer()?;
        let sent = write!(writer, "{:x}\r\n{text}\r\n", text.len()).and_then(|()| writer.flush());
        if sent.is_err() {
            self.state = State::Closed;
        }
        sent
    }

    /// Returns the connection; sends the response head first if that was not done yet.
    fn open_writer(&mut self) -> io::Result<&mut Box<dyn Write + Send>> {
        if let State::Unsent(_) = self.state
            && let State::Unsent(request) = std::mem::replace(&mut self.state, State::Closed)
        {
            let mut writer = request.into_writer();
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                 Cache-Control: no-store\r\nX-Request-Id: {}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                self.id
            )?;
            self.state = State::Open(writer);
        }
        match &mut self.state {
            State::Open(writer) => Ok(writer),
            State::Unsent(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}
