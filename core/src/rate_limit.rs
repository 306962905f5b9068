//! Limits on the request rate that backend servers name, kept by all entry VMs together.
//!
//! Each entry VM owns an even share of every limit. It lends its shares to a coordinator, the VM
//! that ranks first for the server among those it is linked to, and asks it for a permit for each
//! request. A share is lent to one VM at a time, so what all VMs grant never exceeds the limit, whatever
//! links fail: VMs that are cut off from the others are left with their own shares.

pub mod bucket;
pub mod lending;
pub mod limits;
pub mod message;
pub mod permits;
pub mod return_times;

use std::collections::BTreeSet;
use std::time::Duration;

use self::bucket::{Buckets, Turn};
use self::lending::{BorrowedShares, LentShares, Shard};
use self::limits::{LimitChange, LimitTable, Observation};
use self::message::{Outgoing, RateMessage, Recipient};
use self::permits::PermitTable;
use crate::directory::Incarnation;
use crate::engine_model::as_float;
use crate::names::{ServerId, VmId};
use crate::time::Moment;

/// Time for which the limit of a server is kept that this VM does not know.
///
/// A VM that has just started may hear of a limit before it hears of the server.
const GONE_RETENTION: Duration = Duration::from_secs(10);
/// Wait before a coordinator without shares is asked again.
const NO_SHARE_WAIT: Duration = Duration::from_millis(400);

/// Limits of all servers as one entry VM sees them, its permits, and its part as a coordinator.
#[derive(Debug)]
pub struct RateLimits {
    vm: VmId,
    /// Known limits.
    limits: LimitTable,
    /// Permits that this VM holds or asked for.
    permits: PermitTable,
    /// This VM's shares, and to whom they are lent.
    lent: LentShares,
    /// Shares that other VMs have lent to this one.
    borrowed: BorrowedShares,
    buckets: Buckets,
    /// Linked entry VMs, this one included.
    vms: BTreeSet<VmId>,
    /// Entry VMs among which each limit is divided; `None` until they are known.
    sharers: Option<usize>,
    /// Messages that wait to be sent, in order.
    outgoing: Vec<Outgoing>,
}

impl RateLimits {
    /// Creates the state of a VM that starts at `now`; `epoch` is unique to its process.
    #[must_use]
    pub fn new(now: Moment, vm: VmId, epoch: u64) -> Self {
        Self {
            vms: BTreeSet::from([vm.clone()]),
            limits: LimitTable::default(),
            permits: PermitTable::default(),
            lent: LentShares::new(now),
            borrowed: BorrowedShares::new(epoch),
            buckets: Buckets::default(),
            sharers: None,
            outgoing: Vec::new(),
            vm,
        }
    }

    /// Returns this VM.
    #[must_use]
    pub const fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Sets the linked entry VMs and the number of VMs among which limits are divided.
    pub fn set_vms(&mut self, linked: impl Iterator<Item = VmId>, sharers: Option<usize>) {
        self.vms = linked.chain([self.vm.clone()]).collect();
        self.sharers = sharers.map(|sharers| sharers.max(self.vms.len()));
    }

    /// Records what an answer to this VM says of its server's limit.
    pub fn observe(&mut self, now: Moment, observation: Observation) -> LimitChange {
        let change = self.merge(now, &observation);
        if change.is_switch() {
            self.push(Recipient::All, RateMessage::Limit(observation));
        } else if change == LimitChange::Rate {
            let server = &observation.incarnation.server;
            let to = self.coordinator(Shard::of(server)).clone();
            if to != self.vm {
                self.push(Recipient::Vm(to), RateMessage::Limit(observation));
            }
        }
        change
    }

    fn merge(&mut self, now: Moment, observation: &Observation) -> LimitChange {
        let change = self.limits.merge(observation);
        let server = &observation.incarnation.server;
        match change {
            LimitChange::Named => self.permits.forget(server),
            LimitChange::Lifted => {
                self.permits.forget(server);
                self.buckets.forget(server);
            }
            LimitChange::Rate => {
                let rate = self.grant_rate(now, server);
                self.buckets.refill(now, server, rate);
            }
            LimitChange::None => {}
        }
        change
    }

    /// Forgets the limit of an earlier lifetime of a server.
    pub fn forget(&mut self, server: &ServerId) {
        self.limits.forget(server);
        self.permits.forget(server);
        self.buckets.forget(server);
    }

    /// Forgets the limits of servers that are gone, unless they were heard of a moment ago.
    pub fn forget_gone(&mut self, now: Moment, is_known: impl Fn(&ServerId) -> bool) {
        let named = self.limits.named().into_iter();
        let gone = named.filter(|newest| {
            now.since(newest.heard_at) > GONE_RETENTION && !is_known(&newest.incarnation.server)
        });
        for observation in gone.collect::<Vec<_>>() {
            self.forget(&observation.incarnation.server);
        }
    }

    /// Whether a server has a limit.
    #[must_use]
    pub fn is_limited(&self, server: &ServerId) -> bool {
        self.limits.rate(server).is_some()
    }

    /// Whether a request may be sent to a server at `now`: it has no limit, or a permit is held.
    #[must_use]
    pub fn admits(&self, now: Moment, server: &ServerId) -> bool {
        !self.is_limited(server) || self.permits.is_ready(now, server)
    }

