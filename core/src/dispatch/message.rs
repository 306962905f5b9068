//! Messages between entry VMs and dispatchers.

use std::sync::Arc;
use std::time::Duration;

use crate::estimate::WorkEstimate;
use crate::names::{CustomerName, ServerId, ServiceName, VmId};
use crate::outcome::Refusal;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// One attempt at a request, as submitted to a dispatcher for placement.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt; the first is 1.
    pub attempt: AttemptId,
    /// VM that holds the caller's connection.
    pub entry: VmId,
    /// Service whose servers can run it.
    pub service: ServiceName,
    /// Customer whose limit and fair share it counts against.
    pub customer: CustomerName,
    /// Predicted prompt and output tokens.
    pub work: WorkEstimate,
    /// Hashes of the prompt's leading blocks, to match against the servers' prefix caches.
    pub prefix: Arc<[u64]>,
    /// Digest of the request's content, to recognize contents that crash servers.
    pub digest: ContentDigest,
    /// Time left until the request's deadline, at the time of submission.
    pub time_left: Duration,
    /// Servers on which earlier attempts failed; used only if no other server has room.
    pub avoid: Vec<ServerId>,
}

/// A backend server assigned to an attempt, with the memory reserved there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantedServer {
    /// Name of the server within its service.
    pub id: ServerId,
    /// Address of its HTTP port.
    pub address: Arc<str>,
    /// Incarnation of the server process when the request was placed.
    pub incarnation: u64,
    /// Memory reserved for the request, in tokens; zero for a plain server.
    pub memory: Tokens,
}

/// Assignment of backend servers to an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// VM that holds the caller's connection.
    pub entry: VmId,
    /// Request that was placed.
    pub request: RequestId,
    /// Attempt that was placed.
    pub attempt: AttemptId,
    /// Servers that run the attempt; the first one streams the answer. Never empty.
    pub servers: Vec<GrantedServer>,
}

impl Grant {
    /// Creates the grant that answers `spec`.
    #[must_use]
    pub fn new(spec: &AttemptSpec, servers: Vec<GrantedServer>) -> Self {
        let entry = spec.entry.clone();
        Self {
            entry,
            request: spec.request,
            attempt: spec.attempt,
            servers,
        }
    }
}

/// End of an attempt, as reported by its entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Attempt that ended; a report of an older attempt is ignored.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Complete,
    /// The server refused the request.
    Refused,
    /// The answer was cut off, but the server process is still alive.
    Broken,
    /// No connection could be opened to this server, so nothing ran there.
    Unreachable(ServerId),
    /// The answer was cut off, and this server can no longer be reached.
    ServerDied(ServerId),
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutput {
    /// The attempt was placed on backend servers.
    Grant(Grant),
    /// The attempt was refused; nothing of it was sent to a backend server.
    Refuse {
        /// VM that holds the caller's connection.
        entry: VmId,
        /// Request that was refused.
        request: RequestId,
        /// Attempt that was refused.
        attempt: AttemptId,
        /// Reason and retry delay.
        refusal: Refusal,
    },
    /// Backend servers must drop a request that no caller waits for.
    Cancel {
        /// Request to drop.
        request: RequestId,
        /// Servers that may run it.
        servers: Vec<GrantedServer>,
    },
    /// The content crashed enough servers to be refused on all VMs.
    Quarantine(ContentDigest),
}
