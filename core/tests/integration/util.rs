//! A few replicas of the control log over a bad network, with disks that forget.

mod codec;
mod oracle;

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::claims::ClaimKey;
use merlinrudder_core::consensus::log::{Log, recover};
use merlinrudder_core::consensus::message::{
    Entry, HardState, Message, Payload, Record, ReplicaId,
};
use merlinrudder_core::consensus::{Consensus, Output};
use merlinrudder_core::control::{Command, ControlState, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{CustomerName, ServiceName, VmId};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, RequestId};

use self::codec::{decode, decode_command, encode_command};
use self::oracle::Oracle;

/// Time of one step.
const STEP_MS: u64 = 10;
/// Time between two introductions of a replica with a new disk.
const HELLO_MS: u64 = 300;

/// A fault planted on purpose, to show that the oracle sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plant {
    Nothing,
    /// Messages go out before what they promise is synced.
    SendUnsynced,
    /// A new disk takes part under the identity of the lost one.
    KeepIdentity,
}

/// Something that happens to the replicas.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Time passes, in steps.
    Run(u16),
    /// A replica's process dies; what was not synced is gone.
    Crash(u8),
    /// All processes die at once.
    PowerLoss,
    /// A dead replica starts again.
    Restart(u8),
    /// A replica's disk is lost, where the others are whole.
    LoseDisk(u8),
    /// Some replicas cannot hear the others, by bits.
    Cut(u8),
    /// Everyone hears everyone.
    Heal,
    /// A replica stops for some steps.
    Freeze(u8, u8),
    /// An operator publishes this number with one of two contents, at any replica.
    Publish(u8, bool),
    /// A request claims one of a few keys.
    Claim(u8),
    /// A leader hands over.
    HandOver,
    /// A replica writes a snapshot.
    Compact(u8),
}

struct Job {
    due: u64,
    records: Vec<Record>,
    replace: bool,
    messages: Vec<(ReplicaId, Message)>,
}

struct Host {
    vm: VmId,
    incarnation: u64,
    consensus: Option<Consensus>,
    state: ControlState,
    synced: Vec<Record>,
    jobs: VecDeque<Job>,
    /// Percent of the true time that this replica's clock makes.
    rate: u64,
    clock: u64,
    frozen_until: u64,
    hello_due: u64,
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
    cut: u8,
    now: u64,
    rng: Rng,
    plant: Plant,
    oracle: Oracle,
    snapshots: Vec<ControlState>,
    next_request: u128,
    lossy: bool,
    /// Times that a sync takes, in milliseconds.
    disk_ms: Range<u64>,
}

