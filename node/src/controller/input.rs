//! Inputs to the control thread of a control VM.

use std::sync::Arc;

use crossbeam::channel::Sender;
use merlinrudder_core::cold::reports::ColdReport;
use merlinrudder_core::control::PublishedManifest;
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::evacuation::{CallerPresence, Evacuations};
use merlinrudder_core::names::{ServerId, ZoneName};
use merlinrudder_core::units::ContentDigest;
use tokio::sync::oneshot;

use super::caller::CallerConnection;
use super::crashes::QuarantineEntry;
use crate::links::LinkEvent;
use crate::replica::disk::SyncReport;

/// An input to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A link opened, closed or delivered a message.
    Link(LinkEvent),
    /// The disk thread finished a sync.
    Disk(SyncReport),
    /// An operator publishes a manifest, which was fully validated.
    Publish(PublishedManifest, Reply<()>),
    /// An operator reads the newest manifest.
    Read(Reply<Arc<[u8]>>),
    /// A backend server sent a heartbeat.
    Heartbeat(ServerRecord, ColdReport, Reply<()>),
    /// A backend server deregisters.
    ///
    /// The number is the start of its incarnation in Unix milliseconds, if it is given.
    Deregister(ServerId, Option<u64>, Reply<()>),
    /// An operator begins or ends the evacuation of a zone.
    SetEvacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether the evacuation begins.
        active: bool,
        /// Shows whether the operator still waits.
        caller: CallerConnection,
        /// Answered once the order is in the log and applied here.
        reply: Reply<()>,
    },
    /// An operator lists the evacuated zones.
    ListEvacuations(Reply<Evacuations>),
    /// An operator lists the contents in quarantine.
    ListQuarantine(Reply<Vec<QuarantineEntry>>),
    /// An operator lifts the quarantine of a content.
    LiftQuarantine {
        /// The content.
        content: ContentDigest,
        /// Shows whether the operator still waits.
        caller: CallerConnection,
        /// Answered with whether there was a quarantine or a suspicion.
        reply: Reply<bool>,
    },
    /// The process is about to stop, so the leadership is transferred.
    Stop,
}

impl Input {
    /// Returns the kind of the input for logs.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Link(_) => "link",
            Self::Disk(_) => "disk",
            Self::Publish(..) => "publish",
            Self::Read(_) => "read",
            Self::Heartbeat(..) => "heartbeat",
            Self::Deregister(..) => "deregister",
            Self::SetEvacuation { .. } => "evacuation",
            Self::ListEvacuations(_) => "list_evacuations",
            Self::ListQuarantine(_) => "list_quarantine",
            Self::LiftQuarantine { .. } => "lift_quarantine",
            Self::Stop => "stop",
        }
    }

    /// Whether an operator has given up this call, which has waited here.
    ///
    /// Inputs wait while the data folder cannot be opened, and in a process that stands still.
    pub(super) fn is_abandoned(&self) -> bool {
        match self {
            Self::Publish(_, reply) | Self::SetEvacuation { reply, .. } => reply.is_closed(),
            Self::Read(reply) => reply.is_closed(),
            Self::LiftQuarantine { caller, reply, .. } => {
                reply.is_closed() || caller.presence() == CallerPresence::Gone
            }
            _ => false,
        }
    }
}

/// Channel for the answer to one call.
///
/// It is dropped without an answer if the call fails or times out.
pub(super) type Reply<T> = oneshot::Sender<T>;

/// Handle with which other threads and tasks send inputs to the control thread.
#[derive(Clone, Debug)]
pub(super) struct InputSender(Sender<Input>);

impl InputSender {
    pub(super) fn new(sender: Sender<Input>) -> Self {
        Self(sender)
    }

    /// Sends an input without blocking.
    ///
    /// It is lost only if the control thread has ended.
    pub(super) fn send(&self, input: Input) {
        drop(self.0.send(input));
    }
}
