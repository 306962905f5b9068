//! A request as a handler thread sees it: it reads the body and sends the response by blocking calls.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::request::Parts;
use hyper::{Method, Response};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Parts of a streamed response that wait until the connection takes them.
const MAX_WAITING_PARTS: usize = 1;

/// A request whose head has arrived.
#[derive(Debug)]
pub struct Request {
    head: Box<Parts>,
    body: Incoming,
    /// Receives the response; closed once the caller has disconnected.
    reply: oneshot::Sender<Reply>,
    /// Runtime that serves the connection.
    runtime: Handle,
    /// Time without a byte after which the caller counts as gone.
    idle_timeout: Duration,
    guard: InProgressGuard,
}

impl Request {
    /// Creates a request of a connection that `runtime` serves.
    pub(super) fn new(
        request: hyper::Request<Incoming>,
        reply: oneshot::Sender<Reply>,
        idle_timeout: Duration,
        guard: InProgressGuard,
    ) -> Self {
        let (head, body) = request.into_parts();
        Self {
            head: Box::new(head),
            body,
            reply,
            runtime: Handle::current(),
            idle_timeout,
            guard,
        }
    }

    /// Returns the HTTP method.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Returns path and query.
    #[must_use]
    pub fn url(&self) -> &str {
        let target = self.head.uri.path_and_query();
        target.map_or("/", |target| target.as_str())
    }

    /// Returns the first header of this name, which is case-insensitive; `None` if it is no text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the length of the body, if the caller stated it.
    #[must_use]
    pub fn body_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Waits for the next part of the body; returns `None` at its end.
    ///
    /// # Errors
    /// Fails if nothing arrives within the idle timeout, or the body ends early.
    pub fn read_part(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            // A timeout can only be created on the runtime that drives it.
            let (idle_timeout, body) = (self.idle_timeout, &mut self.body);
            let frame = async { timeout(idle_timeout, body.frame()).await };
            let frame = self.runtime.block_on(frame).map_err(io::Error::other)?;
            let Some(frame) = frame else {
                return Ok(None);
            };
            // Trailers are of no use here.
            if let Ok(part) = frame.map_err(io::Error::other)?.into_data() {
                return Ok(Some(part));
            }
        }
    }

    /// Sends a whole response; a disconnected caller is ignored.
    pub fn respond(self, response: Response<Bytes>) {
        let guard = self.guard;
        let reply = Reply {
            response: response.map(|body| ReplyBody::new(body, guard)),
            unread: self.body,
        };
        drop(self.reply.send(reply));
    }

    /// Sends the head of a response whose body follows in parts.
    ///
    /// # Errors
    /// Fails if the caller has disconnected.
    pub fn respond_in_parts(self, head: Response<()>) -> io::Result<PartWriter> {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_PARTS);
        let is_whole = Arc::new(AtomicBool::new(false));
        let guard = self.guard;
        let reply = Reply {
            response: head.map(|()| ReplyBody {
                content: Content::Parts(receiver, Arc::clone(&is_whole)),
                _guard: guard,
            }),
            unread: self.body,
        };
        let sent = self.reply.send(reply);
        sent.map_err(|_reply| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(PartWriter {
            sender,
            is_whole,
            runtime: self.runtime,
            idle_timeout: self.idle_timeout,
        })
    }
}

/// What a handler answers.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) response: Response<ReplyBody>,
    /// Body of the request, as far as the handler has not read it.
    pub(super) unread: Incoming,
}

/// Sends the body of a response in parts; dropping it before `finish` cuts the response off.
#[derive(Debug)]
pub struct PartWriter {
    sender: mpsc::Sender<Bytes>,
    is_whole: Arc<AtomicBool>,
    runtime: Handle,
    idle_timeout: Duration,
}

impl PartWriter {
    /// Sends a part; waits while the caller reads none.
    ///
    /// # Errors
    /// Fails if the caller has disconnected, or reads nothing within the idle timeout.
    pub fn send(&mut self, part: Bytes) -> io::Result<()> {
        let sent = async { timeout(self.idle_timeout, self.sender.send(part)).await };
        match self.runtime.block_on(sent) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(io::ErrorKind::BrokenPipe.into()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Ends the response.
    pub fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

/// Body of a response.
#[derive(Debug)]
pub struct ReplyBody {
    content: Content,
    /// Counts the request as in progress until the body is sent.
    _guard: InProgressGuard,
}

#[derive(Debug)]
enum Content {
    /// The whole body; `None` once it was taken.
    Whole(Option<Bytes>),
    /// Parts, and whether the last of them was sent.
    Parts(mpsc::Receiver<Bytes>, Arc<AtomicBool>),
}

impl ReplyBody {
    /// Creates a whole body.
    pub(super) fn new(body: Bytes, guard: InProgressGuard) -> Self {
        Self {
            content: Content::Whole(Some(body)),
            _guard: guard,
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.content {
            Content::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Content::Parts(parts, is_whole) => parts.poll_recv(cx).map(|part| match part {
                Some(part) => Some(Ok(Frame::data(part))),
                None if is_whole.load(Ordering::Acquire) => None,
                None => Some(Err(io::ErrorKind::BrokenPipe.into())),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Parts(..) => SizeHint::default(),
        }
    }
}

/// Counts a request as in progress until this is dropped.
#[derive(Debug)]
pub(super) struct InProgressGuard(Arc<AtomicUsize>);

impl InProgressGuard {
    /// Counts one more; also returns how many there were before.
    pub(super) fn new(in_progress: &Arc<AtomicUsize>) -> (Self, usize) {
        let before = in_progress.fetch_add(1, Ordering::Relaxed);
        (Self(Arc::clone(in_progress)), before)
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
