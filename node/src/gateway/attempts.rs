//! Retry loop of one request: selects servers, attempts, and decides on further attempts.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use slog::info;
use tokio::time::{sleep, timeout};

use super::crash_verdict::{self, Permission};
use super::exchange::{Failure, Progress, UpstreamResponse, attempt, hang_timeout};
use super::hedge::{self, HEDGE_INTERVAL, HedgeFailure};
use super::open_requests::Phase;
use super::placement_sync;
use super::refusal::DEFAULT_RETRY_AFTER;
use super::request::CallerRequest;
use super::selection::{SelectedServers, Selection, select_servers};
use super::state::{Gateway, StopStage};
use crate::metrics;

/// Failed attempts that did not run the request, after which it is refused.
const MAX_NOT_RUN_FAILURES: u32 = 5;
/// Wait before the next attempt after a server or a helper had no capacity.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(10);
/// Mean wait before engines are selected again for a long prompt without capacity.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Why no other attempt may follow one that may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RetryDenial {
    /// The request may run at most once.
    AtMostOnce,
    /// The deadline of the request has passed.
    Deadline,
    /// The route allows no further attempts.
    AttemptLimit,
    /// The retry budget of the service is spent.
    Budget,
}

/// Attempts made for one request so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Servers that failed an attempt and are not selected again.
    pub(super) excluded: Vec<ServerId>,
    /// Failed attempts that may have run the request; limited by the route.
    may_have_run: u32,
    /// Failed attempts that did not run the request; limited by `MAX_NOT_RUN_FAILURES`.
    not_run: u32,
    /// Whether the request is the trial of a content that crashed servers.
    on_trial: bool,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            excluded: Vec::new(),
            may_have_run: 0,
            not_run: 0,
            on_trial: false,
        }
    }

    /// Whether any failed attempt may have run the request.
    pub(super) fn run_state(&self) -> RunState {
        if self.may_have_run == 0 {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }

    /// Attempts the request until a server returns a response head.
    ///
    /// `last_event` is the number of the last event forwarded, for a stream that is resumed.
    ///
    /// # Errors
    /// Returns the refusal for the caller when no further attempt is possible or allowed.
    pub(super) async fn run_until_response(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &CallerRequest,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, Refusal> {
        loop {
            if call.time_left(gateway.now()).is_zero() {
                return Err(self.refusal(RefusalReason::DeadlinePassed));
            }
            call.guard.enter(Phase::Selection);
            match self.permission(gateway, call) {
                Permission::Send => {}
                Permission::SendOnTrial => self.on_trial = true,
                Permission::Wait if self.is_refused_by_stop(gateway) => {
                    return Err(self.refusal(RefusalReason::Stopping));
                }
                Permission::Wait => {
                    sleep(PLACEMENT_RETRY_INTERVAL).await;
                    continue;
                }
                Permission::Refuse(left) => return Err(self.quarantine_refusal(left)),
            }
            let selected = match select_servers(gateway, call, &self.excluded) {
                Selection::Selected(selected) => selected,
                Selection::Wait if self.is_refused_by_stop(gateway) => {
                    return Err(self.refusal(RefusalReason::Stopping));
                }
                Selection::Wait => {
                    sleep(PLACEMENT_RETRY_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
                Selection::Refuse => return Err(self.refusal(RefusalReason::QueueFull)),
                Selection::NoServer => return Err(self.refusal(RefusalReason::NoServer)),
            };
            let result = self.attempt_hedged(gateway, call, selected, last_event);
            let (incarnation, failure) = match result.await {
                Ok(upstream_response) => return Ok(upstream_response),
                Err(failed) => failed,
            };
            self.record_failure(gateway, call, &incarnation, failure);
            self.authorize_retry(gateway, call, failure)?;
            crash_verdict::await_evidence(gateway, call, failure.run_state()).await;
            if matches!(failure, Failure::Refused | Failure::NoMemory) {
                sleep(REFUSAL_BACKOFF).await;
            }
        }
    }

    /// Makes one attempt, and a hedge at another server for as long as the first one is silent.
    ///
    /// Returns the response whose head arrives first, or the failure of the last attempt that was
    /// left; other failures are counted.
    async fn attempt_hedged(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &CallerRequest,
        selected: SelectedServers,
        last_event: Option<u64>,
    ) -> Result<UpstreamResponse, (Incarnation, Failure)> {
        let incarnation = selected.incarnation();
        let mut silence = hang_timeout(call, &selected);
        let progress = Progress::default();
        let mut first = pin!(attempt(gateway, call, selected, last_event, &progress));
        while self.allows_hedge(call) {
            if let Ok(result) = timeout(silence, first.as_mut()).await {
                return result.map_err(|failure| (incarnation, failure));
            }
            silence = HEDGE_INTERVAL;
            let excluded = self.excluded_with(&incarnation.server);
            let hedge_progress = Progress::default();
            let mut hedge = pin!(hedge::open(
                gateway,
                call,
                &excluded,
                last_event,
                &hedge_progress
            ));
            let hedged = tokio::select! {
                biased;
                result = first.as_mut() => {
                    if !hedge_progress.sent.get() {
                        return result.map_err(|failure| (incarnation, failure));
                    }
                    if let Err(failure) = result {
                        self.record_parallel_failure(gateway, call, &incarnation, failure);
                        return hedge.await.map_err(|failed| match failed {
                            HedgeFailure::Failed(server, failure) => (server, failure),
                            HedgeFailure::NotSent => (incarnation, failure),
                        });
                    }
                    self.count_parallel(RunState::MayHaveRun);
                    return result.map_err(|failure| (incarnation, failure));
                }
                hedged = hedge.as_mut() => hedged,
            };
            match hedged {
                Ok(response) => {
                    progress.give_up();
                    self.record_parallel_failure(gateway, call, &incarnation, Failure::Overtaken);
                    return Ok(response);
                }
                Err(failed) => self.record_hedge_failure(gateway, call, failed),
            }
        }
        first.await.map_err(|failure| (incarnation, failure))
    }

    /// Whether a hedge may be sent beside the attempt in progress.
    pub(super) fn allows_hedge(&self, call: &CallerRequest) -> bool {
        self.allows_retry(call) && self.not_run < MAX_NOT_RUN_FAILURES
    }

    /// Returns the servers that a hedge beside an attempt at `server` must not be sent to.
    pub(super) fn excluded_with(&self, server: &ServerId) -> Vec<ServerId> {
        let mut excluded = self.excluded.clone();
        excluded.push(server.clone());
        excluded
    }

    /// Counts a hedge that failed while the first attempt goes on.
    pub(super) fn record_hedge_failure(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        failed: HedgeFailure,
    ) {
        if let HedgeFailure::Failed(incarnation, failure) = failed {
            self.record_parallel_failure(gateway, call, &incarnation, failure);
        }
    }

    /// Counts an attempt that failed while another one goes on.
    fn record_parallel_failure(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        incarnation: &Incarnation,
        failure: Failure,
    ) {
        self.record_failure(gateway, call, incarnation, failure);
        self.count_parallel(failure.run_state());
    }

    /// Counts an attempt that ended or was dropped while another one goes on.
    pub(super) fn count_parallel(&mut self, run: RunState) {
        if run == RunState::NotRun {
            self.not_run += 1;
        } else {
            self.may_have_run += 1;
        }
    }

    /// Whether another attempt may follow the one in progress.
    ///
    /// Assumes that the one in progress may have run the request.
    fn allows_retry(&self, call: &CallerRequest) -> bool {
        call.route.kind.is_idempotent() && self.may_have_run + 1 < call.route.max_attempts
    }

    /// Counts a failed attempt that may have run, and spends a retry if allowed.
    ///
    /// # Errors
    /// Returns why no other attempt may follow.
    pub(super) fn try_retry(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
    ) -> Result<(), RetryDenial> {
        self.may_have_run += 1;
        if !call.route.kind.is_idempotent() {
            return Err(RetryDenial::AtMostOnce);
        }
        if call.time_left(gateway.now()).is_zero() {
            return Err(RetryDenial::Deadline);
        }
        if self.may_have_run >= call.route.max_attempts {
            return Err(RetryDenial::AttemptLimit);
        }
        if !gateway.spend_retry(&call.service) {
            return Err(RetryDenial::Budget);
        }
        Ok(())
    }

    /// Checks whether another attempt may follow `failure`, and counts the retry.
    ///
    /// # Errors
    /// Returns the refusal for the caller when no attempt may follow.
    fn authorize_retry(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        failure: Failure,
    ) -> Result<(), Refusal> {
        if failure.run_state() == RunState::MayHaveRun {
            if self.try_retry(gateway, call).is_ok() {
                metrics::count_retry(RetryReason::IdempotentBroken);
                return Ok(());
            }
            let reason = match failure {
                Failure::Overdue => RefusalReason::DeadlinePassed,
                _ => RefusalReason::ServerFailed,
            };
            return Err(self.refusal(reason));
        }
        self.not_run += 1;
        // A refused or misdirected request reached a server, so the next attempt spends a retry.
        let permitted = matches!(failure, Failure::Unreachable | Failure::NoMemory)
            || gateway.spend_retry(&call.service);
        if self.not_run >= MAX_NOT_RUN_FAILURES || !permitted {
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

    /// Builds the refusal; it suggests coming back only if no attempt may have run.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let run = self.run_state();
        Refusal {
            reason,
            run,
            retry_after: (run == RunState::NotRun).then_some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Whether a planned stop refuses the request instead of letting it wait.
    ///
    /// One that may have run waits on: its caller cannot simply send it again elsewhere.
    fn is_refused_by_stop(&self, gateway: &Gateway) -> bool {
        gateway.has_reached(StopStage::Draining) && self.run_state() == RunState::NotRun
    }

    /// Checks whether the request may be sent; the trial of a content is sent only once.
    fn permission(&self, gateway: &Gateway, call: &CallerRequest) -> Permission {
        match (self.on_trial, self.run_state()) {
            (false, _) => crash_verdict::permission(gateway, call),
            (true, RunState::NotRun) => Permission::Send,
            (true, _) => Permission::Refuse(Duration::ZERO),
        }
    }

    /// Builds the refusal of a content that crashed servers; it ends with the quarantine.
    fn quarantine_refusal(&self, left: Duration) -> Refusal {
        let run = self.run_state();
        Refusal {
            reason: RefusalReason::Quarantined,
            run,
            retry_after: (run == RunState::NotRun).then_some(left),
        }
    }

    /// Updates server health, the excluded servers and the log after a failed attempt.
    ///
    /// A helper without memory does not exclude the selected server.
    fn record_failure(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        incarnation: &Incarnation,
        failure: Failure,
    ) {
        let now = gateway.now();
        let server = &incarnation.server;
        if failure != Failure::NoMemory {
            self.excluded.push(server.clone());
        }
        if let Some(server_outcome) = failure.health_outcome() {
            if failure == Failure::Broken {
                placement_sync::record_request_outcome(gateway, server, server_outcome);
            } else {
                gateway
                    .fleet
                    .borrow_mut()
                    .record_outcome(now, server, server_outcome);
            }
        }
        if failure == Failure::Replaced {
            gateway.fleet.borrow_mut().mark_replaced(now, server);
        }
        info!(gateway.log, "Attempt failed"; "request" => call.attempt_id_text(),
            "content" => %call.content.digest(), "server" => %server, "born" => incarnation.born,
            "failure" => ?failure, "ran" => self.may_have_run, "not_run" => self.not_run,
            "after_ms" => now.since(call.received_at).as_millis(),
            "manifest" => call.manifest_number);
    }
}
