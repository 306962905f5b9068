//! A server-sent event stream to a caller, flushed event by event.

use std::io::{self, Write};

use merlinrudder_core::units::RequestId;
use serde::Serialize;
use tiny_http::Request;

/// The answer to a streaming caller; the head goes out with the first event.
pub(super) struct EventStream {
    id: RequestId,
    state: State,
}

enum State {
    Unsent(Request),
    Open(Box<dyn Write + Send>),
    Gone,
}

impl EventStream {
    pub(super) fn new(request: Request, id: RequestId) -> Self {
        Self {
            id,
            state: State::Unsent(request),
        }
    }

    /// Takes the request out where nothing was sent yet, so that it gets a plain answer.
    pub(super) fn take_unsent(&mut self) -> Option<Request> {
        match std::mem::replace(&mut self.state, State::Gone) {
            State::Unsent(request) => Some(request),
            state => {
                self.state = state;
                None
            }
        }
    }

    /// Sends one event.
    ///
    /// # Errors
    /// Fails once the caller is gone.
    pub(super) fn event<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        let json = serde_json::to_string(value).map_err(io::Error::other)?;
        self.chunk(&format!("data: {json}\n\n"))
    }

    /// Sends a comment, by which a caller that is gone is noticed.
    ///
    /// # Errors
    /// Fails once the caller is gone.
    pub(super) fn comment(&mut self) -> io::Result<()> {
        self.chunk(": waiting\n\n")
    }

    /// Sends the mark of a whole answer and ends the stream.
    ///
    /// # Errors
    /// Fails once the caller is gone.
    pub(super) fn finish_whole(mut self) -> io::Result<()> {
        self.chunk("data: [DONE]\n\n")?;
        self.end()
    }

    /// Ends the stream without the mark of a whole answer.
    ///
    /// # Errors
    /// Fails once the caller is gone.
    pub(super) fn end(mut self) -> io::Result<()> {
        let writer = self.writer()?;
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        let writer = self.writer()?;
        let sent = write!(writer, "{:x}\r\n{text}\r\n", text.len()).and_then(|()| writer.flush());
        if sent.is_err() {
            self.state = State::Gone;
        }
        sent
    }

    fn writer(&mut self) -> io::Result<&mut Box<dyn Write + Send>> {
        if let State::Unsent(_) = self.state
            && let State::Unsent(request) = std::mem::replace(&mut self.state, State::Gone)
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
            State::Unsent(_) | State::Gone => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}
