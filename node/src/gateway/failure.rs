//! Why attempts fail, and what their failures show of servers.

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::RunState;
use slog::info;

use super::hedge::AttemptContext;
use super::placement_sync;
use super::relay;
use super::state::Gateway;
use super::target::Target;

/// Why an attempt yielded no usable response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// No connection could be opened, or it closed before the request was sent.
    Unreachable,
    /// Another VM was asked, and reaches no server of the service or is stopping.
    NoPath,
    /// The server refused the request and states that it did not run it.
    Refused,
    /// The server takes no requests any more, by another answer or an evacuation; nothing was sent.
    Withdrawn,
    /// Another server answered at this address.
    Replaced,
    /// The server does not take the request, which its caller wants to run on other weights.
    OtherWeights,
    /// A helper did not reserve the memory for its part of the prompt.
    NoMemory,
    /// The server refused the request because a helper failed, which it names.
    HelperFailed,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// Another server answered while this one was silent.
    Overtaken,
    /// This VM had no memory left for the answer.
    NoRoom,
    /// The deadline of the request passed.
    Overdue,
}

impl Failure {
    /// Whether the server may have run the request.
    pub(super) const fn run_state(self) -> RunState {
        match self {
            Self::Unreachable
            | Self::NoPath
            | Self::Refused
            | Self::Withdrawn
            | Self::Replaced
            | Self::OtherWeights
            | Self::NoMemory
            | Self::HelperFailed => RunState::NotRun,
            Self::Broken | Self::Overtaken | Self::NoRoom | Self::Overdue => RunState::MayHaveRun,
        }
    }

    /// Whether the failure is that of a helper, and says nothing of the selected server.
    pub(super) const fn is_of_helper(self) -> bool {
        matches!(self, Self::NoMemory | Self::HelperFailed)
    }

    /// Returns the outcome to record for the health of the selected server, if any.
    ///
    /// A missed deadline says nothing about the server: the request may have had little time left.
    pub(super) const fn health_outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Unreachable => Some(ServerOutcome::Unreachable),
            Self::Refused => Some(ServerOutcome::Full),
            Self::Replaced | Self::Broken | Self::Overtaken => Some(ServerOutcome::Failed),
            Self::NoPath
            | Self::Withdrawn
            | Self::OtherWeights
            | Self::NoMemory
            | Self::HelperFailed
            | Self::NoRoom
            | Self::Overdue => None,
        }
    }
}

/// Updates the health of the target and the log after a failed attempt.
pub(super) fn record_failure(context: AttemptContext<'_>, target: &Target, failure: Failure) {
    let AttemptContext { gateway, call, .. } = context;
    match target {
        Target::Server(incarnation) => record_server_failure(gateway, incarnation, failure),
        Target::Vm { vm, .. } => relay::record_failure(gateway, call, vm, failure),
    }
    info!(gateway.log, "Attempt failed"; "request" => call.attempt_id_text(),
        "content" => %call.content.digest(), "server" => %target, "born" => target.born(),
        "failure" => ?failure, "ran" => context.tally.may_have_run(),
        "after_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
}

/// Updates the health of a server after a failed attempt.
fn record_server_failure(gateway: &Gateway, asked: &Incarnation, failure: Failure) {
    let now = gateway.now();
    let server = &asked.server;
    if let Some(outcome) = failure.health_outcome() {
        if failure == Failure::Broken {
            placement_sync::record_request_outcome(gateway, server, outcome);
        } else {
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.record_outcome(now, server, outcome);
        }
    }
    if failure == Failure::Replaced {
        gateway.fleet.borrow_mut().mark_replaced(now, asked);
    }
}
