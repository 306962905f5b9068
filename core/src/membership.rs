//! Which VMs are alive, by probing a few at a time and passing on what was learned.
//!
//! The cost of a VM does not grow with their number: each period it probes one VM of its zone and
//! one of all, and each message carries a bounded number of rumours.

pub mod message;
mod probing;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use self::message::{Health, MemberUpdate, MembershipBody, MembershipMessage};
use crate::manifest::ManifestNumber;
use crate::names::{VmId, ZoneName};
use crate::time::Moment;

/// Time between two rounds of probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time that a suspected VM has to speak up before it counts as dead.
const SUSPECT_TIME: Duration = Duration::from_millis(800);
/// Most rumours in one message.
const MAX_RUMORS: usize = 8;
/// Low bits of an incarnation that count refuted suspicions; the rest is the start of the process.
const REFUTATION_BITS: u32 = 16;

/// A VM as known here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it has a disk for the control log.
    pub disk: bool,
    /// Grows with each start and each refuted suspicion.
    pub incarnation: u64,
    /// How it is.
    pub health: Health,
    /// Manifest that it had in force when last heard.
    pub manifest: ManifestNumber,
    /// When its health last changed.
    pub since: Moment,
    /// When it last answered this VM itself.
    pub heard: Option<Moment>,
}

/// What the caller has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipOutput {
    /// Send a message.
    Send(VmId, MembershipMessage),
    /// The health of a VM changed.
    HealthChanged(VmId, Health),
    /// A VM is a new process; connections to its old one are dead.
    NewIncarnation(VmId),
    /// A VM has a newer manifest in force than this one.
    NewerManifest(VmId, ManifestNumber),
}

#[derive(Debug)]
struct Probe {
    target: VmId,
    sent: Moment,
    helped: bool,
}

#[derive(Debug)]
struct Spread {
    update: MemberUpdate,
    /// Messages that still have to carry it.
    left: u32,
}

/// What one VM knows of all VMs.
#[derive(Debug)]
pub struct Membership {
    own: VmId,
    own_zone: ZoneName,
    own_disk: bool,
    own_incarnation: u64,
    own_health: Health,
    own_manifest: ManifestNumber,
    /// All other VMs of the settings.
    members: BTreeMap<VmId, Member>,
    /// VMs still to be probed in this round; refilled in random order.
    round: Vec<VmId>,
    probes: BTreeMap<u64, Probe>,
    /// Probes sent for others: own sequence to the asking VM and its sequence.
    errands: BTreeMap<u64, Errand>,
    spreads: BTreeMap<VmId, Spread>,
    sequence: u64,
    probe_due: Moment,
    rng: Rng,
    outputs: Vec<MembershipOutput>,
}

#[derive(Debug)]
struct Errand {
    asker: VmId,
    sequence: u64,
    sent: Moment,
}

/// A VM as the settings name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfiguredVm {
    /// Its id.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it has a disk.
    pub disk: bool,
}

impl Membership {
    /// Starts with the VMs of the settings, none of them heard yet.
    ///
    /// `incarnation` must be higher than at any earlier start of this VM.
    #[must_use]
    pub fn new(now: Moment, own: ConfiguredVm, peers: &[ConfiguredVm], incarnation: u64) -> Self {
        let member = |peer: &ConfiguredVm| Member {
            zone: peer.zone.clone(),
            disk: peer.disk,
            incarnation: 0,
            health: Health::Dead,
            manifest: ManifestNumber(0),
            since: now,
            heard: None,
        };
        let members = peers
            .iter()
            .map(|peer| (peer.vm.clone(), member(peer)))
            .collect();
        let mut membership = Self {
            own: own.vm,
            own_zone: own.zone,
            own_disk: own.disk,
            own_incarnation: incarnation << REFUTATION_BITS,
            own_health: Health::Alive,
            own_manifest: ManifestNumber(0),
            members,
            round: Vec::new(),
            probes: BTreeMap::new(),
            errands: BTreeMap::new(),
            spreads: BTreeMap::new(),
            sequence: 0,
            probe_due: now,
            rng: Rng::with_seed(incarnation),
            outputs: Vec::new(),
        };
        membership.spread_own();
        membership
    }

