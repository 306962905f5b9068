//! Decides when a control VM sends all VMs the list of the VMs that it knows.
//!
//! A VM gets the list when its link opens, too. The list only ever adds VMs at its receivers, so VMs
//! that are gone are no reason to send it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::VmId;
use crate::time::Moment;

/// Interval at which the list is sent without a change, in case a message was lost.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest time between two lists.
pub const CHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time between two lists while many VMs start.
///
/// Entry VMs share limits by their number, so a list that is far too short must not stay.
pub const GROWTH_INTERVAL: Duration = Duration::from_millis(200);
/// Growth of the list that counts as many, as its old length divided by the number of new VMs.
const GROWTH_DIVISOR: usize = 4;

/// A VM in the list; one that returns at another address counts as a new one.
pub type ListedVm = (VmId, SocketAddr);

/// What the VMs were last told.
#[derive(Debug, Default)]
pub struct PeerListSchedule {
    told: BTreeSet<ListedVm>,
    /// VMs with a new link that are not in `told`.
    added: BTreeSet<ListedVm>,
    /// When the list was last sent; `None` if never.
    sent_at: Option<Moment>,
}

impl PeerListSchedule {
    /// Records that a link to a VM was opened.
    pub fn opened(&mut self, vm: ListedVm) {
        if !self.told.contains(&vm) {
            self.added.insert(vm);
        }
    }

    /// Whether to send the list to all VMs now.
    #[must_use]
    pub fn is_due(&self, now: Moment) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let interval = if self.added.is_empty() {
            REFRESH_INTERVAL
        } else if self.added.len() * GROWTH_DIVISOR >= self.told.len() {
            GROWTH_INTERVAL
        } else {
            CHANGE_INTERVAL
        };
        now.since(sent_at) >= interval
    }

    /// Records that the list was sent to all VMs.
    pub fn sent(&mut self, now: Moment, list: impl Iterator<Item = ListedVm>) {
        self.told = list.collect();
        self.added.clear();
        self.sent_at = Some(now);
    }
}
