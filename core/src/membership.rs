//! SWIM-style failure detection and gossip membership.
//!
//! The cost per VM does not grow with the number of VMs: in each period a VM probes one VM of its
//! zone and one of all VMs, and each message piggybacks a bounded number of membership updates.

pub mod message;
mod probing;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use self::message::{Health, MemberUpdate, MembershipBody, MembershipMessage};
use crate::manifest::ManifestNumber;
use crate::names::{VmId, ZoneName};
use crate::time::Moment;

/// Interval between probe rounds.
pub const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Time to refute a suspicion before a suspect VM is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of updates that one message piggybacks.
const MAX_MESSAGE_UPDATES: usize = 8;
/// Number of low bits of an incarnation that count refuted suspicions.
///
/// The remaining high bits identify the start of the process.
const REFUTATION_BITS: u32 = 16;

/// Another VM's state, as known on this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Availability zone of the VM, from the settings.
    pub zone: ZoneName,
    /// Whether it has a disk for the control log.
    pub disk: bool,
    /// Increases with each process start and each refuted suspicion; 0 while unknown.
    pub incarnation: u64,
    /// Latest health, from probes or gossip.
    pub health: Health,
    /// Manifest in force there, as of its last message to this VM.
    pub manifest: ManifestNumber,
    /// When `health` last changed.
    pub health_since: Moment,
    /// When its last message to this VM arrived; `None` before the first.
    pub last_contact: Option<Moment>,
}

/// An action or event that the caller has to handle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipOutput {
    /// Send this message to that VM.
    Send(VmId, MembershipMessage),
    /// Another VM now has this health.
    HealthChanged(VmId, Health),
    /// A VM was restarted; connections to its old process are dead.
    NewIncarnation(VmId),
    /// A VM has a newer manifest in force than this VM.
    NewerManifest(VmId, ManifestNumber),
}

/// A ping sent by this VM that is not acknowledged yet.
#[derive(Debug)]
struct Probe {
    target: VmId,
    sent_at: Moment,
    /// Whether other VMs were asked to ping the target.
    indirect_sent: bool,
}

/// An update that is still being disseminated.
#[derive(Debug)]
struct PendingUpdate {
    update: MemberUpdate,
    /// Number of messages that still have to carry the update.
    sends_left: u32,
}

/// Failure detector and membership table of one VM.
#[derive(Debug)]
pub struct Membership {
    own_vm: VmId,
    own_zone: ZoneName,
    own_disk: bool,
    own_incarnation: u64,
    own_health: Health,
    own_manifest: ManifestNumber,
    /// All other VMs listed in the settings.
    members: BTreeMap<VmId, Member>,
    /// VMs still to be probed in this round; refilled in random order when empty.
    probe_queue: Vec<VmId>,
    /// Unacknowledged probes by sequence number.
    probes: BTreeMap<u64, Probe>,
    /// Pings sent on behalf of other VMs, by their own sequence number.
    relayed_pings: BTreeMap<u64, RelayedPing>,
    pending_updates: BTreeMap<VmId, PendingUpdate>,
    /// Sequence number of the last ping.
    sequence: u64,
    probe_due: Moment,
    rng: Rng,
    outputs: Vec<MembershipOutput>,
}

/// A ping sent on behalf of another VM.
#[derive(Debug)]
struct RelayedPing {
    requester: VmId,
    /// Sequence number of the requester's probe.
    sequence: u64,
    sent_at: Moment,
}

/// A VM as listed in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfiguredVm {
    /// Unique id of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Whether it has a disk for the control log.
    pub disk: bool,
}