    /// Returns what has to be carried out since the last call.
    pub fn take_outputs(&mut self) -> Vec<MembershipOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns all other VMs.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.members.iter()
    }

    /// Finds another VM.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns the VMs of a zone that take work, this one among them.
    #[must_use]
    pub fn serving_in(&self, zone: &ZoneName) -> Vec<&VmId> {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.zone == *zone && member.health == Health::Alive)
            .map(|(vm, _)| vm);
        let own = (self.own_zone == *zone && self.own_health == Health::Alive).then_some(&self.own);
        others.chain(own).collect()
    }

    /// Notes the manifest in force here.
    pub fn set_manifest(&mut self, number: ManifestNumber) {
        self.own_manifest = number;
    }

    /// Tells all that this VM is leaving; it gets no dispatcher's work from then on.
    pub fn leave(&mut self) {
        self.own_health = Health::Leaving;
        self.own_incarnation += 1;
        self.spread_own();
        let all: Vec<_> = self.members.keys().cloned().collect();
        for vm in all {
            self.ping(&vm);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) {
        self.check_probes(now);
        self.check_suspects(now);
        if now >= self.probe_due {
            self.probe_due = now + PROBE_PERIOD;
            self.probe_round(now);
        }
    }

    /// Takes in a message of another VM.
    pub fn receive(&mut self, now: Moment, from: &VmId, message: MembershipMessage) {
        self.hear(now, from, message.manifest);
        for update in message.updates {
            self.learn(now, update);
        }
        match message.body {
            MembershipBody::Ping { sequence } => self.send(from, MembershipBody::Ack { sequence }),
            MembershipBody::Ack { sequence } => self.take_ack(now, sequence),
            MembershipBody::PingRequest { target, sequence } => {
                self.run_errand(now, from, &target, sequence)
            }
        }
    }

    fn hear(&mut self, now: Moment, from: &VmId, manifest: ManifestNumber) {
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        member.heard = Some(now);
        member.manifest = manifest;
        if manifest > self.own_manifest {
            self.outputs
                .push(MembershipOutput::NewerManifest(from.clone(), manifest));
        }
    }

    /// A VM that answers is alive, even where a rumour said otherwise.
    fn mark_alive(&mut self, now: Moment, vm: &VmId) {
        let Some(member) = self.members.get(vm) else {
            return;
        };
        if member.health == Health::Suspect {
            let update = rumor_of(vm, member, Health::Alive);
            self.set_health(now, vm, member.incarnation, Health::Alive);
            self.spread(update);
        }
    }

    fn suspect(&mut self, now: Moment, vm: &VmId) {
        let Some(member) = self.members.get(vm) else {
            return;
        };
        if !matches!(member.health, Health::Alive | Health::Leaving) {
            return;
        }
        let update = rumor_of(vm, member, Health::Suspect);
        self.set_health(now, vm, member.incarnation, Health::Suspect);
        self.spread(update);
    }

    fn check_suspects(&mut self, now: Moment) {
        let dead: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.health == Health::Suspect)
            .filter(|(_, member)| now.since(member.since) >= SUSPECT_TIME)
            .map(|(vm, member)| (vm.clone(), rumor_of(vm, member, Health::Dead)))
            .collect();
        for (vm, update) in dead {
            self.set_health(now, &vm, update.incarnation, Health::Dead);
            self.spread(update);
        }
    }

    /// Takes in a rumour; it is passed on where it was news.
    fn learn(&mut self, now: Moment, update: MemberUpdate) {
        if update.vm == self.own {
            self.refute(&update);
            return;
        }
        let Some(member) = self.members.get(&update.vm) else {
            return;
        };
        let known = (member.incarnation, member.health.rank());
        if (update.incarnation, update.health.rank()) <= known {
            return;
        }
        let start = |incarnation: u64| incarnation >> REFUTATION_BITS;
        if member.incarnation > 0 && start(update.incarnation) > start(member.incarnation) {
            self.outputs
                .push(MembershipOutput::NewIncarnation(update.vm.clone()));
        }
        self.set_health(now, &update.vm, update.incarnation, update.health);
        self.spread(update);
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let wrong = update.health.rank() > self.own_health.rank();
        if update.incarnation >= self.own_incarnation && wrong {
            self.own_incarnation = update.incarnation + 1;
            self.spread_own();
        }
    }

    fn set_health(&mut self, now: Moment, vm: &VmId, incarnation: u64, health: Health) {
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        member.incarnation = incarnation;
        if member.health != health {
            member.health = health;
            member.since = now;
            self.outputs
                .push(MembershipOutput::HealthChanged(vm.clone(), health));
        }
    }

    fn spread_own(&mut self) {
        let update = MemberUpdate {
            vm: self.own.clone(),
            incarnation: self.own_incarnation,
            health: self.own_health,
        };
        self.spread(update);
    }

    fn spread(&mut self, update: MemberUpdate) {
        let vms = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        let left = 3 * (vms.ilog2() + 1);
        self.spreads
            .insert(update.vm.clone(), Spread { update, left });
    }

    /// Pings a VM out of turn, so that it sees at once what this one knows.
    pub fn ping(&mut self, to: &VmId) {
        self.sequence += 1;
        self.send(
            to,
            MembershipBody::Ping {
                sequence: self.sequence,
            },
        );
    }

    fn send(&mut self, to: &VmId, body: MembershipBody) {
        let updates = self.next_rumors(to);
        let message = MembershipMessage {
            body,
            updates,
            manifest: self.own_manifest,
        };
        self.outputs
            .push(MembershipOutput::Send(to.clone(), message));
    }

    /// Picks the rumours that were sent least, and always what concerns the receiver and the sender.
    fn next_rumors(&mut self, to: &VmId) -> Vec<MemberUpdate> {
        let own = MemberUpdate {
            vm: self.own.clone(),
            incarnation: self.own_incarnation,
            health: self.own_health,
        };
        let mut updates = vec![own];
        if let Some(member) = self.members.get(to).filter(|member| member.incarnation > 0) {
            updates.push(rumor_of(to, member, member.health));
        }
        let mut waiting: Vec<_> = self.spreads.values_mut().collect();
        waiting.sort_by_key(|spread| std::cmp::Reverse(spread.left));
        for spread in waiting.into_iter().take(MAX_RUMORS - updates.len()) {
            spread.left -= 1;
            updates.push(spread.update.clone());
        }
        self.spreads.retain(|_, spread| spread.left > 0);
        updates
    }

    /// Whether this VM has a disk for the control log.
    #[must_use]
    pub fn has_disk(&self) -> bool {
        self.own_disk
    }
}

fn rumor_of(vm: &VmId, member: &Member, health: Health) -> MemberUpdate {
    MemberUpdate {
        vm: vm.clone(),
        incarnation: member.incarnation,
        health,
    }
}
