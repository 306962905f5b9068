//! The body of an answer: whole, or passed on as it comes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// An answer that ended before it was whole; the caller's connection is cut, so that it sees that.
#[derive(Debug)]
pub(super) struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer ended before it was whole")
    }
}

impl std::error::Error for CutOff {}

/// Where the parts of an answer go as they come.
pub(super) type PartSender = mpsc::Sender<Result<Bytes, CutOff>>;

/// The body of an answer.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// All of it; `None` once it is taken.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Parts(mpsc::Receiver<Result<Bytes, CutOff>>),
}

impl AnswerBody {
    pub(super) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => parts
                .poll_recv(cx)
                .map(|part| part.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