    /// Takes the permit for a request that is about to be sent to a server with a limit.
    pub fn spend(&mut self, now: Moment, server: &ServerId) {
        if self.is_limited(server) {
            self.permits.spend(now, server);
        }
    }

    /// Asks for a permit, unless one is held, expected or was refused a moment ago.
    pub fn request(&mut self, now: Moment, server: &ServerId) {
        let Some(observation) = self.limits.observation(server) else {
            return;
        };
        if !self.permits.may_ask(now, server) {
            return;
        }
        let coordinator = self.coordinator(Shard::of(server)).clone();
        self.permits.asked(now, server);
        if coordinator == self.vm {
            let turn = self.take_turn(now, server, &coordinator);
            self.permits.answered(now, server, turn);
        } else {
            let ask = RateMessage::Ask(observation);
            self.push(Recipient::Vm(coordinator), ask);
        }
    }

    /// Returns for how many of these servers a permit is promised or asked for.
    #[must_use]
    pub fn promised<'a>(&self, now: Moment, servers: impl Iterator<Item = &'a ServerId>) -> usize {
        let promised = servers.filter(|server| self.permits.is_promised(now, server));
        promised.count()
    }

    /// Whether any server has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns the requests a second that this VM may expect to send to these servers.
    #[must_use]
    pub fn fair_rate<'a>(&self, servers: impl Iterator<Item = &'a ServerId>) -> f64 {
        let rates = servers.filter_map(|server| self.limits.rate(server));
        let sharers = self.sharers.unwrap_or(1).max(1) as u64;
        rates.map(f64::from).sum::<f64>() / as_float(sharers)
    }

    /// Renews the loans of this VM's shares while any limit is known.
    pub fn tick(&mut self, now: Moment) {
        self.limits.expire(now);
        self.borrowed.expire(now);
        let shards = self.limits.shards();
        for shard in shards {
            let coordinator = self.coordinator(shard).clone();
            if let Some(loan) = self.lent.renew(now, shard, &coordinator, &self.vm) {
                self.push(Recipient::Vm(coordinator), loan);
            }
        }
    }

    /// Tells a VM that has just linked the limits that this VM coordinates.
    pub fn link_up(&mut self, vm: &VmId) {
        let known = self.limits.named();
        for observation in known {
            let shard = Shard::of(&observation.incarnation.server);
            if *self.coordinator_without(shard, vm) == self.vm {
                let limit = RateMessage::Limit(observation);
                self.push(Recipient::Vm(vm.clone()), limit);
            }
        }
    }

    /// Handles a message of another entry VM; returns what it changes about a limit.
    pub fn receive(&mut self, now: Moment, from: &VmId, message: RateMessage) -> LimitChange {
        let mut change = LimitChange::None;
        match message {
            RateMessage::Limit(observation) => change = self.merge(now, &observation),
            RateMessage::Lend(loan) => {
                let confirmed = self.borrowed.borrow(now, from, &loan);
                self.push(Recipient::Vm(from.clone()), RateMessage::Lent(confirmed));
            }
            RateMessage::Lent(stamp) => self.lent.confirmed(from, stamp),
            RateMessage::Ask(observation) => {
                change = self.merge(now, &observation);
                let incarnation = observation.incarnation;
                let turn = self.take_turn(now, &incarnation.server, from);
                let answer = RateMessage::Turn { incarnation, turn };
                self.push(Recipient::Vm(from.clone()), answer);
            }
            RateMessage::Turn { incarnation, turn } => self.answered(now, &incarnation, turn),
        }
        change
    }

    fn answered(&mut self, now: Moment, incarnation: &Incarnation, turn: Turn) {
        let server = &incarnation.server;
        let observation = self.limits.observation(server);
        if observation.is_some_and(|known| known.incarnation == *incarnation) {
            self.permits.answered(now, server, turn);
        }
    }

    /// Grants or refuses a permit as the coordinator of a server.
    fn take_turn(&mut self, now: Moment, server: &ServerId, asker: &VmId) -> Turn {
        let rate = self.grant_rate(now, server);
        if rate <= 0.0 {
            return Turn::RefusedFor(NO_SHARE_WAIT);
        }
        self.buckets.take(now, server, rate, asker)
    }

    /// Returns the rate at which this VM may grant permits: that of the shares it holds.
    fn grant_rate(&self, now: Moment, server: &ServerId) -> f64 {
        let shard = Shard::of(server);
        let own = usize::from(self.lent.is_own(now, shard, &self.vm));
        let held = self.borrowed.count(now, shard) + own;
        let Some((rate, sharers)) = self.limits.rate(server).zip(self.sharers) else {
            return 0.0;
        };
        rate.for_grants() * as_float(held as u64) / as_float(sharers.max(1) as u64)
    }

    /// Returns the linked VM that ranks first for a shard.
    fn coordinator(&self, shard: Shard) -> &VmId {
        shard.first(self.vms.iter()).unwrap_or(&self.vm)
    }

    /// Returns the coordinator if `vm` has no part in it.
    fn coordinator_without(&self, shard: Shard, vm: &VmId) -> &VmId {
        let others = self.vms.iter().filter(|other| *other != vm);
        shard.first(others).unwrap_or(&self.vm)
    }

    fn push(&mut self, to: Recipient, message: RateMessage) {
        self.outgoing.push(Outgoing { to, message });
    }

    /// Takes the messages that wait to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }
}
