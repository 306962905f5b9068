//! Attempts at one request: the decision to retry, or the final refusal.

use std::thread;
use std::time::Duration;

use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use merlinrudder_core::retry::{RetryContext, backoff};
use merlinrudder_core::units::AttemptId;

use super::caller_api::{AdmittedRequest, CallerApi};
use crate::metrics;

/// Retry delay sent to a caller whose request failed after admission.
pub(super) const FAILURE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum attempts at one request; the caller may retry after the refusal.
const MAX_ATTEMPTS: AttemptId = AttemptId(6);

/// Attempts at a request up to now.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Number of the current attempt; the first is 1.
    pub(super) number: AttemptId,
    /// Servers on which an attempt failed; each is listed once.
    pub(super) failed_servers: Vec<ServerId>,
    /// Number of zones to skip.
    ///
    /// It grows by one when an attempt fails on a server that already failed the request. Such a
    /// server is only selected again if no other server of its zone can run the request.
    pub(super) skipped_zones: usize,
    /// Whether any attempt may have run at a backend server.
    may_have_run: bool,
}

/// A failed attempt, as input of the retry decision.
#[derive(Clone, Debug)]
pub(super) struct FailedAttempt {
    /// Server that the attempt was sent to.
    pub(super) server: ServerId,
    /// Whether that server may have run it.
    pub(super) run: RunState,
    /// Reason under which a retry is counted in the metrics.
    pub(super) retry_reason: RetryReason,
}

impl Attempts {
    /// Creates the state of the first attempt.
    pub(super) fn new() -> Self {
        Self {
            number: AttemptId(1),
            failed_servers: Vec::new(),
            skipped_zones: 0,
            may_have_run: false,
        }
    }

    /// Returns the refusal with `MayHaveRun` if any attempt may have run.
    pub(super) fn final_refusal(&self, refusal: Refusal) -> Refusal {
        let run = if self.may_have_run {
            RunState::MayHaveRun
        } else {
            refusal.run
        };
        Refusal { run, ..refusal }
    }

    /// Counts a failed attempt and sleeps for the backoff before the next one.
    ///
    /// # Errors
    /// Returns the final refusal if the retry rules, the attempt limit or the retry budget forbid
    /// another attempt.
    pub(super) fn prepare_retry(
        &mut self,
        api: &CallerApi,
        admitted: &AdmittedRequest,
        idempotent: bool,
        failure: FailedAttempt,
    ) -> Result<(), Refusal> {
        self.may_have_run |= failure.run != RunState::NotRun;
        let (now, deadline) = (api.clock.now(), admitted.deadline);
        let context = RetryContext {
            idempotent,
            run: failure.run,
            now,
            deadline,
        };
        if !context.allowed() {
            // An idempotent request is only denied a retry for lack of time.
            let out_of_time = deadline <= now || idempotent;
            let reason = if out_of_time {
                RefusalReason::DeadlinePassed
            } else {
                RefusalReason::ServerFailed
            };
            return Err(self.failure_refusal(reason));
        }
        if self.number >= MAX_ATTEMPTS {
            let attempt_may_have_run = failure.run != RunState::NotRun;
            let reason = if attempt_may_have_run {
                RefusalReason::ServerFailed
            } else {
                RefusalReason::ServerRefused
            };
            return Err(self.failure_refusal(reason));
        }
        if !api.try_spend_retry(&admitted.service) {
            return Err(self.failure_refusal(RefusalReason::RetryBudgetSpent));
        }
        metrics::count_retry(failure.retry_reason);
        if self.failed_servers.contains(&failure.server) {
            self.skipped_zones += 1;
        } else {
            self.failed_servers.push(failure.server);
        }
        self.number = self.number.next();
        let wait = backoff(self.number.0, fastrand::f64());
        thread::sleep(wait.min(api.time_left(admitted)));
        Ok(())
    }

    fn failure_refusal(&self, reason: RefusalReason) -> Refusal {
        self.final_refusal(Refusal::not_run(reason, Some(FAILURE_RETRY_AFTER)))
    }
}
