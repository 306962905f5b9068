//! How many VMs send to a cold server, and the spacing of their requests.

use std::time::Duration;

/// Spacing of the requests of all VMs together, in units of the service's spacing.
const SPACING_FACTOR: f64 = 1.25;
/// Span of the sends that may arrive within one second, in seconds.
///
/// Requests are delayed by connections that open and by the network, by up to 0.2 s more than others.
const SEND_SPAN: f64 = 1.2;
/// Factor by which more VMs may send than planned, since their numbers of VMs may differ by a tenth.
const SENDER_MARGIN: f64 = 1.1;

/// Cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold server takes; positive.
    pub per_second: f64,
}

/// Limit on the requests that reach a cold server, set for a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate of the service; finite and not negative.
    pub overage: f64,
    /// Requests in any one second beyond that; finite and not negative.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdBounds {
    /// Returns the most requests that may reach a cold server in any one second.
    #[must_use]
    pub fn requests(&self, rule: &ColdRule) -> f64 {
        rule.per_second * self.overage + self.slack
    }
}

/// How the VMs send to one cold server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// VMs that send; those that rank first for the server.
    pub senders: usize,
    /// Shortest time between two requests of one VM.
    pub spacing: Duration,
}

impl Plan {
    /// Plans for a number of VMs; `None` if the bound allows no request.
    ///
    /// At most as many VMs send as the rate of the service has requests. Where the bound leaves less
    /// room than these need with their margin, fewer send, or they send less often.
    #[must_use]
    pub fn new(rule: &ColdRule, bounds: &ColdBounds, vms: usize) -> Option<Self> {
        let allowed = whole(bounds.requests(rule).floor() / SENDER_MARGIN);
        let senders = vms.min(whole(rule.per_second).max(1)).min(allowed);
        if senders == 0 {
            return None;
        }
        let each = allowed / senders;
        let by_rate = SPACING_FACTOR * float(senders) / rule.per_second;
        let by_bound = SEND_SPAN / float(each);
        let millis = (f64::max(by_rate, by_bound) * 1000.0).ceil();
        let spacing = Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX);
        Some(Self { senders, spacing })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to what the type holds"
)]
fn whole(value: f64) -> usize {
    value.clamp(0.0, 1e9) as usize
}

#[expect(clippy::cast_precision_loss, reason = "the counts are small")]
const fn float(count: usize) -> f64 {
    count as f64
}
