//! Loans of the VMs' shares to coordinators.
//!
//! A loan ends by the clocks of both sides: the borrower counts its length from a stamp of its own
//! clock, which the lender repeats, and the lender from when it sent that stamp back, which is
//! later. So a share that is lent again or used by its owner counts nowhere else.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::RateMessage;
use crate::names::{ServerId, VmId};
use crate::rendezvous::stable_hash;
use crate::time::Moment;

/// Number of shards; the coordinators of a deployment are at most as many.
const SHARDS: u8 = 16;
/// Length of a loan from the borrower's stamp.
const LOAN_TIME: Duration = Duration::from_secs(1);
/// Age of a loan from which on it is renewed.
const RENEWAL_AGE: Duration = Duration::from_millis(300);

/// A part of all servers that has one coordinator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Shard(u8);

impl Shard {
    /// Creates a shard from its number; numbers past the last one wrap around.
    #[must_use]
    pub const fn from_number(number: u8) -> Self {
        Self(number % SHARDS)
    }

    /// Returns the number of the shard.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the shard of a server.
    #[must_use]
    pub fn of(server: &ServerId) -> Self {
        let hash = stable_hash(&[server.as_str().as_bytes()]);
        Self(u8::try_from(hash % u64::from(SHARDS)).unwrap_or_default())
    }

    /// Returns the VM that ranks first for this shard.
    pub(super) fn first<'a>(self, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
        vms.max_by_key(|vm| stable_hash(&[&[self.0], vm.as_str().as_bytes()]))
    }
}

/// A point on the clock of one process, which it alone can read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stamp {
    /// Shard of the loan.
    pub shard: Shard,
    /// Random number of the process that made the stamp.
    pub epoch: u64,
    /// When it was made, by the clock of that process.
    pub made_at: Moment,
}

/// A VM's share of all limits of a shard, lent to the receiver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Shard of the loan.
    pub shard: Shard,
    /// Newest stamp of the borrower; `None` to ask for one.
    pub stamp: Option<Stamp>,
}

/// Where this VM's share of one shard is.
#[derive(Clone, Debug)]
struct LentShare {
    borrower: VmId,
    /// Newest stamp of the borrower that was not sent back yet.
    stamp: Option<Stamp>,
    /// When the loan was last sent.
    sent_at: Moment,
    /// Until when the borrower may count the share.
    lent_until: Moment,
}

/// This VM's shares.
#[derive(Debug)]
pub(super) struct LentShares {
    shards: BTreeMap<Shard, LentShare>,
    /// Loans of an earlier process of this VM have ended by then.
    owned_from: Moment,
}

impl LentShares {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            shards: BTreeMap::new(),
            owned_from: now + LOAN_TIME,
        }
    }

    /// Whether this VM may use its own share of a shard.
    pub(super) fn is_own(&self, now: Moment, shard: Shard, vm: &VmId) -> bool {
        let lent = self.shards.get(&shard);
        let is_back = lent.is_none_or(|lent| lent.borrower == *vm && lent.lent_until <= now);
        is_back && now >= self.owned_from
    }

    /// Lends a share to a coordinator or renews the loan; returns the message to send, if one is due.
    pub(super) fn renew(
        &mut self,
        now: Moment,
        shard: Shard,
        coordinator: &VmId,
        vm: &VmId,
    ) -> Option<RateMessage> {
        let lent = self.shards.entry(shard).or_insert_with(|| LentShare {
            borrower: vm.clone(),
            stamp: None,
            sent_at: Moment::default(),
            lent_until: Moment::default(),
        });
        if lent.borrower != *coordinator {
            if lent.lent_until > now || now < self.owned_from {
                return None;
            }
            lent.borrower = coordinator.clone();
            lent.stamp = None;
            lent.sent_at = Moment::default();
        }
        if lent.borrower == *vm || now.since(lent.sent_at) < RENEWAL_AGE {
            return None;
        }
        lent.sent_at = now;
        let stamp = lent.stamp.take();
        if stamp.is_some() {
            lent.lent_until = now + LOAN_TIME;
        }
        Some(RateMessage::Lend(Loan { shard, stamp }))
    }

    /// Records a stamp of the borrower, which the next renewal sends back.
    pub(super) fn confirmed(&mut self, from: &VmId, stamp: Stamp) {
        if let Some(lent) = self.shards.get_mut(&stamp.shard)
            && lent.borrower == *from
        {
            lent.stamp = Some(stamp);
        }
    }
}

/// Shares that other VMs have lent to this one.
#[derive(Debug)]
pub(super) struct BorrowedShares {
    epoch: u64,
    /// When each loan ends.
    ends: BTreeMap<(Shard, VmId), Moment>,
}

impl BorrowedShares {
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            epoch,
            ends: BTreeMap::new(),
        }
    }

    /// Counts a share until its loan ends; returns a stamp for the renewal.
    pub(super) fn borrow(&mut self, now: Moment, from: &VmId, loan: &Loan) -> Stamp {
        let stamp = loan.stamp.filter(|stamp| stamp.epoch == self.epoch);
        if let Some(stamp) = stamp {
            let end = stamp.made_at + LOAN_TIME;
            let ends = self.ends.entry((loan.shard, from.clone())).or_default();
            *ends = end.max(*ends);
        }
        Stamp {
            shard: loan.shard,
            epoch: self.epoch,
            made_at: now,
        }
    }

    /// Returns the number of shares of a shard that are lent to this VM.
    pub(super) fn count(&self, now: Moment, shard: Shard) -> usize {
        let loans = self.ends.iter();
        loans
            .filter(|((of, _), end)| *of == shard && **end > now)
            .count()
    }

    /// Forgets loans that have ended.
    pub(super) fn expire(&mut self, now: Moment) {
        self.ends.retain(|_, end| *end > now);
    }
}
