//! Simulation of control log replicas with an unreliable network and disks that lose records.

pub mod burst_sim;
pub mod call_sim;
mod codec;
pub mod cold_sim;
mod commands;
mod crashes;
pub mod engine_sim;
pub mod learning_sim;
pub mod manifest_sim;
mod network;
mod oracle;
pub mod rate_sim;

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::consensus::message::{Entry, Message, Payload, Record, ReplicaId};
use merlinrudder_core::consensus::{Consensus, Output};
use merlinrudder_core::control::{ControlState, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

use self::codec::{decode_command, decode_snapshot};
use self::oracle::Oracle;

const STEP_MS: u64 = 10;
/// Interval between the introductions of a replica that is not a committed voter.
const INTRODUCTION_INTERVAL_MS: u64 = 300;

/// Bug injected on purpose, to show that the oracle detects it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedFault {
    Nothing,
    /// Sends messages before the records that they depend on are synced.
    SendBeforeSync,
    /// Gives a new disk the incarnation of the lost one.
    ReuseIncarnation,
}

/// Fault, operation or lapse of time in a simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Runs this many steps.
    Run(u16),
    /// Crashes a replica; records that are not synced may be lost.
    Crash(u8),
    /// Crashes all replicas at once.
    PowerLoss,
    Restart(u8),
    /// Replaces a disk with an empty one, if all replicas are running voters.
    LoseDisk(u8),
    /// Partitions the network; the bit at a replica's number tells its side.
    Partition(u8),
    Heal,
    /// Pauses a replica's process for ten times this number of steps.
    Pause(u8, u8),
    /// Lets a disk sync nothing for ten times this number of steps, as one without room.
    FillDisk(u8, u8),
    /// Publishes a manifest with this number and one of two contents.
    Publish(u8, bool),
    /// Claims a key for a new request.
    Claim(u8),
    /// Makes every leader transfer its leadership.
    TransferLeadership,
    Compact(u8),
}

/// Records to sync (`replace`: as a new journal) and messages that wait for it.
struct SyncJob {
    due: u64,
    records: Vec<Record>,
    replace: bool,
    messages: Vec<(ReplicaId, Message)>,
}

/// VM with a disk and, unless crashed, a replica.
struct Host {
    vm: VmId,
    incarnation: u64,
    consensus: Option<Consensus>,
    state: ControlState,
    synced: Vec<Record>,
    pending_syncs: VecDeque<SyncJob>,
    /// Speed of the local clock, in percent of the simulated time.
    clock_percent: u64,
    clock: u64,
    paused_until: u64,
    disk_full_until: u64,
    introduction_due: u64,
}

struct Packet {
    due: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

pub struct Sim {
    hosts: Vec<Host>,
    packets: Vec<Packet>,
    partition_bits: u8,
    now: u64,
    rng: Rng,
    fault: InjectedFault,
    oracle: Oracle,
    snapshots: Vec<ControlState>,
    next_request: u128,
    lossy: bool,
    /// Range of the duration of a sync, in milliseconds.
    sync_ms: Range<u64>,
}

impl Sim {
    pub fn new(replicas: u8, seed: u64, fault: InjectedFault) -> Self {
        let mut rng = Rng::with_seed(seed);
        // Some runs have slow disks, so that a crash loses more unsynced records.
        let sync_ms = if rng.bool() { 0..25 } else { 0..400 };
        let hosts = (0..replicas).map(|number| Host {
            vm: VmId::from(format!("vm-{number}")),
            incarnation: u64::from(number) + 1,
            consensus: None,
            state: ControlState::default(),
            synced: Vec::new(),
            pending_syncs: VecDeque::new(),
            clock_percent: 95 + rng.u64(..=10),
            clock: 1_000_000,
            paused_until: 0,
            disk_full_until: 0,
            introduction_due: 0,
        });
        let mut sim = Self {
            hosts: hosts.collect(),
            packets: Vec::new(),
            partition_bits: 0,
            now: 0,
            rng,
            fault,
            oracle: Oracle::default(),
            snapshots: Vec::new(),
            next_request: 1,
            lossy: true,
            sync_ms,
        };
        let voters: Vec<_> = sim.hosts.iter().map(Host::id).collect();
        for number in 0..sim.hosts.len() {
            sim.start(number);
            if let Some(consensus) = &mut sim.hosts[number].consensus {
                consensus.bootstrap(voters.clone());
            }
        }
        sim
    }

    /// Sets the range of the duration of a sync on all disks, in milliseconds.
    pub fn set_sync_times(&mut self, sync_ms: Range<u64>) {
        self.sync_ms = sync_ms;
    }

