//! Inputs that other threads send to the control thread.

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

/// An input to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A message arrived from another VM.
    Mesh(VmId, MeshMessage),
    /// A request thread asks for an attempt to be placed.
    Submit(Submission),
    /// The first token of an attempt arrived.
    FirstToken(RequestId, AttemptId),
    /// An attempt ended.
    Finish(Finish),
    /// A request is withdrawn while its thread waits for a decision.
    Abandon(RequestId),
    /// A backend server sent its announcement to this VM.
    Announce(Announcement),
    /// A thread proposes a command for the control log.
    Propose(Proposal),
    /// The disk thread finished a sync.
    Disk(SyncReport),
    /// An operator asks for the status of the VM.
    Status(Sender<VmStatus>),
    /// The reconcile loop asks for the placements at each backend server.
    Placements(Sender<Vec<ServerPlacements>>),
    /// The reconcile loop read the whole prefix cache of a server incarnation.
    CacheRead(ServerKey, u64, CacheView),
    /// First step of a stop: readiness probes fail, requests are still admitted.
    Unready,
    /// Second step of a stop: no more requests are admitted.
    Stop,
    /// Third step of a stop: the VM gives up its roles.
    ///
    /// The reply is the number of requests in flight.
    Leave(Sender<usize>),
    /// Last step of a stop: the control thread ends.
    Quit,
}

/// An attempt that a request thread submits for placement.
#[derive(Debug)]
pub struct Submission {
    /// Request, attempt number and predicted work.
    pub spec: AttemptSpec,
    /// Deadline of the request.
    pub deadline: Moment,
    /// Zones that may run the request, in order of preference.
    pub zones: Vec<ZoneName>,
    /// Receives the decision.
    pub reply: Sender<DispatchDecision>,
}

/// Decision on a submitted attempt.
#[derive(Debug)]
pub enum DispatchDecision {
    /// Run the attempt on the granted servers.
    Run(Grant),
    /// Refuse the request to its caller.
    Refuse(Refusal),
}

/// A command that a thread wants to be committed.
#[derive(Debug)]
pub struct Proposal {
    /// The command; it may be committed twice, so it must be idempotent.
    pub command: Command,
    /// Time at which the proposal is given up.
    pub deadline: Moment,
    /// Receives the result, or `None` if the deadline passed.
    pub reply: Sender<Option<Answer>>,
}

/// Cancels requests at backend servers, on another thread.
#[derive(Clone)]
pub struct Canceller(Arc<dyn Fn(RequestId, Vec<GrantedServer>) + Send + Sync>);

impl Canceller {
    /// Wraps a function that must not block.
    #[must_use]
    pub fn new(cancel: Arc<dyn Fn(RequestId, Vec<GrantedServer>) + Send + Sync>) -> Self {
        Self(cancel)
    }

    /// Starts to cancel a request at the given servers.
    pub fn cancel(&self, request: RequestId, servers: Vec<GrantedServer>) {
        (self.0)(request, servers);
    }
}

impl std::fmt::Debug for Canceller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Canceller")
    }
}

/// Returns the deadline of a proposal made at `now` that may take `wait`.
#[must_use]
pub fn proposal_deadline(now: Moment, wait: Duration) -> Moment {
    now + wait
}
