//! What other threads tell the control thread.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::dispatch::message::{AttemptSpec, Finish, Grant, GrantedServer};
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_core::outcome::Refusal;
use merlinrudder_core::registry::{Announcement, CacheView, ServerKey};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, RequestId};
use merlinrudder_wire::mesh::MeshMessage;

use crate::replica::disk::SyncReport;

pub use super::serving::ServerPlacements;
pub use super::status::{MemberStatus, ServerStatus, VmStatus};

/// An input of the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A message of another VM.
    Mesh(VmId, MeshMessage),
    /// A request to be placed.
    Submit(Submission),
    /// The first token of an attempt came.
    Started(RequestId, AttemptId),
    /// An attempt ended.
    Finish(Finish),
    /// A request that waited is given up.
    Abandon(RequestId),
    /// A backend server announced itself at this VM.
    Announce(Announcement),
    /// A command for the control log.
    Propose(Proposal),
    /// The disk thread finished a job or failed.
    Disk(SyncReport),
    /// An operator asks how the VM is.
    Status(Sender<VmStatus>),
    /// The reconcile loop asks what is placed where.
    Placements(Sender<Vec<ServerPlacements>>),
    /// The reconcile loop read the whole cache of a server.
    CacheRead(ServerKey, u64, CacheView),
    /// The VM is about to stop: it says that it is not ready.
    Unready,
    /// The VM stops: it admits nothing more.
    Stop,
    /// The VM leaves its roles; answered with the requests in progress.
    Leave(Sender<usize>),
    /// The thread ends.
    Quit,
}

/// A request that a traffic thread wants placed.
#[derive(Debug)]
pub struct Submission {
    /// The request and its work.
    pub ask: AttemptSpec,
    /// Its deadline.
    pub deadline: Moment,
    /// Zones that may run it, in order.
    pub zones: Vec<ZoneName>,
    /// Where the decision goes.
    pub reply: Sender<DispatchDecision>,
}

/// A decision about a request.
#[derive(Debug)]
pub enum DispatchDecision {
    /// Run an attempt.
    Run(Grant),
    /// Tell the caller that it is refused.
    Refuse(Refusal),
}

/// A command that a thread wants committed.
#[derive(Debug)]
pub struct Proposal {
    /// The command; a repeated one must be harmless.
    pub command: Command,
    /// When to give up.
    pub deadline: Moment,
    /// Where the answer goes; `None` for given up.
    pub reply: Sender<Option<Answer>>,
}

/// Tells backend servers to drop a request, on another thread.
#[derive(Clone)]
pub struct Canceller(Arc<dyn Fn(RequestId, Vec<GrantedServer>) + Send + Sync>);

impl Canceller {
    /// Wraps a function that must not block.
    #[must_use]
    pub fn new(cancel: Arc<dyn Fn(RequestId, Vec<GrantedServer>) + Send + Sync>) -> Self {
        Self(cancel)
    }

    /// Cancels a request.
    pub fn cancel(&self, request: RequestId, servers: Vec<GrantedServer>) {
        (self.0)(request, servers);
    }
}

impl std::fmt::Debug for Canceller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Canceller")
    }
}

/// Waits that a proposal makes.
#[must_use]
pub fn proposal_deadline(now: Moment, wait: Duration) -> Moment {
    now + wait
}
