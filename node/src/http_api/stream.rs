//! Stream of server-sent events to a caller, flushed after each event.

use std::io;

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use merlinrudder_core::units::RequestId;
use serde::Serialize;

use super::request::{PartWriter, Request};
use super::response::REQUEST_ID;

/// Event stream to a caller; the first event or comment sends the response head.
pub(super) struct EventStream {
    id: RequestId,
    state: State,
}

enum State {
    /// Nothing was sent yet.
    Unsent(Request),
    /// The response head was sent.
    Open(PartWriter),
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
        self.write(format!("data: {json}\n\n"))
    }

    /// Sends an SSE comment, which detects a disconnected caller.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn send_comment(&mut self) -> io::Result<()> {
        self.write(": waiting\n\n".to_owned())
    }

    /// Sends `[DONE]`, which marks the answer as complete, and closes the stream.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn finish(mut self) -> io::Result<()> {
        self.write("data: [DONE]\n\n".to_owned())?;
        self.close()
    }

    /// Ends the HTTP response, without `[DONE]`.
    ///
    /// # Errors
    /// Returns an error if the caller disconnected.
    pub(super) fn close(mut self) -> io::Result<()> {
        self.open_writer()?;
        if let State::Open(writer) = self.state {
            writer.finish();
        }
        Ok(())
    }

    /// Sends a part of the response.
    fn write(&mut self, text: String) -> io::Result<()> {
        let sent = self.open_writer()?.send(Bytes::from(text));
        if sent.is_err() {
            self.state = State::Closed;
        }
        sent
    }

    /// Returns the open response; sends its head first if that was not done yet.
    fn open_writer(&mut self) -> io::Result<&mut PartWriter> {
        if let Some(request) = self.take_unsent() {
            let writer = request.respond_in_parts(head(self.id))?;
            self.state = State::Open(writer);
        }
        match &mut self.state {
            State::Open(writer) => Ok(writer),
            State::Unsent(_) | State::Closed => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}

/// Returns the head of the response to a request.
fn head(id: RequestId) -> Response<()> {
    let mut head = Response::new(());
    let headers = head.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_ID, id);
    }
    head
}
