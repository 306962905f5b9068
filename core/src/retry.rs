//! When a request may be sent again, and how often a service allows it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine_model::as_float;
use crate::outcome::RunState;
use crate::time::Moment;

/// Retries that a service has at the start: the streams of one engine that dies must all go on, in a
/// quiet service too.
const FLOOR: f64 = 32.0;
/// Most retries that a time without failures can save up.
const CEILING: f64 = 100.0;
/// Shortest time left in which a retry makes sense.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// First wait between two attempts; it doubles with each further attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Retries that a service has left; each request earns a part of one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Between zero and `CEILING`.
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: FLOOR }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.left = (self.left + f64::from(percent) / 100.0).min(CEILING);
    }

    /// Takes one retry, if any is left.
    pub fn try_spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// What a retry decision looks at.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// How far the last attempt came.
    pub run: RunState,
    /// Now.
    pub now: Moment,
    /// Deadline of the request.
    pub deadline: Moment,
}

impl RetryContext {
    /// Whether a retry is allowed, budget aside.
    #[must_use]
    pub fn allowed(&self) -> bool {
        let in_time = self.now + MIN_TIME_LEFT < self.deadline;
        in_time && (self.idempotent || self.run == RunState::NotRun)
    }
}

/// Returns the wait before attempt number `attempt`, spread by `jitter` in 0 to 1.
#[must_use]
pub fn backoff(attempt: u32, jitter: f64) -> Duration {
    let doubled = FIRST_BACKOFF.saturating_mul(1 << attempt.saturating_sub(2).min(10));
    doubled
        .min(MAX_BACKOFF)
        .mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
}

/// Limits of the retries of a service over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Span in which retries are counted.
    pub window: Duration,
    /// Retries for each request.
    pub ratio: f64,
    /// Further retries of all VMs together.
    pub slack: f64,
}

/// Part of a limit that is used, since VMs see requests of unlike number.
const USED_PART: f64 = 0.7;

/// Requests and retries of one service at one VM in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// Times of requests and retries in order, none older than the window.
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn record_request(&mut self, now: Moment, limits: &RetryLimits) {
        self.requests.push_back(now);
        self.expire(now, limits);
    }

    /// Takes one retry, where this VM's share of the limits of `vms` VMs allows it.
    pub fn try_spend(&mut self, now: Moment, limits: &RetryLimits, vms: usize) -> bool {
        self.expire(now, limits);
        let requests = as_float(self.requests.len() as u64);
        let share = limits.slack / as_float(vms.max(1) as u64);
        let allowed = (requests * limits.ratio + share) * USED_PART;
        if as_float(self.retries.len() as u64) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Moment, limits: &RetryLimits) {
        let old = |at: &Moment| now.since(*at) > limits.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(old) {
            self.retries.pop_front();
        }
    }
}
