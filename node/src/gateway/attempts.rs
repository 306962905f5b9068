//! Retry loop of one request: selects servers, attempts, and decides on further attempts.

use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::engine_placement::decision::Weighed;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use slog::info;
use tokio::time::sleep;

use super::crash_verdict::{self, Permission};
use super::exchange::UpstreamResponse;
use super::failure::{Failure, record_failure};
use super::hedge::AttemptContext;
use super::length_shares;
use super::open_requests::Phase;
use super::refusal::DEFAULT_RETRY_AFTER;
use super::request::CallerRequest;
use super::selection::{Selection, select_servers};
use super::state::{Gateway, StopStage};
use super::tally::Tally;
use super::waiting::{self, Waiter};
use crate::metrics;

/// Failed attempts that did not run the request, after which it is refused.
const MAX_NOT_RUN_FAILURES: u32 = 5;
/// Wait before the next attempt after a server or a helper had no capacity.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(10);
/// Mean wait before engines are selected again for a long prompt without capacity.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Time in which a VM notices the end of a cut, after which its callers may come back.
const NO_PATH_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Interval at which a request that waits for a permit or a turn looks for it.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a permit; it is promised at most a second ahead.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(1200);

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
    pub(super) tally: Rc<Tally>,
    /// Failed attempts that did not run the request; limited by `MAX_NOT_RUN_FAILURES`.
    not_run: u32,
    /// Times that servers were to be selected.
    selections: u32,
    /// Set while the request waits for a permit, or for a turn at a cold server.
    waiter: Option<Waiter>,
    /// Lowest external cost at which a prompt might have been placed while it waited.
    cheapest: Option<WeighedAt>,
}

/// What was weighed for a prompt that waits.
#[derive(Clone, Copy, Debug)]
struct WeighedAt {
    /// Time since the request was received.
    waited: Duration,
    weighed: Weighed,
}

impl WeighedAt {
    fn external_cost(&self) -> f64 {
        self.weighed.external_cost.total()
    }
}

impl Attempts {
    /// Begins the attempts at a request.
    ///
    /// The VM that read the request tells which servers it excludes, and decides on trials.
    pub(super) fn new(call: &CallerRequest) -> Self {
        let tally = Tally::default();
        if let Some(relayed) = &call.relayed {
            let mut excluded = tally.excluded.borrow_mut();
            excluded.servers.clone_from(&relayed.excluded);
            drop(excluded);
            tally.on_trial.set(relayed.on_trial);
        }
        Self {
            tally: Rc::new(tally),
            not_run: 0,
            selections: 0,
            waiter: None,
            cheapest: None,
        }
    }