impl Membership {
    /// Starts with the VMs in the settings, all of them dead until first contact.
    ///
    /// `incarnation` must be higher than at any earlier start of this VM. It also seeds the choice
    /// of probe targets.
    #[must_use]
    pub fn new(now: Moment, own: ConfiguredVm, peers: &[ConfiguredVm], incarnation: u64) -> Self {
        let member = |peer: &ConfiguredVm| Member {
            zone: peer.zone.clone(),
            disk: peer.disk,
            incarnation: 0,
            health: Health::Dead,
            manifest: ManifestNumber(0),
            health_since: now,
            last_contact: None,
        };
        let members = peers
            .iter()
            .map(|peer| (peer.vm.clone(), member(peer)))
            .collect();
        let mut membership = Self {
            own_vm: own.vm,
            own_zone: own.zone,
            own_disk: own.disk,
            own_incarnation: incarnation << REFUTATION_BITS,
            own_health: Health::Alive,
            own_manifest: ManifestNumber(0),
            members,
            probe_queue: Vec::new(),
            probes: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            pending_updates: BTreeMap::new(),
            sequence: 0,
            probe_due: now,
            rng: Rng::with_seed(incarnation),
            outputs: Vec::new(),
        };
        membership.queue_own_update();
        membership
    }

    /// Returns the outputs produced since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<MembershipOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the state of all other VMs, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.members.iter()
    }

    /// Returns the state of another VM, if the settings list it.
    #[must_use]
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns the alive VMs of a zone, possibly this one; they take new work.
    #[must_use]
    pub fn serving_in(&self, zone: &ZoneName) -> Vec<&VmId> {
        let others = self
            .members
            .iter()
            .filter(|(_, member)| member.zone == *zone && member.health == Health::Alive)
            .map(|(vm, _)| vm);
        let own =
            (self.own_zone == *zone && self.own_health == Health::Alive).then_some(&self.own_vm);
        others.chain(own).collect()
    }

    /// Sets the manifest number that this VM announces in its messages.
    pub fn set_manifest(&mut self, number: ManifestNumber) {
        self.own_manifest = number;
    }

    /// Announces to all VMs that this VM is leaving.
    ///
    /// VMs that learn of it give its dispatcher no more work.
    pub fn leave(&mut self) {
        self.own_health = Health::Leaving;
        self.own_incarnation += 1;
        self.queue_own_update();
        let all: Vec<_> = self.members.keys().cloned().collect();
        for vm in all {
            self.ping(&vm);
        }
    }

    /// Processes timeouts of probes and suspicions, and starts the next probe round if due.
    pub fn tick(&mut self, now: Moment) {
        self.expire_probes(now);
        self.expire_suspects(now);
        if now >= self.probe_due {
            self.probe_due = now + PROBE_PERIOD;
            self.send_probes(now);
        }
    }

    /// Handles a message from another VM.
    ///
    /// Updates are applied before the reply is produced, so it carries a refutation if needed.
    pub fn receive(&mut self, now: Moment, from: &VmId, message: MembershipMessage) {
        self.record_contact(now, from, message.manifest);
        for update in message.updates {
            self.apply_update(now, update);
        }
        match message.body {
            MembershipBody::Ping { sequence } => self.send(from, MembershipBody::Ack { sequence }),
            MembershipBody::Ack { sequence } => self.handle_ack(now, sequence),
            MembershipBody::PingRequest { target, sequence } => {
                self.relay_ping(now, from, &target, sequence);
            }
        }
    }

    fn record_contact(&mut self, now: Moment, from: &VmId, manifest: ManifestNumber) {
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        member.last_contact = Some(now);
        member.manifest = manifest;
        if manifest > self.own_manifest {
            self.outputs
                .push(MembershipOutput::NewerManifest(from.clone(), manifest));
        }
    }

    /// Marks a suspect VM alive after an ack, whoever suspected it.
    fn clear_suspicion(&mut self, now: Moment, vm: &VmId) {
        let Some(member) = self.members.get(vm) else {
            return;
        };
        if member.health == Health::Suspect {
            let update = member_update(vm, member, Health::Alive);
            self.set_health(now, vm, member.incarnation, Health::Alive);
            self.queue_update(update);
        }
    }

    fn mark_suspect(&mut self, now: Moment, vm: &VmId) {
        let Some(member) = self.members.get(vm) else {
            return;
        };
        if !matches!(member.health, Health::Alive | Health::Leaving) {
            return;
        }
        let update = member_update(vm, member, Health::Suspect);
        self.set_health(now, vm, member.incarnation, Health::Suspect);
        self.queue_update(update);
    }

    fn expire_suspects(&mut self, now: Moment) {
        let dead: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.health == Health::Suspect)
            .filter(|(_, member)| now.since(member.health_since) >= SUSPICION_TIMEOUT)
            .map(|(vm, member)| (vm.clone(), member_update(vm, member, Health::Dead)))
            .collect();
        for (vm, update) in dead {
            self.set_health(now, &vm, update.incarnation, Health::Dead);
            self.queue_update(update);
        }
    }

    /// Applies an update and passes it on, if newer than the known state.
    fn apply_update(&mut self, now: Moment, update: MemberUpdate) {
        if update.vm == self.own_vm {
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
        let process_start = |incarnation: u64| incarnation >> REFUTATION_BITS;
        if member.incarnation > 0
            && process_start(update.incarnation) > process_start(member.incarnation)
        {
            self.outputs
                .push(MembershipOutput::NewIncarnation(update.vm.clone()));
        }
        self.set_health(now, &update.vm, update.incarnation, update.health);
        self.queue_update(update);
    }

    /// Refutes an update that reports this VM in worse health, by a higher incarnation.
    fn refute(&mut self, update: &MemberUpdate) {
        let is_worse = update.health.rank() > self.own_health.rank();
        if update.incarnation >= self.own_incarnation && is_worse {
            self.own_incarnation = update.incarnation + 1;
            self.queue_own_update();
        }
    }

    fn set_health(&mut self, now: Moment, vm: &VmId, incarnation: u64, health: Health) {
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        member.incarnation = incarnation;
        if member.health != health {
            member.health = health;
            member.health_since = now;
            self.outputs
                .push(MembershipOutput::HealthChanged(vm.clone(), health));
        }
    }

    fn queue_own_update(&mut self) {
        let update = MemberUpdate {
            vm: self.own_vm.clone(),
            incarnation: self.own_incarnation,
            health: self.own_health,
        };
        self.queue_update(update);
    }

    /// Queues an update for 3 (floor(log2(n)) + 1) messages, where n counts all VMs.
    ///
    /// It replaces a queued update on the same VM.
    fn queue_update(&mut self, update: MemberUpdate) {
        let vms = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        let sends_left = 3 * (vms.ilog2() + 1);
        self.pending_updates
            .insert(update.vm.clone(), PendingUpdate { update, sends_left });
    }

    /// Pings a VM outside the probe rounds, to deliver updates and the manifest number.
    ///
    /// A missing acknowledgement raises no suspicion.
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
        let updates = self.next_updates(to);
        let message = MembershipMessage {
            body,
            updates,
            manifest: self.own_manifest,
        };
        self.outputs
            .push(MembershipOutput::Send(to.clone(), message));
    }

    /// Returns the updates to piggyback on a message to `to`.
    ///
    /// These are always the sender's own state and the known state of the receiver, so that it can
    /// refute it, then the pending updates with the most sends left.
    fn next_updates(&mut self, to: &VmId) -> Vec<MemberUpdate> {
        let own = MemberUpdate {
            vm: self.own_vm.clone(),
            incarnation: self.own_incarnation,
            health: self.own_health,
        };
        let mut updates = vec![own];
        if let Some(member) = self.members.get(to).filter(|member| member.incarnation > 0) {
            updates.push(member_update(to, member, member.health));
        }
        let mut least_sent: Vec<_> = self.pending_updates.values_mut().collect();
        least_sent.sort_by_key(|pending| std::cmp::Reverse(pending.sends_left));
        for pending in least_sent
            .into_iter()
            .take(MAX_MESSAGE_UPDATES - updates.len())
        {
            pending.sends_left -= 1;
            updates.push(pending.update.clone());
        }
        self.pending_updates
            .retain(|_, pending| pending.sends_left > 0);
        updates
    }

    /// Whether this VM has a disk for the control log.
    #[must_use]
    pub fn has_disk(&self) -> bool {
        self.own_disk
    }
}

fn member_update(vm: &VmId, member: &Member, health: Health) -> MemberUpdate {
    MemberUpdate {
        vm: vm.clone(),
        incarnation: member.incarnation,
        health,
    }
}
