//! The response of one engine to a stream, from which events are forwarded.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use merlinrudder_core::events::EventSplitter;
use merlinrudder_core::names::ServerId;
use tokio::time::timeout;

use super::exchange::{Failure, Progress, UpstreamResponse};
use super::hedge::{self, HedgeFailure};
use super::request::CallerRequest;
use super::state::Gateway;

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

/// The response of one engine, from which events are forwarded.
pub(super) struct StreamSource {
    pub(super) upstream: UpstreamResponse,
    /// Bytes that arrived with the head; empty once they are forwarded.
    first_bytes: Bytes,
    pub(super) splitter: EventSplitter,
}

impl StreamSource {
    pub(super) fn new(upstream: UpstreamResponse) -> Self {
        Self {
            upstream,
            first_bytes: Bytes::new(),
            splitter: EventSplitter::default(),
        }
    }

    /// Waits for the next bytes; `None` at the end of the engine's response.
    ///
    /// Nothing is lost if the future is dropped.
    pub(super) async fn next_bytes(&mut self) -> Result<Option<Bytes>, StreamEnd> {
        if !self.first_bytes.is_empty() {
            return Ok(Some(std::mem::take(&mut self.first_bytes)));
        }
        match self.upstream.body.frame().await {
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(_error)) => Err(StreamEnd::Broken("cut")),
            None if self.splitter.is_partial() => Err(StreamEnd::Broken("ended in an event")),
            None => Ok(None),
        }
    }
}

/// Opens a hedge of a stream, and returns once the first bytes after its head are there.
pub(super) async fn open_hedge(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    excluded: &[ServerId],
    last_event: Option<u64>,
    progress: &Progress,
) -> Result<StreamSource, HedgeFailure> {
    let response = hedge::open(gateway, call, excluded, last_event, progress).await?;
    let mut source = StreamSource::new(response);
    let incarnation = source.upstream.selected.incarnation();
    let succeeded = source.upstream.head.status.is_success();
    let time_left = call.time_left(gateway.now());
    while succeeded && source.first_bytes.is_empty() {
        match timeout(time_left, source.next_bytes()).await {
            Ok(Ok(Some(bytes))) => source.first_bytes = bytes,
            _ => break,
        }
    }
    if !source.first_bytes.is_empty() {
        return Ok(source);
    }
    if let Some(run) = source.upstream.run.take().filter(|_| succeeded) {
        run.broke();
    }
    Err(HedgeFailure::Failed(incarnation, Failure::Broken))
}