    /// Whether any failed attempt may have run the request.
    pub(super) fn run_state(&self) -> RunState {
        if self.tally.may_have_run() == 0 {
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
            if self.selections == 0 {
                let is_underserved = length_shares::record_received(gateway, call);
                self.tally.is_underserved.set(is_underserved);
            }
            self.selections += 1;
            match self.permission(gateway, call) {
                Permission::Send => {}
                Permission::SendOnTrial => self.tally.on_trial.set(true),
                Permission::Wait if self.is_refused_by_stop(gateway) => {
                    return Err(self.refusal(RefusalReason::Stopping));
                }
                Permission::Wait => {
                    sleep(PLACEMENT_RETRY_INTERVAL).await;
                    continue;
                }
                Permission::Refuse(left) => return Err(self.quarantine_refusal(left)),
            }
            let excluded = self.tally.excluded.borrow().clone();
            let is_waiting = self.waiter.is_some();
            let selected = match select_servers(gateway, call, &self.tally, &excluded, is_waiting) {
                Selection::Selected(selected) => *selected,
                Selection::Wait(_)
                | Selection::AwaitRoom
                | Selection::AwaitPermit
                | Selection::AwaitTurn
                    if self.is_refused_by_stop(gateway) =>
                {
                    return Err(self.refusal(RefusalReason::Stopping));
                }
                Selection::Wait(weighed) => {
                    self.record_weighed(gateway.now().since(call.received_at), weighed);
                    sleep(PLACEMENT_RETRY_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
                Selection::AwaitRoom => {
                    sleep(PLACEMENT_RETRY_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
                Selection::AwaitPermit if self.may_await_permit(gateway, call) => {
                    sleep(PERMIT_POLL_INTERVAL).await;
                    continue;
                }
                Selection::AwaitTurn => {
                    self.begin_wait(gateway, call);
                    sleep(PERMIT_POLL_INTERVAL).await;
                    continue;
                }
                Selection::Cold(wait) => return Err(self.cold_refusal(wait)),
                Selection::AwaitPermit | Selection::RateLimited => {
                    return Err(self.rate_refusal(gateway, call));
                }
                Selection::HeldBack(left) => return Err(self.held_back_refusal(left)),
                Selection::Refuse(weighed) => {
                    self.log_refused_prompt(gateway, call, &weighed);
                    return Err(self.refusal(RefusalReason::QueueFull));
                }
                Selection::NoRoom => {
                    self.log_no_room(gateway, call);
                    return Err(self.refusal(RefusalReason::QueueFull));
                }
                Selection::NoPath => return Err(self.path_refusal()),
                Selection::NoServer => return Err(self.refusal(RefusalReason::NoServer)),
            };
            self.waiter = None;
            let context = AttemptContext {
                gateway,
                call,
                tally: &self.tally,
                last_event,
            };
            let (target, failure) = match context.race(selected).await {
                Ok(upstream_response) => return Ok(upstream_response),
                Err(failed) => failed,
            };
            record_failure(context, &target, failure);
            if !failure.is_of_helper() {
                self.tally.exclude_failed(&target, failure);
            }
            self.authorize_retry(gateway, call, failure)?;
            crash_verdict::await_evidence(gateway, call, failure.run_state()).await;
            if failure == Failure::Refused || failure.is_of_helper() {
                sleep(REFUSAL_BACKOFF).await;
            }
        }
    }

    /// Spends a retry after an attempt that may have run, if allowed.
    ///
    /// # Errors
    /// Returns why no other attempt may follow.
    pub(super) fn try_retry(
        &self,
        gateway: &Gateway,
        call: &CallerRequest,
    ) -> Result<(), RetryDenial> {
        if !call.route.kind.is_idempotent() {
            return Err(RetryDenial::AtMostOnce);
        }
        if call.time_left(gateway.now()).is_zero() {
            return Err(RetryDenial::Deadline);
        }
        if self.tally.may_have_run() >= call.route.max_attempts {
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
            // Another run would meet the same lack of memory.
            let may_retry = failure != Failure::NoRoom;
            if may_retry && self.try_retry(gateway, call).is_ok() {
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
        let is_free = matches!(
            failure,
            Failure::Unreachable | Failure::NoPath | Failure::Withdrawn | Failure::NoMemory
        );
        let permitted = is_free || gateway.spend_retry(&call.service);
        if self.not_run >= MAX_NOT_RUN_FAILURES || !permitted {
            return Err(self.refusal(RefusalReason::ServerRefused));
        }
        let reason = if matches!(failure, Failure::Unreachable | Failure::NoPath) {
            RetryReason::ConnectFailed
        } else {
            RetryReason::ServerRefused
        };
        metrics::count_retry(reason);
        Ok(())
    }

    /// Remembers what was weighed for a prompt that waits, if it was the cheapest so far.
    fn record_weighed(&mut self, waited: Duration, weighed: Weighed) {
        let weighed = WeighedAt { waited, weighed };
        let is_cheaper = |least: &WeighedAt| weighed.external_cost() < least.external_cost();
        if self.cheapest.as_ref().is_none_or(is_cheaper) {
            self.cheapest = Some(weighed);
        }
    }

    /// Logs what was weighed when a prompt was refused.
    fn log_refused_prompt(&self, gateway: &Gateway, call: &CallerRequest, weighed: &Weighed) {
        let cheapest = self.cheapest.as_ref();
        let share = length_shares::share(gateway, call);
        info!(gateway.log, "Prompt refused"; "request" => call.attempt_id_text(),
            "prompt_tokens" => call.prompt_tokens(), "selections" => self.selections,
            "waited_ms" => gateway.now().since(call.received_at).as_millis(),
            "external_cost" => weighed.external_cost.total(), "gain" => weighed.gain,
            "delay_cost" => weighed.external_cost.delays, "engine_cost" => weighed.engine_cost,
            "least_cost" => cheapest.map(WeighedAt::external_cost),
            "least_cost_gain" => cheapest.map(|least| least.weighed.gain),
            "least_cost_engine" => cheapest.map(|least| least.weighed.engine_cost),
            "least_cost_ms" => cheapest.map(|least| least.waited.as_millis()),
            "underserved" => self.tally.is_underserved.get(),
            "placed_rate" => share.as_ref().map(|share| share.group_rate),
            "class_rate" => share.as_ref().map(|share| share.class_rate),
            "spent_ms" => call.spent_before().as_millis(),
            "busy_fraction" => weighed.busy_fraction, "taken_fraction" => weighed.taken_fraction, "engines" => weighed.engines,
            "predicted_ms" => weighed.predicted_ttft.as_millis());
    }

    /// Logs that a prompt was refused since no engines had room for it.
    fn log_no_room(&self, gateway: &Gateway, call: &CallerRequest) {
        info!(gateway.log, "No engines have room for the prompt"; "request" => call.attempt_id_text(),
            "prompt_tokens" => call.prompt_tokens(), "selections" => self.selections,
            "waited_ms" => gateway.now().since(call.received_at).as_millis());
    }

    /// Builds the refusal; it suggests coming back only if no attempt may have run.
    fn refusal(&self, reason: RefusalReason) -> Refusal {
        self.refusal_after(reason, || DEFAULT_RETRY_AFTER)
    }

    /// Builds the refusal, with the time after which the caller may come back.
    ///
    /// `wait` is only called if no attempt may have run: it may promise the caller a turn.
    fn refusal_after(&self, reason: RefusalReason, wait: impl FnOnce() -> Duration) -> Refusal {
        let run = self.run_state();
        Refusal {
            reason,
            run,
            retry_after: (run == RunState::NotRun).then(wait),
        }
    }

    /// Builds the refusal of a request for which neither this nor another VM reaches a server.
    fn path_refusal(&self) -> Refusal {
        self.refusal_after(RefusalReason::NoPath, || NO_PATH_RETRY_AFTER)
    }

    /// Builds the refusal of a request while all servers want none; it ends with the shortest time.
    fn held_back_refusal(&mut self, left: Duration) -> Refusal {
        self.waiter = None;
        self.refusal_after(RefusalReason::HeldBack, || left)
    }

    /// Begins the wait for a permit or a turn if it has not begun.
    fn begin_wait(&mut self, gateway: &Rc<Gateway>, call: &CallerRequest) -> &Waiter {
        self.waiter
            .get_or_insert_with(|| Waiter::new(gateway, &call.service))
    }

    /// Whether the request may wait for a permit; begins the wait if it has not begun.
    fn may_await_permit(&mut self, gateway: &Rc<Gateway>, call: &CallerRequest) -> bool {
        let since = self.begin_wait(gateway, call).since;
        gateway.now().since(since) < MAX_PERMIT_WAIT
    }

    /// Builds the refusal of a request that no server takes soon, by its limit.
    fn rate_refusal(&mut self, gateway: &Gateway, call: &CallerRequest) -> Refusal {
        self.waiter = None;
        let wait = || waiting::return_after(gateway, &call.service);
        self.refusal_after(RefusalReason::RateLimited, wait)
    }

    /// Builds the refusal of a request for which all servers are too cold.
    fn cold_refusal(&mut self, wait: Duration) -> Refusal {
        self.waiter = None;
        self.refusal_after(RefusalReason::RateLimited, || wait)
    }

    /// Whether a planned stop refuses the request instead of letting it wait.
    ///
    /// One that may have run waits on: its caller cannot simply send it again elsewhere.
    fn is_refused_by_stop(&self, gateway: &Gateway) -> bool {
        gateway.has_reached(StopStage::Draining) && self.run_state() == RunState::NotRun
    }

    /// Checks whether the request may be sent; the trial of a content is sent only once.
    fn permission(&self, gateway: &Gateway, call: &CallerRequest) -> Permission {
        match (self.tally.on_trial.get(), self.run_state()) {
            (false, _) => crash_verdict::permission(gateway, call),
            (true, RunState::NotRun) => Permission::Send,
            (true, _) => Permission::Refuse(Duration::ZERO),
        }
    }

    /// Builds the refusal of a content that crashed servers; it ends with the quarantine.
    fn quarantine_refusal(&self, left: Duration) -> Refusal {
        self.refusal_after(RefusalReason::Quarantined, || left)
    }
}