impl Sim {
    pub fn new(replicas: u8, seed: u64, plant: Plant) -> Self {
        let mut rng = Rng::with_seed(seed);
        // Some runs have slow disks, on which much is lost in a crash.
        let disk_ms = if rng.bool() { 0..25 } else { 0..400 };
        let hosts = (0..replicas).map(|number| Host {
            vm: VmId::from(format!("vm-{number}")),
            incarnation: u64::from(number) + 1,
            consensus: None,
            state: ControlState::default(),
            synced: Vec::new(),
            jobs: VecDeque::new(),
            rate: 95 + rng.u64(..=10),
            clock: 1_000_000,
            frozen_until: 0,
            hello_due: 0,
        });
        let mut sim = Self {
            hosts: hosts.collect(),
            packets: Vec::new(),
            cut: 0,
            now: 0,
            rng,
            plant,
            oracle: Oracle::default(),
            snapshots: Vec::new(),
            next_request: 1,
            lossy: true,
            disk_ms,
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

    /// Gives all disks these times of a sync, in milliseconds.
    pub fn set_disks(&mut self, disk_ms: Range<u64>) {
        self.disk_ms = disk_ms;
    }

    /// Lets an event happen; returns what is wrong, if anything.
    pub fn happen(&mut self, event: Event) -> Result<(), String> {
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
            Event::Cut(bits) => self.cut = bits,
            Event::Heal => self.cut = 0,
            Event::Freeze(host, steps) => {
                let until = self.now + u64::from(steps) * STEP_MS * 10;
                self.hosts[usize::from(host % count)].frozen_until = until;
            }
            Event::Publish(number, other) => self.publish(number, other),
            Event::Claim(key) => self.claim(key),
            Event::HandOver => {
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

    /// Returns the highest number that was accepted.
    pub fn accepted_number(&self) -> Option<u64> {
        self.oracle.accepted.keys().next_back().copied()
    }

    /// Ends all faults and checks that the replicas agree and still accept.
    pub fn settle(&mut self) -> Result<(), String> {
        self.cut = 0;
        self.lossy = false;
        for number in 0..self.hosts.len() {
            self.hosts[number].frozen_until = 0;
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
            return Err("nothing is accepted after all faults ended".to_owned());
        }
        self.check_agreement()
    }

    fn check_agreement(&self) -> Result<(), String> {
        let first = &self.hosts[0].state;
        for host in &self.hosts {
            if host.state != *first {
                return Err(format!(
                    "{} and {} differ in the end",
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
            self.run_host(number)?;
        }
        self.deliver()?;
        self.check_leaders()
    }

    fn run_host(&mut self, number: usize) -> Result<(), String> {
        let now = self.now;
        let host = &mut self.hosts[number];
        if host.frozen_until > now {
            host.clock += STEP_MS;
            return Ok(());
        }
        host.clock += STEP_MS * host.rate / 100;
        let moment = host.moment();
        let mut ready = Vec::new();
        while host.jobs.front().is_some_and(|job| job.due <= now) {
            if let Some(job) = host.jobs.pop_front() {
                host.sync(&job);
                ready.extend(job.messages);
            }
        }
        if let Some(consensus) = &mut host.consensus {
            consensus.tick(moment);
        }
        self.send_all(number, ready);
        self.hello(number);
        self.flush(number)
    }

    /// A replica that is no voter introduces itself to whoever leads.
    fn hello(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let (id, now) = (host.id(), self.now);
        let outside = host
            .consensus
            .as_ref()
            .is_some_and(|c| !c.is_committed_voter());
        if !outside || now < host.hello_due {
            return;
        }
        host.hello_due = now + HELLO_MS;
        for other in 0..self.hosts.len() {
            if self.hears(number, other) {
                let moment = self.hosts[other].moment();
                if let Some(consensus) = &mut self.hosts[other].consensus {
                    consensus.add_learner(moment, id.clone());
                }
            }
        }
    }

    fn flush(&mut self, number: usize) -> Result<(), String> {
        let due = self.now + self.rng.u64(self.disk_ms.clone());
        let unsynced = self.plant == Plant::SendUnsynced;
        let host = &mut self.hosts[number];
        let Some(consensus) = &mut host.consensus else {
            return Ok(());
        };
        let outputs = consensus.take_outputs();
        let mut sends = Vec::new();
        let mut job = Job {
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
                Output::SendAfterSync(to, message) if unsynced => sends.push((to, message)),
                Output::SendAfterSync(to, message) => job.messages.push((to, message)),
                Output::Apply(entry) => applied.push(entry),
                Output::Restore(snapshot) => {
                    host.state = decode(&self.snapshots, &snapshot.data);
                }
            }
        }
        if !job.records.is_empty() || !job.messages.is_empty() {
            let last = host.jobs.back().map_or(0, |last| last.due);
            job.due = job.due.max(last);
            host.jobs.push_back(job);
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
            return Err("a replica went back to an older manifest".to_owned());
        }
        self.oracle.check_answer(&command, &answer)
    }

    fn send_all(&mut self, number: usize, messages: Vec<(ReplicaId, Message)>) {
        let from = self.hosts[number].id();
        for (to, message) in messages {
            let copies = match self.rng.u8(..100) {
                0..8 if self.lossy && to != from => 0,
                8..12 if self.lossy => 2,
                _ => 1,
            };
            for _ in 0..copies {
                let delay = if to == from {
                    0
                } else {
                    1 + self.rng.u64(..40)
                };
                let due = self.now + delay;
                let (from, to, message) = (from.clone(), to.clone(), message.clone());
                self.packets.push(Packet {
                    due,
                    from,
                    to,
                    message,
                });
            }
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(|packet| packet.due <= now);
        self.packets = waiting;
        for packet in due {
            let find = |id: &ReplicaId| self.hosts.iter().position(|host| host.vm == id.vm);
            let (Some(from), Some(to)) = (find(&packet.from), find(&packet.to)) else {
                continue;
            };
            if !self.hears(from, to) {
                continue;
            }
            let host = &mut self.hosts[to];
            if host.frozen_until > now {
                // A frozen process gets its messages when it goes on.
                let due = host.frozen_until;
                self.packets.push(Packet { due, ..packet });
                continue;
            }
            if host.id() != packet.to {
                continue;
            }
            let moment = host.moment();
            if let Some(consensus) = &mut host.consensus {
                consensus.receive(moment, &packet.from, packet.message);
            }
            self.flush(to)?;
        }
        Ok(())
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let side = |host: usize| self.cut >> host & 1;
        side(from) == side(to)
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

    fn crash(&mut self, number: usize) {
        let kept = if self.rng.u8(..4) == 0 {
            self.rng.usize(1..4)
        } else {
            0
        };
        let host = &mut self.hosts[number];
        if host.consensus.take().is_none() {
            return;
        }
        // Some of what was not synced may have reached the disk, in order.
        let jobs = std::mem::take(&mut host.jobs);
        for record in jobs
            .into_iter()
            .take_while(|job| !job.replace)
            .flat_map(|j| j.records)
            .take(kept)
        {
            host.synced.push(record);
        }
    }

    fn restart(&mut self, number: usize) {
        if self.hosts[number].consensus.is_none() {
            self.start(number);
        }
    }

    fn start(&mut self, number: usize) {
        let seed = self.rng.u64(..);
        let host = &mut self.hosts[number];
        let (hard, log): (HardState, Log) = recover(host.synced.clone());
        host.state = decode(&self.snapshots, &log.snapshot().data);
        host.consensus = Some(Consensus::open(host.moment(), host.id(), hard, log, seed));
    }

    /// Loses a disk, where every voter is a living replica: one loss at a time is promised.
    fn lose_disk(&mut self, number: usize) {
        let voters: Vec<_> = self.hosts.iter().map(Host::id).collect();
        let whole = self.hosts.iter().all(|host| {
            let known = host.consensus.as_ref().map(|consensus| {
                let mut known = consensus.voters().to_vec();
                known.sort_unstable();
                // The change must be committed here, not only proposed.
                (
                    known,
                    consensus.log().voters_index() <= consensus.commit_index(),
                )
            });
            known.is_some_and(|(known, committed)| committed && known == voters)
        });
        if !whole && self.plant != Plant::KeepIdentity {
            return;
        }
        self.crash(number);
        let fresh = self.rng.u64(1000..);
        let host = &mut self.hosts[number];
        host.synced.clear();
        if self.plant != Plant::KeepIdentity {
            host.incarnation = fresh;
        }
        self.start(number);
        if self.plant == Plant::KeepIdentity {
            let voters = self.hosts.iter().map(Host::id).collect();
            if let Some(consensus) = &mut self.hosts[number].consensus {
                consensus.bootstrap(voters);
            }
        }
    }

    fn publish(&mut self, number: u8, other: bool) {
        let bytes: Arc<[u8]> = Arc::from([number, u8::from(other)]);
        let number = ManifestNumber(u64::from(number));
        self.propose(&Command::Publish(PublishedManifest { number, bytes }));
    }

    fn claim(&mut self, key: u8) {
        let key = ClaimKey {
            customer: CustomerName::from("customer"),
            service: ServiceName::from("service"),
            key: Arc::from(key.to_string()),
        };
        let owner = RequestId(self.next_request);
        self.next_request += 1;
        let now = Moment::from_millis(self.now);
        let content = ContentDigest([0; 32]);
        self.propose(&Command::Claim {
            key,
            owner,
            content,
            now,
        });
    }

    /// Proposes at every replica that believes to lead; a caller does not know better.
    fn propose(&mut self, command: &Command) {
        for host in &mut self.hosts {
            let moment = host.moment();
            if let Some(consensus) = &mut host.consensus {
                let payload = Payload::Command(encode_command(command));
                // A replica that does not lead says so; the caller asks the next.
                drop(consensus.propose(moment, payload));
            }
        }
    }

    fn compact(&mut self, number: usize) {
        let name = self.snapshots.len() as u64;
        let host = &mut self.hosts[number];
        let Some(consensus) = &mut host.consensus else {
            return;
        };
        let index = consensus.commit_index();
        self.snapshots.push(host.state.clone());
        consensus.compact(index, Arc::from(name.to_le_bytes()));
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

    fn sync(&mut self, job: &Job) {
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

/// One second of steps.
pub fn second() -> Event {
    Event::Run(u16::try_from(Duration::from_secs(1).as_millis()).expect("small") / 10)
}
