//! Links between VMs: which of two entry VMs dials, when an attempt is repeated, and what an idle link
//! needs.

use std::net::SocketAddr;
use std::time::Duration;

/// Time without a link after which the VM that does not usually dial does so.
///
/// The usual one may not know the other VM, or may not reach it.
pub const DIAL_HELP_DELAY: Duration = Duration::from_secs(2);

/// Returns how long a VM at `local` waits without a link before it dials the VM at `remote`.
///
/// The VM with the lower address dials at once, so that each pair has one link.
#[must_use]
pub fn dial_delay(local: SocketAddr, remote: SocketAddr) -> Duration {
    if local < remote {
        Duration::ZERO
    } else {
        DIAL_HELP_DELAY
    }
}

/// Delay after the first failed connection attempt.
///
/// VMs that start together often fail once, as the other one does not listen yet.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Longest delay after a failed connection attempt.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest random change of a delay, as a fraction of it.
///
/// It keeps VMs that start together from dialling the same VM at the same moments.
const RETRY_DELAY_JITTER: f64 = 0.25;

/// Returns the delay after `failures` failed connection attempts in a row, at least one.
///
/// It doubles with each failure. `draw` is a random number from 0 to 1.
#[must_use]
pub fn connect_retry_delay(failures: u32, draw: f64) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    let delay = (FIRST_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY);
    delay.mul_f64(1.0 + RETRY_DELAY_JITTER * (2.0 * draw - 1.0))
}

/// Times after which an idle link is kept alive or closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdleLimits {
    /// Time without a frame to send after which a heartbeat is due.
    heartbeat_after: Duration,
    /// Time without a byte received after which the link is closed.
    close_after: Duration,
}

impl IdleLimits {
    /// Limits of links with a control VM.
    pub const CONTROL: Self = Self {
        heartbeat_after: Duration::from_millis(200),
        close_after: Duration::from_secs(1),
    };
    /// Limits of links between entry VMs, which are by far the most.
    ///
    /// Heartbeats stay at least twice as frequent as a VM of the version before requires, which
    /// closes a link after 1 s without a byte.
    pub const ENTRY: Self = Self {
        heartbeat_after: Duration::from_millis(400),
        close_after: Duration::from_millis(1200),
    };
}

/// Interval at which a VM looks for idle links, all at once.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that counts as silence between two checks.
///
/// A VM that was stopped itself has not read what arrived meanwhile. A VM with a tenth of a core is
/// late by up to 100 ms at each check, which must count.
const MAX_SILENCE_STEP: Duration = Duration::from_millis(250);

/// How a link was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkLoss {
    /// The other VM's host closed the connection, and so its connections with servers.
    Closed,
    /// Nothing arrives or leaves any more; servers may not know of it yet.
    Silent,
}

/// What an idle link needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdleAction {
    /// Nothing yet.
    Wait,
    /// An empty frame, so that the other VM sees this one alive.
    Heartbeat,
    /// To be closed, as nothing arrives.
    Close,
}

/// For how long a link has been idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkIdle {
    /// Time since a frame was sent, as seen at the last check.
    unsent: Duration,
    /// Time since a byte arrived, as seen at the last check.
    silent: Duration,
}

impl LinkIdle {
    /// Checks the link, `elapsed` after the previous check.
    ///
    /// `sent` and `received` tell whether anything passed since then. The caller sends the heartbeat
    /// that is asked for.
    pub fn check(
        &mut self,
        elapsed: Duration,
        sent: bool,
        received: bool,
        limits: &IdleLimits,
    ) -> IdleAction {
        self.unsent = if sent {
            Duration::ZERO
        } else {
            self.unsent + elapsed
        };
        self.silent = if received {
            Duration::ZERO
        } else {
            self.silent + elapsed.min(MAX_SILENCE_STEP)
        };
        if self.silent >= limits.close_after {
            return IdleAction::Close;
        }
        if self.unsent < limits.heartbeat_after {
            return IdleAction::Wait;
        }
        self.unsent = Duration::ZERO;
        IdleAction::Heartbeat
    }
}