    /// Makes the network deliver each packet once, though late.
    pub fn set_lossless(&mut self) {
        self.lossy = false;
    }

    /// Whether a replica leads and has committed an entry of its term.
    pub fn has_leader(&self) -> bool {
        let mut running = self.hosts.iter().filter_map(|host| host.consensus.as_ref());
        running.any(Consensus::has_committed_in_term)
    }

    /// Returns the simulated time in whole seconds.
    pub fn seconds(&self) -> u64 {
        self.now / 1_000
    }

    /// Returns the longest time since the leader's last contact to a voter, of all its voters.
    pub fn longest_silence(&self) -> Option<Duration> {
        let mut running = self.hosts.iter();
        let (host, leader) = running.find_map(|host| {
            let consensus = host.consensus.as_ref()?;
            consensus
                .has_committed_in_term()
                .then_some((host, consensus))
        })?;
        let contacts = leader.voter_contacts(host.moment());
        contacts.into_iter().map(|(_, silence)| silence).max()
    }

    /// Carries out an event; fails if a replica violates an invariant.
    pub fn run_event(&mut self, event: Event) -> Result<(), String> {
        let count = u8::try_from(self.hosts.len()).expect("few replicas");
        match event {
            Event::Run(steps) => {
                for _ in 0..steps {
                    self.step()?;
                }
            }
            Event::Crash(host) => self.crash(usize::from(host % count)),
            Event::PowerLoss => (0..self.hosts.len()).for_each(|host| self.crash(host)),
            Event::Restart(host) => self.restart(usize::from(host % count)),
            Event::LoseDisk(host) => self.lose_disk(usize::from(host % count)),
            Event::Partition(bits) => self.partition_bits = bits,
            Event::Heal => self.partition_bits = 0,
            Event::Pause(host, steps) => {
                let until = self.now + u64::from(steps) * STEP_MS * 10;
                self.hosts[usize::from(host % count)].paused_until = until;
            }
            Event::FillDisk(host, steps) => {
                let until = self.now + u64::from(steps) * STEP_MS * 10;
                self.hosts[usize::from(host % count)].disk_full_until = until;
            }
            Event::Publish(number, alternative) => self.publish(number, alternative),
            Event::Claim(key) => self.claim(key),
            Event::TransferLeadership => {
                for host in &mut self.hosts {
                    if let Some(consensus) = &mut host.consensus {
                        consensus.transfer_leadership();
                    }
                }
            }
            Event::Compact(host) => self.compact(usize::from(host % count)),
        }
        Ok(())
    }

    /// Returns the highest manifest number accepted by any replica.
    pub fn highest_accepted(&self) -> Option<u64> {
        self.oracle.accepted.keys().next_back().copied()
    }

    /// Ends all faults, then checks that the replicas accept commands and agree.
    pub fn heal_and_check(&mut self) -> Result<(), String> {
        self.partition_bits = 0;
        self.lossy = false;
        for number in 0..self.hosts.len() {
            self.hosts[number].paused_until = 0;
            self.hosts[number].disk_full_until = 0;
            self.restart(number);
        }
        for _ in 0..1500 {
            self.step()?;
        }
        let before = self.oracle.applied.len();
        for _ in 0..20 {
            self.claim(255);
            for _ in 0..20 {
                self.step()?;
            }
        }
        for _ in 0..300 {
            self.step()?;
        }
        if self.oracle.applied.len() == before {
            return Err("no entry is committed after all faults ended".to_owned());
        }
        self.check_agreement()
    }

