//! What entry VMs and dispatchers tell each other.

use std::sync::Arc;
use std::time::Duration;

use crate::estimate::WorkEstimate;
use crate::names::{CustomerName, ServerId, ServiceName, VmId};
use crate::outcome::Refusal;
use crate::units::{AttemptId, ContentDigest, RequestId, Tokens};

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt to place.
    pub attempt: AttemptId,
    /// VM that holds the caller's connection.
    pub entry: VmId,
    /// Service that must run it.
    pub service: ServiceName,
    /// Customer who pays for it.
    pub customer: CustomerName,
    /// Predicted work.
    pub work: WorkEstimate,
    /// Hashes of the prompt's leading blocks, for cached prefixes.
    pub prefix: Arc<[u64]>,
    /// Digest of its content, for suspects.
    pub digest: ContentDigest,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// Servers that failed it before; they are used only where no other is left.
    pub avoid: Vec<ServerId>,
}

/// A backend server that was granted, with the memory it must give.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantedServer {
    /// Its name.
    pub id: ServerId,
    /// Address of its HTTP port.
    pub address: Arc<str>,
    /// Its incarnation when the request was placed.
    pub incarnation: u64,
    /// Tokens that the request may hold there.
    pub memory: Tokens,
}

/// A placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// VM that holds the request.
    pub entry: VmId,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Servers that run it, the one that streams the answer first; never empty.
    pub servers: Vec<GrantedServer>,
}

impl Grant {
    /// Makes the grant that answers `ask`.
    #[must_use]
    pub fn new(ask: &AttemptSpec, servers: Vec<GrantedServer>) -> Self {
        let entry = ask.entry.clone();
        Self {
            entry,
            request: ask.request,
            attempt: ask.attempt,
            servers,
        }
    }
}

/// The end of an attempt, told by its entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finish {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The answer is whole.
    Complete,
    /// The server refused the work.
    Refused,
    /// The answer broke off, and the server still lives.
    Broken,
    /// No connection was made, so nothing ran there.
    Unreachable(ServerId),
    /// The answer broke off, and the server cannot be reached.
    ServerDied(ServerId),
    /// The caller left or the deadline passed.
    Cancelled,
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchOutput {
    /// A request was placed.
    Grant(Grant),
    /// A request was refused; nothing of this attempt was sent.
    Refuse {
        /// VM that holds the request.
        entry: VmId,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Servers must be told to drop a request that nobody waits for.
    Cancel {
        /// The request.
        request: RequestId,
        /// Servers that may run it.
        servers: Vec<GrantedServer>,
    },
    /// A content killed enough servers to be refused everywhere.
    Quarantine(ContentDigest),
}
