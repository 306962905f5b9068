//! Messages between entry VMs and dispatchers on the wire.

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

use crate::error::DecodeError;
use crate::units::{WireRefusal, millis};

/// A message of an entry VM to a dispatcher; the entry is the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireToDispatcher(ToBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum ToBody {
    Submit(WireAsk),
    Adopt(u128, WireRunning),
    Started(u128, u32),
    Finish {
        request: u128,
        attempt: u32,
        end: WireEnd,
    },
    Abandon(u128),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireAsk {
    request: u128,
    attempt: u32,
    service: String,
    customer: String,
    work: WireWork,
    prefix: Arc<[u64]>,
    digest: [u8; 32],
    time_left_ms: u64,
    avoid: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
struct WireWork {
    prompt: u64,
    max_output: u64,
    output: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireRunning {
    attempt: u32,
    service: String,
    customer: String,
    digest: [u8; 32],
    servers: Vec<WireGranted>,
    prefill: u64,
    priority: u8,
    long: bool,

    started: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum WireEnd {
    Complete,
    Refused,
    Broken,
    Unreachable(String),
    ServerDied(String),
    Cancelled,
}

/// A message of a dispatcher to an entry VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WireFromDispatcher(FromBody);

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum FromBody {
    Grant {
        request: u128,
        attempt: u32,
        servers: Vec<WireGranted>,
    },
    Refuse {
        request: u128,
        attempt: u32,
        refusal: WireRefusal,
    },
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct WireGranted {
    id: String,
    address: String,
    incarnation: u64,
    memory: u64,
}

/// A decision of a dispatcher about one request.
#[derive(Clone, Debug, PartialEq)]
pub enum FromDispatcher {
    /// The request was placed.
    Grant(Grant),
    /// The request was refused.
    Refuse(RequestId, AttemptId, Refusal),
}

impl From<ToDispatcher> for WireToDispatcher {
    fn from(message: ToDispatcher) -> Self {
        Self(match message {
            ToDispatcher::Submit(ask) => ToBody::Submit(ask.into()),
            ToDispatcher::Adopt(request, running) => ToBody::Adopt(request.0, running.into()),
            ToDispatcher::Started(request, attempt) => ToBody::Started(request.0, attempt.0),
            ToDispatcher::Finish(finish) => ToBody::Finish {
                request: finish.request.0,
                attempt: finish.attempt.0,
                end: finish.end.into(),
            },
            ToDispatcher::Abandon(request) => ToBody::Abandon(request.0),
        })
    }
}

impl WireToDispatcher {
    /// Converts to the core's message, as sent by `entry` and received at `now`.
    #[must_use]
    pub fn into_core(self, entry: &VmId, now: Moment) -> ToDispatcher {
        match self.0 {
            ToBody::Submit(ask) => ToDispatcher::Submit(ask.into_core(entry)),
            ToBody::Adopt(request, running) => {
                ToDispatcher::Adopt(RequestId(request), running.into_core(entry, now))
            }
            ToBody::Started(request, attempt) => {
                ToDispatcher::Started(RequestId(request), AttemptId(attempt))
            }
            ToBody::Finish {
                request,
                attempt,
                end,
            } => ToDispatcher::Finish(Finish {
                request: RequestId(request),
                attempt: AttemptId(attempt),
                end: end.into(),
            }),
            ToBody::Abandon(request) => ToDispatcher::Abandon(RequestId(request)),
        }
    }
}

impl From<AttemptSpec> for WireAsk {
    fn from(ask: AttemptSpec) -> Self {
        Self {
            request: ask.request.0,
            attempt: ask.attempt.0,
            service: ask.service.to_string(),
            customer: ask.customer.to_string(),
            work: WireWork {
                prompt: ask.work.prompt.0,
                max_output: ask.work.max_output.0,
                output: ask.work.output.0,
            },
            prefix: ask.prefix,
            digest: ask.digest.0,
            time_left_ms: millis(ask.time_left),
            avoid: ask.avoid.iter().map(ToString::to_string).collect(),
        }
    }
}

impl WireAsk {
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

impl From<RunningRequest> for WireRunning {
    fn from(running: RunningRequest) -> Self {
        let servers = running.granted();
        Self {
            attempt: running.attempt.0,
            service: running.service.to_string(),
            customer: running.customer.to_string(),
            digest: running.digest.0,
            servers: servers.into_iter().map(WireGranted::from).collect(),
            prefill: running.prefill.0,
            priority: running.priority,
            long: running.long,

            started: running.started,
        }
    }
}

impl WireRunning {
    fn into_core(self, entry: &VmId, now: Moment) -> RunningRequest {
        let share = |server: WireGranted| ServerReservation {
            server: server.into(),
            crash_counted: false,
        };
        RunningRequest {
            attempt: AttemptId(self.attempt),
            entry: entry.clone(),
            service: ServiceName::from(self.service),
            customer: CustomerName::from(self.customer),
            digest: ContentDigest(self.digest),
            servers: self.servers.into_iter().map(share).collect(),
            prefill: Tokens(self.prefill),
            priority: self.priority,
            long: self.long,
            exclusivity: Exclusivity::None,
            placed_at: now,
            started: self.started,
        }
    }
}

impl From<AttemptEnd> for WireEnd {
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

impl From<WireEnd> for AttemptEnd {
    fn from(wire: WireEnd) -> Self {
        match wire {
            WireEnd::Complete => Self::Complete,
            WireEnd::Refused => Self::Refused,
            WireEnd::Broken => Self::Broken,
            WireEnd::Unreachable(id) => Self::Unreachable(ServerId::from(id)),
            WireEnd::ServerDied(id) => Self::ServerDied(ServerId::from(id)),
            WireEnd::Cancelled => Self::Cancelled,
        }
    }
}

impl From<FromDispatcher> for WireFromDispatcher {
    fn from(message: FromDispatcher) -> Self {
        Self(match message {
            FromDispatcher::Grant(grant) => FromBody::Grant {
                request: grant.request.0,
                attempt: grant.attempt.0,
                servers: grant.servers.into_iter().map(WireGranted::from).collect(),
            },
            FromDispatcher::Refuse(request, attempt, refusal) => FromBody::Refuse {
                request: request.0,
                attempt: attempt.0,
                refusal: refusal.into(),
            },
        })
    }
}

impl WireFromDispatcher {
    /// Converts to the core's message, as received by `entry`.
    ///
    /// # Errors
    /// Fails where a refusal has an unknown reason.
    pub fn into_core(self, entry: &VmId) -> Result<FromDispatcher, DecodeError> {
        Ok(match self.0 {
            FromBody::Grant {
                request,
                attempt,
                servers,
            } => FromDispatcher::Grant(Grant {
                entry: entry.clone(),
                request: RequestId(request),
                attempt: AttemptId(attempt),
                servers: servers.into_iter().map(GrantedServer::from).collect(),
            }),
            FromBody::Refuse {
                request,
                attempt,
                refusal,
            } => {
                FromDispatcher::Refuse(RequestId(request), AttemptId(attempt), refusal.try_into()?)
            }
        })
    }
}

impl From<GrantedServer> for WireGranted {
    fn from(server: GrantedServer) -> Self {
        Self {
            id: server.id.to_string(),
            address: server.address.to_string(),
            incarnation: server.incarnation,
            memory: server.memory.0,
        }
    }
}

impl From<WireGranted> for GrantedServer {
    fn from(wire: WireGranted) -> Self {
        Self {
            id: ServerId::from(wire.id),
            address: Arc::from(wire.address),
            incarnation: wire.incarnation,
            memory: Tokens(wire.memory),
        }
    }
}
