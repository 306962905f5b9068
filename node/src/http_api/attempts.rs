//! The attempts at one request: which comes next, and the final answer where none does.

use std::thread;
use std::time::Duration;

use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use merlinrudder_core::retry::{RetryContext, backoff};
use merlinrudder_core::units::AttemptId;

use super::caller_api::{Admitted, CallerApi};
use crate::metrics;

/// When a caller whose request failed on the way may come back.
pub(super) const FAILED_RETRY: Duration = Duration::from_secs(1);
/// Most attempts at one request; the caller gets its answer then and may come back.
const MAX_ATTEMPTS: AttemptId = AttemptId(6);

/// Attempts so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Number of the current attempt.
    pub(super) number: AttemptId,
    /// Servers that failed the request.
    pub(super) avoid: Vec<ServerId>,
    /// Zones to pass over, as a server that had failed the request was all that one had.
    pub(super) skipped_zones: usize,
    /// Whether any server may have run it.
    touched: bool,
}

/// How an attempt failed.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    /// The server.
    pub(super) server: ServerId,
    /// How far it came.
    pub(super) run: RunState,
    /// What a further attempt is counted as.
    pub(super) retry: RetryReason,
}

impl Attempts {
    /// Starts with the first attempt.
    pub(super) fn new() -> Self {
        Self {
            number: AttemptId(1),
            avoid: Vec::new(),
            skipped_zones: 0,
            touched: false,
        }
    }

    /// Says "may have run" in a final answer after any attempt that a server may have run.
    pub(super) fn last(&self, refusal: Refusal) -> Refusal {
        let run = if self.touched {
            RunState::MayHaveRun
        } else {
            refusal.run
        };
        Refusal { run, ..refusal }
    }

    /// Goes on to the next attempt after a short wait.
    ///
    /// # Errors
    /// Returns the final answer where the rules or the budget of retries allow no further attempt.
    pub(super) fn next(
        &mut self,
        callers: &CallerApi,
        admitted: &Admitted,
        idempotent: bool,
        failure: Failure,
    ) -> Result<(), Refusal> {
        self.touched |= failure.run != RunState::NotRun;
        let (now, deadline) = (callers.clock.now(), admitted.deadline);
        let question = RetryContext {
            idempotent,
            run: failure.run,
            now,
            deadline,
        };
        if !question.allowed() {
            let passed = deadline <= now || idempotent;
            let reason = if passed {
                RefusalReason::DeadlinePassed
            } else {
                RefusalReason::ServerFailed
            };
            return Err(self.failed(reason));
        }
        if self.number >= MAX_ATTEMPTS {
            let ran = failure.run != RunState::NotRun;
            let reason = if ran {
                RefusalReason::ServerFailed
            } else {
                RefusalReason::ServerRefused
            };
            return Err(self.failed(reason));
        }
        if !callers.spend_retry(&admitted.service) {
            return Err(self.failed(RefusalReason::RetryBudgetSpent));
        }
        metrics::count_retry(failure.retry);
        if self.avoid.contains(&failure.server) {
            self.skipped_zones += 1;
        } else {
            self.avoid.push(failure.server);
        }
        self.number = self.number.next();
        let wait = backoff(self.number.0, fastrand::f64());
        thread::sleep(wait.min(callers.time_left(admitted)));
        Ok(())
    }

    fn failed(&self, reason: RefusalReason) -> Refusal {
        self.last(Refusal::not_run(reason, Some(FAILED_RETRY)))
    }
}
