//! Contact of an entry VM with the control VMs that know the newest manifest.
//!
//! A control VM in contact with the leader regularly tells the number of the newest manifest. An entry
//! VM that hears it from none may use an outdated manifest without knowing.

use std::time::Duration;

use crate::manifest::ManifestNumber;
use crate::names::VmId;
use crate::time::Moment;

/// Age up to which a confirmation is recent, and a manifest may deny requests by it.
///
/// The number is told each 0.4 s, by a VM that heard from the leader 0.7 s before at most, so an entry
/// VM knows of a manifest within 2 s of its publication, or that it may have missed one.
pub const RECENT_CONFIRMATION: Duration = Duration::from_millis(1200);

/// Interval at which other entry VMs are asked for control VMs.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of entry VMs that are asked at a time.
const MAX_ASKED: usize = 3;

/// What a control VM in contact with the leader told last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// The VM that told it.
    pub from: VmId,
    /// Number of the newest manifest.
    pub number: ManifestNumber,
    /// When it was received.
    pub at: Moment,
}

/// Tracks when the newest manifest was last confirmed.
#[derive(Debug)]
pub struct ControlContact {
    start: Moment,
    last: Option<Confirmation>,
    /// Whether the lack of a recent confirmation was reported.
    is_lost: bool,
    /// When entry VMs were last asked for control VMs; `None` if never.
    asked_at: Option<Moment>,
    /// Number of entry VMs asked so far.
    asked: usize,
}

impl ControlContact {
    /// Creates the state of a VM that starts now.
    #[must_use]
    pub const fn new(start: Moment) -> Self {
        Self {
            start,
            last: None,
            is_lost: false,
            asked_at: None,
            asked: 0,
        }
    }

    /// Records a confirmation.
    ///
    /// Returns the time since the one before if `newly_lost` has reported its lack.
    pub fn confirmed(&mut self, confirmation: Confirmation) -> Option<Duration> {
        let age = self.age(confirmation.at);
        self.last = Some(confirmation);
        std::mem::take(&mut self.is_lost).then_some(age)
    }

    /// Returns the last confirmation; `None` if there was none since the start.
    #[must_use]
    pub const fn last(&self) -> Option<&Confirmation> {
        self.last.as_ref()
    }

    /// Returns the time since the last confirmation, or since the start.
    #[must_use]
    pub fn age(&self, now: Moment) -> Duration {
        let last = self.last.as_ref();
        now.since(last.map_or(self.start, |last| last.at))
    }

    /// Whether there was a confirmation lately.
    #[must_use]
    pub fn is_recent(&self, now: Moment) -> bool {
        self.last.is_some() && self.age(now) <= RECENT_CONFIRMATION
    }

    /// Whether the lack of a recent confirmation is seen for the first time since the last one.
    pub fn newly_lost(&mut self, now: Moment) -> bool {
        let is_lost = self.age(now) > RECENT_CONFIRMATION;
        is_lost && !std::mem::replace(&mut self.is_lost, true)
    }

    /// Returns which of the linked entry VMs to ask for control VMs now, each in its turn.
    ///
    /// All control VMs that this VM knows may have been replaced while it could not hear of it.
    pub fn asks(&mut self, now: Moment, entry_vms: &[VmId]) -> Vec<VmId> {
        let is_early = self.asked_at.is_some_and(|at| now.since(at) < ASK_INTERVAL);
        if self.age(now) <= RECENT_CONFIRMATION || is_early || entry_vms.is_empty() {
            return Vec::new();
        }
        self.asked_at = Some(now);
        let count = entry_vms.len().min(MAX_ASKED);
        let turn = (self.asked..).take(count);
        let vms = turn.map(|number| entry_vms[number % entry_vms.len()].clone());
        let vms: Vec<_> = vms.collect();
        self.asked += count;
        vms
    }
}
