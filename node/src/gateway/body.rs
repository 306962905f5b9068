//! Response bodies sent to callers, either buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

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
    /// Chunks in order, forwarded as they arrive.
    Streaming(mpsc::Receiver<Chunk>),
}

impl ResponseBody {
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
            Self::Streaming(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}
