//! Retry rules: which requests may be retried, how often, and with what backoff.

use std::collections::VecDeque;
use std::time::Duration;

use crate::engine_model::as_float;
use crate::outcome::RunState;
use crate::time::Moment;

/// Initial retry budget of a service.
///
/// It lets all streams of a crashed engine resume even in a service with little traffic.
const INITIAL_RETRIES: f64 = 32.0;
/// Maximum retries that a service can save up in a time without failures.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Minimum time to the deadline in which a retry makes sense.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(20);
/// Backoff before the second attempt; it doubles with each further attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Retry budget of a service at one VM that serves a manifest.
///
/// Each first attempt earns a fraction of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Available retries, between zero and `MAX_SAVED_RETRIES`.
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            left: INITIAL_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` / 100 of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.left = (self.left + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns false if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

/// Inputs of a retry decision.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the failed attempt may have run at a backend server.
    pub run: RunState,
    /// Current time.
    pub now: Moment,
    /// Deadline of the request.
    pub deadline: Moment,
}

impl RetryContext {
    /// Whether a retry is allowed, regardless of the budget.
    #[must_use]
    pub fn allowed(&self) -> bool {
        let in_time = self.now + MIN_REMAINING_TIME < self.deadline;
        in_time && (self.idempotent || self.run == RunState::NotRun)
    }
}

/// Returns the backoff before attempt number `attempt`; the first retry is attempt 2.
///
/// A `jitter` from 0 to 1 scales it from half to all of the exponential backoff.
#[must_use]
pub fn backoff(attempt: u32, jitter: f64) -> Duration {
    let doubled = FIRST_BACKOFF.saturating_mul(1 << attempt.saturating_sub(2).min(10));
    doubled
        .min(MAX_BACKOFF)
        .mul_f64(0.5 + jitter.clamp(0.0, 1.0) / 2.0)
}

/// Limits on the retries of a service over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
    /// Retries allowed per request.
    pub ratio: f64,
    /// Further retries allowed in a window, divided evenly among the VMs.
    pub slack: f64,
}

/// Fraction of its limit that a VM uses; VMs see unequal numbers of requests.
const SAFETY_FACTOR: f64 = 0.7;
/// Fraction of its part of the slack that a VM uses in the first window after its start.
///
/// An earlier process of the VM may have used the rest of it in the same window.
const FIRST_WINDOW_FACTOR: f64 = 1.0 - SAFETY_FACTOR;

/// Requests and retries of one service at one VM, counted in a sliding window.
///
/// Entry VMs that serve a deployment use it instead of a [`RetryBudget`].
#[derive(Debug)]
pub struct RetryWindow {
    /// When the process started that counts; what earlier ones counted is lost.
    started: Moment,
    /// Times of requests in order; none is older than the window.
    requests: VecDeque<Moment>,
    /// Times of retries in order; none is older than the window.
    retries: VecDeque<Moment>,
}

impl RetryWindow {
    /// Creates an empty window for a process that started at `started`.
    #[must_use]
    pub const fn new(started: Moment) -> Self {
        Self {
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request, which allows `RetryLimits::ratio` of a retry.
    pub fn record_request(&mut self, now: Moment, limits: &RetryLimits) {
        self.requests.push_back(now);
        self.expire(now, limits);
    }

    /// Counts a retry; returns false if this VM's share of the limits is spent.
    ///
    /// Each of `vms` VMs has the same part of the slack, and the ratio of its own requests. While
    /// their number is not known, this VM has no part of the slack.
    pub fn try_spend(&mut self, now: Moment, limits: &RetryLimits, vms: Option<usize>) -> bool {
        let granted = self.can_spend(now, limits, vms);
        if granted {
            self.retries.push_back(now);
        }
        granted
    }

    /// Whether `try_spend` would count a retry now.
    pub fn can_spend(&mut self, now: Moment, limits: &RetryLimits, vms: Option<usize>) -> bool {
        self.expire(now, limits);
        let requests = as_float(self.requests.len() as u64);
        let slack_share = vms.map_or(0.0, |vms| limits.slack / as_float(vms.max(1) as u64));
        let slack_factor = if now.since(self.started) > limits.window {
            SAFETY_FACTOR
        } else {
            FIRST_WINDOW_FACTOR
        };
        let allowed = requests * limits.ratio * SAFETY_FACTOR + slack_share * slack_factor;
        as_float(self.retries.len() as u64) + 1.0 <= allowed
    }

    /// Returns the numbers of requests and of retries in the window that ends at `now`.
    pub fn counts(&mut self, now: Moment, limits: &RetryLimits) -> (usize, usize) {
        self.expire(now, limits);
        (self.requests.len(), self.retries.len())
    }

    fn expire(&mut self, now: Moment, limits: &RetryLimits) {
        let is_expired = |at: &Moment| now.since(*at) > limits.window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
