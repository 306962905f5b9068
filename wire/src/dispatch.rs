//! Messages between entry VMs and dispatchers.

use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, Finish, Grant, GrantedServer};
use merlinrudder_core::dispatch::running_requests::{
    Exclusivity, RunningRequest, ServerReservation,
};
use merlinrudder_core::estimate::WorkEstimate;
use merlinrudder_core::in_flight::ToDispatcher;
use merlinrudder_core::names::{CustomerName, ServerId, ServiceName, VmId};
use merlinrudder_core::outcome::Refusal;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId, Tokens};
use serde::{Deserialize, Serialize};

use crate::common::{WireRefusal, millis};
use crate::error::DecodeError;

/// Message from an entry VM to a dispatcher.
///
/// It does not name the entry VM, which is always the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireToDispatcher(ToDispatcherBody);

/// Variants of `ToDispatcher`.
///
/// A `u128` is a request id, and a `u32` is an attempt number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum ToDispatcherBody {
    Submit(WireAttemptSpec),
    Adopt(u128, WireRunningRequest),
    FirstToken(u128, u32),
    Finish {
        request: u128,
        attempt: u32,
        end: WireAttemptEnd,
    },
    Abandon(u128),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireAttemptSpec {
    request: u128,
    attempt: u32,
    service: String,
    customer: String,
    work: WireWorkEstimate,
    prefix: Arc<[u64]>,
    digest: [u8; 32],
    time_left_ms: u64,
    avoid: Vec<String>,
}

/// Predicted work of a request, in tokens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct WireWorkEstimate {
    prompt: u64,
    max_output: u64,
    output: u64,
}

/// Running request that an entry VM hands over to a new dispatcher.
///
/// `prefill` is in tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireRunningRequest {
    attempt: u32,
    service: String,
    customer: String,
    digest: [u8; 32],
    servers: Vec<WireGrantedServer>,
    prefill: u64,
    priority: u8,
    long: bool,
    prefill_done: bool,
}

/// Outcome of an attempt; a string is the id of the failed backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireAttemptEnd {
    Complete,
    Refused,
    Broken,
    Unreachable(String),
    ServerDied(String),
    Cancelled,
}

/// Message from a dispatcher to an entry VM, which is always the receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireFromDispatcher(FromDispatcherBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum FromDispatcherBody {
    Grant {
        request: u128,
        attempt: u32,
        servers: Vec<WireGrantedServer>,
    },
    Refuse {
        request: u128,
        attempt: u32,
        refusal: WireRefusal,
    },
}

/// Backend server assigned to an attempt; `memory` is in tokens.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireGrantedServer {
    id: String,
    address: String,
    incarnation: u64,
    memory: u64,
}

/// Decision of a dispatcher about one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum FromDispatcher {
    /// The attempt was placed on backend servers.
    Grant(Grant),
    /// The attempt was refused; nothing of it was sent to a backend server.
    Refuse(RequestId, AttemptId, Refusal),
}

impl From<ToDispatcher> for WireToDispatcher {
    fn from(message: ToDispatcher) -> Self {
        Self(match message {
            ToDispatcher::Submit(spec) => ToDispatcherBody::Submit(spec.into()),
            ToDispatcher::Adopt(request, running) => {
                ToDispatcherBody::Adopt(request.0, running.into())
            }
            ToDispatcher::FirstToken(request, attempt) => {
                ToDispatcherBody::FirstToken(request.0, attempt.0)
            }
            ToDispatcher::Finish(finish) => ToDispatcherBody::Finish {
                request: finish.request.0,
                attempt: finish.attempt.0,
                end: finish.end.into(),
            },
            ToDispatcher::Abandon(request) => ToDispatcherBody::Abandon(request.0),
        })
    }
}

impl WireToDispatcher {
    /// Converts to the core's message, sent by `entry` and received at `now`.
    #[must_use]
    pub fn into_core(self, entry: &VmId, now: Moment) -> ToDispatcher {
        match self.0 {
            ToDispatcherBody::Submit(spec) => ToDispatcher::Submit(spec.into_core(entry)),
            ToDispatcherBody::Adopt(request, running) => {
                ToDispatcher::Adopt(RequestId(request), running.into_core(entry, now))
            }
            ToDispatcherBody::FirstToken(request, attempt) => {
                ToDispatcher::FirstToken(RequestId(request), AttemptId(attempt))
            }
            ToDispatcherBody::Finish {
                request,
                attempt,
                end,
            } => ToDispatcher::Finish(Finish {
                request: RequestId(request),
                attempt: AttemptId(attempt),
                end: end.into(),
            }),
            ToDispatcherBody::Abandon(request) => ToDispatcher::Abandon(RequestId(request)),
        }
    }
}

impl From<AttemptSpec> for WireAttemptSpec {
    fn from(spec: AttemptSpec) -> Self {
        Self {
            request: spec.request.0,
            attempt: spec.attempt.0,
            service: spec.service.to_string(),
            customer: spec.customer.to_string(),
            work: WireWorkEstimate {
                prompt: spec.work.prompt.0,
                max_output: spec.work.max_output.0,
                output: spec.work.output.0,
            },
            prefix: spec.prefix,
            digest: spec.digest.0,
            time_left_ms: millis(spec.time_left),
            avoid: spec.avoid.iter().map(ToString::to_string).collect(),
        }
    }
}

