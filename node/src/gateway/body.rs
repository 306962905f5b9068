//! Response bodies sent to callers, either buffered or streamed.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::buffer_budget::BufferShare;

/// Largest piece of a response that is handed to the connection of its caller, in bytes.
///
/// The connection holds few pieces at a time, so the rest stays where it is accounted for.
pub(super) const MAX_PIECE_BYTES: usize = 8 * 1024;

/// Error of a response that ended before it was complete.
///
/// As a body error it closes the connection, so that the caller sees the truncation.
#[derive(Debug)]
pub(super) struct TruncatedResponse;

impl std::fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for TruncatedResponse {}

/// Piece of a streamed response.
#[derive(Debug)]
pub(super) enum Chunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The response is complete; without it, the end of the channel truncates the response.
    End,
}

/// Sends the chunks of a streamed response to its body.
pub(super) type ChunkSender = mpsc::Sender<Chunk>;

/// Body of a response to a caller.
#[derive(Debug)]
pub(super) enum ResponseBody {
    /// The complete body; `None` once hyper has taken it.
    Buffered(Option<Bytes>),
    /// The rest of a body that takes shared memory until its caller has read it.
    Shared(SharedBody),
    /// Chunks in order, forwarded as they arrive.
    Streaming(mpsc::Receiver<Chunk>),
}

/// The rest of a large body.
#[derive(Debug)]
pub(super) struct SharedBody {
    /// Bytes left with their memory; `None` once the deadline of the request has passed.
    ///
    /// The connection of a caller that has stopped reading does not ask for more, so they are
    /// dropped from outside.
    rest: Rc<RefCell<Option<(Bytes, BufferShare)>>>,
    /// Number of bytes left.
    left: usize,
}

impl SharedBody {
    fn new(bytes: Bytes, share: BufferShare, time_left: Duration) -> Self {
        let left = bytes.len();
        let rest = Rc::new(RefCell::new(Some((bytes, share))));
        let expiring = Rc::downgrade(&rest);
        spawn_local(async move {
            sleep(time_left).await;
            if let Some(rest) = expiring.upgrade() {
                rest.take();
            }
        });
        Self { rest, left }
    }

    /// Returns the next piece, copied so that it does not keep the whole body in memory.
    fn next_piece(&mut self) -> Option<Result<Frame<Bytes>, TruncatedResponse>> {
        if self.left == 0 {
            return None;
        }
        let mut rest = self.rest.borrow_mut();
        let Some((bytes, _)) = &mut *rest else {
            return Some(Err(TruncatedResponse));
        };
        let piece = bytes.split_to(self.left.min(MAX_PIECE_BYTES));
        self.left -= piece.len();
        Some(Ok(Frame::data(Bytes::copy_from_slice(&piece))))
    }
}

impl ResponseBody {
    /// Builds a body of known length that keeps its part of the shared memory until it is read,
    /// but not beyond the deadline of the request, `time_left` from now.
    pub(super) fn shared(bytes: Bytes, share: BufferShare, time_left: Duration) -> Self {
        if !share.is_shared() {
            return Self::buffered(bytes);
        }
        Self::Shared(SharedBody::new(bytes, share, time_left))
    }

    /// Builds a body of known length.
    pub(super) fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::Buffered(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Shared(body) => Poll::Ready(body.next_piece()),
            Self::Streaming(chunks) => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(TruncatedResponse)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Shared(body) => body.left == 0,
            Self::Streaming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Shared(body) => SizeHint::with_exact(body.left as u64),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}
