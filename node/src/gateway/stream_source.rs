//! The response of one engine to a stream, from which events are forwarded.

use bytes::Bytes;
use http_body_util::BodyExt;
use merlinrudder_core::events::EventSplitter;

use super::exchange::{Prefetched, UpstreamResponse};

/// Reason of a response whose connection was lost.
pub(super) const CUT: &str = "cut";

/// How forwarding the events of one engine ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamEnd {
    /// The engine ended the response after a whole event.
    Complete,
    /// The engine's response was cut or malformed; holds the reason to log.
    Broken(&'static str),
    /// The caller closed its connection.
    CallerGone,
    /// The deadline of the request passed.
    Overdue,
    /// The process exits.
    Stopping,
}

/// Why no further bytes of a source are forwarded.
pub(super) enum SourceEnd {
    /// Its response ended, or nothing can be forwarded any more.
    Ended(StreamEnd),
    /// It was silent, and a hedge at another engine delivered the next events.
    Overtaken(Box<StreamSource>),
}

impl SourceEnd {
    /// Goes on with the response of a hedge.
    pub(super) fn overtaken(response: UpstreamResponse) -> Self {
        Self::Overtaken(Box::new(StreamSource::new(response)))
    }
}

/// The response of one engine, from which events are forwarded.
pub(super) struct StreamSource {
    pub(super) upstream: UpstreamResponse,
    pub(super) splitter: EventSplitter,
}

impl StreamSource {
    pub(super) fn new(upstream: UpstreamResponse) -> Self {
        Self {
            upstream,
            splitter: EventSplitter::default(),
        }
    }

    /// Waits for the next bytes; `None` at the end of the engine's response.
    ///
    /// Nothing is lost if the future is dropped.
    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        if let Prefetched::Beginning(bytes) = std::mem::take(&mut self.upstream.prefetched) {
            return Ok(Some(bytes));
        }
        match self.upstream.body.frame().await {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(_error)) => Err(StreamEnd::Broken(CUT)),
            None if self.splitter.is_partial() => Err(StreamEnd::Broken("ended in an event")),
            None => Ok(None),
        }
    }
}