impl WireAttemptSpec {
    fn into_core(self, entry: &VmId) -> AttemptSpec {
        AttemptSpec {
            request: RequestId(self.request),
            attempt: AttemptId(self.attempt),
            entry: entry.clone(),
            service: ServiceName::from(self.service),
            customer: CustomerName::from(self.customer),
            work: WorkEstimate {
                prompt: Tokens(self.work.prompt),
                max_output: Tokens(self.work.max_output),
                output: Tokens(self.work.output),
            },
            prefix: self.prefix,
            digest: ContentDigest(self.digest),
            time_left: Duration::from_millis(self.time_left_ms),
            avoid: self.avoid.into_iter().map(ServerId::from).collect(),
        }
    }
}

impl From<RunningRequest> for WireRunningRequest {
    fn from(running: RunningRequest) -> Self {
        let servers = running.granted();
        Self {
            attempt: running.attempt.0,
            service: running.service.to_string(),
            customer: running.customer.to_string(),
            digest: running.digest.0,
            servers: servers.into_iter().map(WireGrantedServer::from).collect(),
            prefill: running.prefill.0,
            priority: running.priority,
            long: running.long,
            prefill_done: running.prefill_done,
        }
    }
}

impl WireRunningRequest {
    fn into_core(self, entry: &VmId, now: Moment) -> RunningRequest {
        let reservation = |server: WireGrantedServer| ServerReservation {
            server: server.into(),
            crash_counted: false,
        };
        RunningRequest {
            attempt: AttemptId(self.attempt),
            entry: entry.clone(),
            service: ServiceName::from(self.service),
            customer: CustomerName::from(self.customer),
            digest: ContentDigest(self.digest),
            servers: self.servers.into_iter().map(reservation).collect(),
            prefill: Tokens(self.prefill),
            priority: self.priority,
            long: self.long,
            exclusivity: Exclusivity::None,
            placed_at: now,
            prefill_done: self.prefill_done,
        }
    }
}

impl From<AttemptEnd> for WireAttemptEnd {
    fn from(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Complete => Self::Complete,
            AttemptEnd::Refused => Self::Refused,
            AttemptEnd::Broken => Self::Broken,
            AttemptEnd::Unreachable(id) => Self::Unreachable(id.to_string()),
            AttemptEnd::ServerDied(id) => Self::ServerDied(id.to_string()),
            AttemptEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl From<WireAttemptEnd> for AttemptEnd {
    fn from(wire: WireAttemptEnd) -> Self {
        match wire {
            WireAttemptEnd::Complete => Self::Complete,
            WireAttemptEnd::Refused => Self::Refused,
            WireAttemptEnd::Broken => Self::Broken,
            WireAttemptEnd::Unreachable(id) => Self::Unreachable(ServerId::from(id)),
            WireAttemptEnd::ServerDied(id) => Self::ServerDied(ServerId::from(id)),
            WireAttemptEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl From<FromDispatcher> for WireFromDispatcher {
    fn from(message: FromDispatcher) -> Self {
        Self(match message {
            FromDispatcher::Grant(grant) => FromDispatcherBody::Grant {
                request: grant.request.0,
                attempt: grant.attempt.0,
                servers: grant
                    .servers
                    .into_iter()
                    .map(WireGrantedServer::from)
                    .collect(),
            },
            FromDispatcher::Refuse(request, attempt, refusal) => FromDispatcherBody::Refuse {
                request: request.0,
                attempt: attempt.0,
                refusal: refusal.into(),
            },
        })
    }
}

impl WireFromDispatcher {
    /// Converts to a decision in core types, as received by the entry VM `entry`.
    ///
    /// # Errors
    /// Fails if a refusal has an unknown reason code.
    pub fn into_core(self, entry: &VmId) -> Result<FromDispatcher, DecodeError> {
        Ok(match self.0 {
            FromDispatcherBody::Grant {
                request,
                attempt,
                servers,
            } => FromDispatcher::Grant(Grant {
                entry: entry.clone(),
                request: RequestId(request),
                attempt: AttemptId(attempt),
                servers: servers.into_iter().map(GrantedServer::from).collect(),
            }),
            FromDispatcherBody::Refuse {
                request,
                attempt,
                refusal,
            } => {
                FromDispatcher::Refuse(RequestId(request), AttemptId(attempt), refusal.try_into()?)
            }
        })
    }
}

impl From<GrantedServer> for WireGrantedServer {
    fn from(server: GrantedServer) -> Self {
        Self {
            id: server.id.to_string(),
            address: server.address.to_string(),
            incarnation: server.incarnation,
            memory: server.memory.0,
        }
    }
}

impl From<WireGrantedServer> for GrantedServer {
    fn from(wire: WireGrantedServer) -> Self {
        Self {
            id: ServerId::from(wire.id),
            address: Arc::from(wire.address),
            incarnation: wire.incarnation,
            memory: Tokens(wire.memory),
        }
    }
}