    fn check_agreement(&self) -> Result<(), String> {
        let first = &self.hosts[0].state;
        for host in &self.hosts {
            if host.state != *first {
                return Err(format!(
                    "the control states of {} and {} differ after all faults ended",
                    host.vm, self.hosts[0].vm
                ));
            }
        }
        let Some((number, bytes)) = self.oracle.accepted.last_key_value() else {
            return Ok(());
        };
        let expected = PublishedManifest {
            number: ManifestNumber(*number),
            bytes: Arc::clone(bytes),
        };
        if first.manifest.as_ref() != Some(&expected) {
            return Err(format!("manifest {number} was accepted and is lost"));
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        for number in 0..self.hosts.len() {
            self.step_host(number)?;
        }
        self.deliver()?;
        self.check_leaders()
    }

    fn step_host(&mut self, number: usize) -> Result<(), String> {
        let now = self.now;
        let host = &mut self.hosts[number];
        if host.paused_until > now {
            host.clock += STEP_MS;
            return Ok(());
        }
        host.clock += STEP_MS * host.clock_percent / 100;
        let moment = host.moment();
        let mut ready = Vec::new();
        let has_room = host.disk_full_until <= now;
        while has_room && host.pending_syncs.front().is_some_and(|job| job.due <= now) {
            if let Some(job) = host.pending_syncs.pop_front() {
                host.sync(&job);
                ready.extend(job.messages);
            }
        }
        if let Some(consensus) = &mut host.consensus {
            consensus.tick(moment);
        }
        self.send_all(number, ready);
        self.introduce(number);
        self.handle_outputs(number)
    }

    /// Introduces a replica that is not a committed voter to the leader.
    fn introduce(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let (id, now) = (host.id(), self.now);
        let not_voter = host
            .consensus
            .as_ref()
            .is_some_and(|c| !c.is_committed_voter());
        if !not_voter || now < host.introduction_due {
            return;
        }
        host.introduction_due = now + INTRODUCTION_INTERVAL_MS;
        for peer in 0..self.hosts.len() {
            if self.connected(number, peer) {
                let moment = self.hosts[peer].moment();
                if let Some(consensus) = &mut self.hosts[peer].consensus {
                    consensus.add_learner(moment, id.clone());
                }
            }
        }
    }

    fn handle_outputs(&mut self, number: usize) -> Result<(), String> {
        let due = self.now + self.rng.u64(self.sync_ms.clone());
        let send_early = self.fault == InjectedFault::SendBeforeSync;
        let host = &mut self.hosts[number];
        let Some(consensus) = &mut host.consensus else {
            return Ok(());
        };
        let outputs = consensus.take_outputs();
        let mut sends = Vec::new();
        let mut job = SyncJob {
            due,
            records: Vec::new(),
            replace: false,
            messages: Vec::new(),
        };
        let mut applied = Vec::new();
        for output in outputs {
            match output {
                Output::Persist(Record::Snapshot(_)) => {
                    job.records = consensus.journal();
                    job.replace = true;
                }
                Output::Persist(record) => job.records.push(record),
                Output::Send(to, message) => sends.push((to, message)),
                Output::SendAfterSync(to, message) if send_early => sends.push((to, message)),
                Output::SendAfterSync(to, message) => job.messages.push((to, message)),
                Output::Apply(entry) => applied.push(entry),
                Output::Restore(snapshot) => {
                    host.state = decode_snapshot(&self.snapshots, &snapshot.data);
                }
            }
        }
        if !job.records.is_empty() || !job.messages.is_empty() {
            let last = host.pending_syncs.back().map_or(0, |last| last.due);
            job.due = job.due.max(last);
            host.pending_syncs.push_back(job);
        }
        for entry in applied {
            self.apply(number, &entry)?;
        }
        self.send_all(number, sends);
        Ok(())
    }

    fn apply(&mut self, number: usize, entry: &Entry) -> Result<(), String> {
        let known = self
            .oracle
            .applied
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if known != entry {
            return Err(format!("two entries were committed at {:?}", entry.index));
        }
        let Payload::Command(bytes) = &entry.payload else {
            return Ok(());
        };
        let command = decode_command(bytes);
        let host = &mut self.hosts[number];
        let before = host.state.manifest_number();
        let answer = host.state.apply(command.clone());
        if host.state.manifest_number() < before {
            return Err("the manifest number of a replica decreased".to_owned());
        }
        self.oracle.check_answer(&command, &answer)
    }

    fn check_leaders(&mut self) -> Result<(), String> {
        for host in &self.hosts {
            let Some(consensus) = host.consensus.as_ref().filter(|c| c.is_leader()) else {
                continue;
            };
            let known = self
                .oracle
                .leaders
                .entry(consensus.term())
                .or_insert_with(|| host.id());
            if *known != host.id() {
                return Err(format!("two replicas lead in {:?}", consensus.term()));
            }
        }
        Ok(())
    }
}

impl Host {
    fn id(&self) -> ReplicaId {
        ReplicaId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.clock)
    }

    fn sync(&mut self, job: &SyncJob) {
        if job.replace {
            self.synced.clear();
        }
        self.synced.extend(job.records.iter().cloned());
        let last = job.records.iter().rev().find_map(|record| match record {
            Record::Entry(entry) => Some((entry.index, entry.term)),
            Record::Snapshot(snapshot) => Some((snapshot.index, snapshot.term)),
            Record::HardState(_) => None,
        });
        if let (Some(consensus), Some((index, term))) = (&mut self.consensus, last) {
            consensus.mark_synced(index, term);
        }
    }
}

pub fn one_second() -> Event {
    Event::Run(u16::try_from(Duration::from_secs(1).as_millis()).expect("small") / 10)
}
