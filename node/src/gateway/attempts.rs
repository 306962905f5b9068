//! The attempts at one request, and when another may follow.

use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use slog::info;
use tokio::time::sleep;

use super::choosing::{Choice, choose};
use super::exchange::{Failure, Opened, attempt};
use super::refusal::SOON;
use super::request::CallerRequest;
use super::sharing;
use super::state::Gateway;
use crate::metrics;

/// Most refusals by servers before a request is refused here.
const MAX_REFUSALS: u32 = 5;
/// Time before a request that a server refused is sent to another.
const REFUSED_WAIT: Duration = Duration::from_millis(10);
/// Mean time after which a long prompt that waits for room is placed again.
const ROOM_WAIT: Duration = Duration::from_millis(25);

/// The attempts at one request so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Servers that are not asked again.
    pub(super) tried: Vec<ServerId>,
    /// Attempts that may have run.
    ran: u32,
    refusals: u32,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            ran: 0,
            refusals: 0,
        }
    }

    pub(super) fn run_state(&self) -> RunState {
        if self.ran == 0 {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }

    /// Makes attempts until one brings the head of an answer.
    pub(super) async fn open(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &CallerRequest,
        last_event: Option<u64>,
    ) -> Result<Opened, Refusal> {
        loop {
            if call.left(gateway.now()).is_zero() {
                return Err(self.refusal(RefusalReason::DeadlinePassed));
            }
            let chosen = match choose(gateway, call, &self.tried) {
                Choice::Chosen(chosen) => chosen,
                Choice::Wait => {
                    sleep(ROOM_WAIT.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
                Choice::Refuse => return Err(self.refusal(RefusalReason::QueueFull)),
                Choice::Nobody => return Err(self.refusal(RefusalReason::NoServer)),
            };
            let server = chosen.server.clone();
            let failure = match attempt(gateway, call, chosen, last_event, self.repeats(call)).await
            {
                Ok(opened) => return Ok(opened),
                Err(failure) => failure,
            };
            self.note(gateway, call, &server, failure);
            self.next(gateway, call, failure)?;
            if matches!(failure, Failure::Refused | Failure::NoMemory) {
                sleep(REFUSED_WAIT).await;
            }
        }
    }

    /// Whether another attempt may follow the one in progress.
    ///
    /// Where none may, a silent server is waited for to the end.
    pub(super) fn repeats(&self, call: &CallerRequest) -> bool {
        call.route.kind.is_idempotent() && self.ran + 1 < call.route.max_attempts
    }

    /// Decides whether another attempt may follow one that broke after it may have run.
    pub(super) fn may_repeat(&mut self, gateway: &Gateway, call: &CallerRequest) -> bool {
        let idempotent = call.route.kind.is_idempotent();
        let in_time = !call.left(gateway.now()).is_zero();
        self.ran += 1;
        idempotent
            && in_time
            && self.ran < call.route.max_attempts
            && gateway.spend_retry(&call.service)
    }

    fn next(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        failure: Failure,
    ) -> Result<(), Refusal> {
        if failure.run() == RunState::MayHaveRun {
            if self.may_repeat(gateway, call) {
                metrics::count_retry(RetryReason::IdempotentBroken);
                return Ok(());
            }
            let reason = match failure {
                Failure::Overdue => RefusalReason::DeadlinePassed,
                _ => RefusalReason::ServerFailed,
            };
            return Err(self.refusal(reason));
        }
        self.refusals += 1;
        // A refusal reached the server, so sending again counts as a retry there.
        let free = matches!(failure, Failure::Unreachable | Failure::NoMemory)
            || gateway.spend_retry(&call.service);
        if self.refusals >= MAX_REFUSALS || !free {
            return Err(self.refusal(RefusalReason::ServerRefused));
        }
        let reason = if failure == Failure::Unreachable {
            RetryReason::ConnectFailed
        } else {
            RetryReason::ServerRefused
        };
        metrics::count_retry(reason);
        Ok(())
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let run = self.run_state();
        Refusal {
            reason,
            run,
            retry_after: (run == RunState::NotRun).then_some(SOON),
        }
    }

    fn note(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        server: &ServerId,
        failure: Failure,
    ) {
        let now = gateway.now();
        if failure != Failure::NoMemory {
            self.tried.push(server.clone());
        }
        if let Some(result) = failure.served() {
            if failure == Failure::Broken {
                sharing::note_served(gateway, server, result);
            } else {
                gateway
                    .fleet
                    .borrow_mut()
                    .record_outcome(now, server, result);
            }
        }
        if failure == Failure::Replaced {
            gateway.fleet.borrow_mut().mark_replaced(now, server);
        }
        info!(gateway.log, "Attempt failed"; "request" => call.id_text(), "server" => %server,
            "failure" => ?failure, "after_ms" => now.since(call.began).as_millis(),
            "manifest" => call.manifest);
    }
}
