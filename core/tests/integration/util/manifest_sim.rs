//! A simulated network in which a storm of manifests spreads from control VMs to entry VMs.
//!
//! Links have a bandwidth, which all frames of a VM share, and carry the frames of a pair of VMs in
//! order. Decoding a manifest takes processor time of the entry VM.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_history::{ManifestHistory, ManifestStep};
use merlinrudder_core::manifest_pull::ManifestPull;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Interval at which control VMs repeat the newest number, in milliseconds.
const ADVERTISE_MS: u64 = 400;
/// Longest time by which a control VM applies a manifest later than the leader, in milliseconds.
const APPLY_MS: u64 = 100;
/// Time after which a silent link is closed, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Size of a message other than a manifest, in bytes.
const MESSAGE_BYTES: f64 = 100.0;
/// Size of the difference between two manifests in a row, in bytes.
const STEP_BYTES: usize = 400;
/// Factor by which a compressed document is smaller.
const COMPRESSION: f64 = 20.0;
/// Processor time to decode a byte of a manifest with few changes, in nanoseconds.
const DECODE_NS: f64 = 6.0;

/// Machines and links of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub entry_vms: usize,
    pub zones: usize,
    pub control_vms: usize,
    /// Control VMs that freeze as the storm begins; those with the lowest numbers.
    pub frozen: usize,
    /// Bandwidth of an entry VM, in megabits a second.
    pub entry_mbps: f64,
    /// Bandwidth of a control VM, in megabits a second.
    pub control_mbps: f64,
    /// Share of a processor that an entry VM has.
    pub entry_share: f64,
}

/// Manifests that are confirmed in quick succession.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    pub manifests: u64,
    pub gap: Duration,
    pub document_bytes: f64,
}

/// What the simulation has counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Longest time from a confirmation until all entry VMs had that manifest or a newer one.
    pub longest: Duration,
    /// Most bytes that one entry VM received for the whole storm.
    pub entry_bytes: f64,
}

#[derive(Clone, Copy, Debug)]
enum Payload {
    Number(u64),
    Document(u64),
}

#[derive(Clone, Copy, Debug)]
struct Frame {
    payload: Payload,
    bytes_left: f64,
}

struct ControlVm {
    zone: usize,
    frozen: bool,
    newest: u64,
    history: ManifestHistory,
    advertise_at: u64,
    /// Frames for each entry VM, in order.
    queues: Vec<VecDeque<Frame>>,
}

impl ControlVm {
    /// Applies a manifest and computes the difference from the one before.
    fn apply(&mut self, number: u64) {
        if number > self.newest {
            self.history.record(ManifestStep {
                base: ManifestNumber(self.newest),
                number: ManifestNumber(number),
                length: 0,
                data: Arc::from([0; STEP_BYTES]),
            });
            self.newest = number;
        }
    }

    /// Returns the size of the answer to a VM that has a manifest.
    fn answer_bytes(&self, have: ManifestNumber, document_bytes: f64) -> f64 {
        let steps = self.history.steps_since(have, usize::MAX);
        #[expect(clippy::cast_precision_loss, reason = "a few kilobytes")]
        let bytes = steps.map(|steps| (steps.len() * STEP_BYTES) as f64);
        bytes.unwrap_or(document_bytes / COMPRESSION)
    }
}

struct EntryVm {
    zone: usize,
    pull: ManifestPull,
    in_force: u64,
    /// Manifest that is being decoded, and when that ends.
    decoding: Option<(u64, u64)>,
    bytes: f64,
}

/// Control and entry VMs with the links between them.
pub struct ManifestSim {
    site: Site,
    storm: Storm,
    now: u64,
    control: Vec<ControlVm>,
    entry: Vec<EntryVm>,
    /// When each number was confirmed.
    confirmed: BTreeMap<u64, u64>,
    spread: Spread,
}

fn control_id(number: usize) -> VmId {
    VmId::from(format!("control-{number}"))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}

/// Bytes that a link carries in one step.
fn step_bytes(mbps: f64) -> f64 {
    mbps * 1e6 / 8.0 * 0.005
}

impl ManifestSim {
    /// Opens a deployment in which all entry VMs have manifest 1 in force.
    pub fn open(site: Site, storm: Storm) -> Self {
        let control = (0..site.control_vms).map(|number| ControlVm {
            zone: number % site.zones,
            frozen: number < site.frozen,
            newest: 1,
            history: ManifestHistory::default(),
            advertise_at: 0,
            queues: vec![VecDeque::new(); site.entry_vms],
        });
        let entry = (0..site.entry_vms).map(|number| EntryVm {
            zone: number % site.zones,
            pull: ManifestPull::new(VmId::from(format!("entry-{number}"))),
            in_force: 1,
            decoding: None,
            bytes: 0.0,
        });
        Self {
            site,
            storm,
            now: 0,
            control: control.collect(),
            entry: entry.collect(),
            confirmed: BTreeMap::new(),
            spread: Spread::default(),
        }
    }

    /// Runs until all entry VMs have the last manifest in force, or for a minute.
    pub fn run(mut self) -> Spread {
        let gap = millis(self.storm.gap).max(STEP_MS);
        let last = 1 + self.storm.manifests;
        while self.now < 60_000 && self.entry.iter().any(|vm| vm.in_force < last) {
            self.now += STEP_MS;
            let confirmed = 1 + (self.now / gap).min(self.storm.manifests);
            self.confirmed.entry(confirmed).or_insert(self.now);
            self.step_control(confirmed);
            self.transfer();
            self.step_entry();
            self.measure();
        }
        let bytes = self.entry.iter().map(|vm| vm.bytes);
        self.spread.entry_bytes = bytes.fold(0.0, f64::max);
        self.spread
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Lets control VMs apply what was confirmed, and advertise it.
    fn step_control(&mut self, confirmed: u64) {
        for (number, control) in self.control.iter_mut().enumerate() {
            if control.frozen {
                continue;
            }
            let delay = APPLY_MS * number as u64 / self.site.control_vms as u64;
            let known = self.confirmed.range(..=confirmed).rev();
            let applied = known.filter(|(_, at)| **at + delay <= self.now);
            let newest = applied.map(|(number, _)| *number).next().unwrap_or(1);
            if newest > control.newest || self.now >= control.advertise_at {
                control.apply(newest);
                control.advertise_at = self.now + ADVERTISE_MS;
                for queue in &mut control.queues {
                    queue.push_back(Frame {
                        payload: Payload::Number(control.newest),
                        bytes_left: MESSAGE_BYTES,
                    });
                }
            }
        }
    }

    /// Moves bytes over all links; each VM divides its bandwidth among the frames in transfer.
    fn transfer(&mut self) {
        let mut room = vec![step_bytes(self.site.entry_mbps); self.entry.len()];
        let mut arrived = Vec::new();
        for (number, control) in self.control.iter_mut().enumerate() {
            if control.frozen {
                continue;
            }
            let mut left = step_bytes(self.site.control_mbps);
            let mut active: Vec<_> = (0..control.queues.len()).collect();
            active.retain(|vm| !control.queues[*vm].is_empty());
            // Those that take least go first, so that what they leave is shared by the others.
            active.sort_by(|a, b| room[*a].total_cmp(&room[*b]));
            let count = active.len();
            for (position, vm) in active.into_iter().enumerate() {
                #[expect(clippy::cast_precision_loss, reason = "a few hundred VMs")]
                let mut share = (left / (count - position) as f64).min(room[vm]);
                while share > 0.0
                    && let Some(frame) = control.queues[vm].front_mut()
                {
                    let moved = share.min(frame.bytes_left);
                    share -= moved;
                    left -= moved;
                    room[vm] -= moved;
                    frame.bytes_left -= moved;
                    self.entry[vm].bytes += moved;
                    if frame.bytes_left > 0.0 {
                        break;
                    }
                    arrived.push((number, vm, frame.payload));
                    control.queues[vm].pop_front();
                }
            }
        }
        for (control, vm, payload) in arrived {
            self.receive(control, vm, payload);
        }
    }

    fn receive(&mut self, control: usize, vm: usize, payload: Payload) {
        let now = self.moment();
        match payload {
            Payload::Number(number) => {
                let same_zone = self.control[control].zone == self.entry[vm].zone;
                self.hear(vm, control, number, same_zone);
            }
            Payload::Document(number) => {
                let entry = &mut self.entry[vm];
                if number > entry.in_force && entry.decoding.is_none() {
                    entry.pull.received(&control_id(control));
                    let decode_ms = self.storm.document_bytes * DECODE_NS / 1e6;
                    let decode =
                        Duration::from_secs_f64(decode_ms / 1000.0 / self.site.entry_share);
                    entry.decoding = Some((number, (now + decode).as_millis()));
                }
            }
        }
    }

    fn hear(&mut self, vm: usize, control: usize, number: u64, same_zone: bool) {
        let from = control_id(control);
        let pull = &mut self.entry[vm].pull;
        pull.advertised(&from, ManifestNumber(number), same_zone);
        self.ask(vm);
    }

    /// Sends a request for a newer manifest, if one is due.
    fn ask(&mut self, vm: usize) {
        let now = self.moment();
        let entry = &mut self.entry[vm];
        let have = ManifestNumber(entry.in_force);
        let Some(request) = entry.pull.next_request(now, have) else {
            return;
        };
        let source = (0..self.control.len()).find(|number| control_id(*number) == request.vm);
        let control = &mut self.control[source.expect("a known VM")];
        if !control.frozen && control.newest > have.0 {
            let bytes_left = control.answer_bytes(have, self.storm.document_bytes);
            control.queues[vm].push_back(Frame {
                payload: Payload::Document(control.newest),
                bytes_left,
            });
        }
    }

    fn step_entry(&mut self) {
        for vm in 0..self.entry.len() {
            let entry = &mut self.entry[vm];
            if let Some((number, _)) = entry.decoding.filter(|(_, end)| *end <= self.now) {
                entry.decoding = None;
                entry.in_force = number;
                entry.pull.decoded();
            }
            self.ask(vm);
            if (SILENCE_MS..SILENCE_MS + STEP_MS).contains(&self.now) {
                for frozen in 0..self.site.frozen {
                    self.entry[vm].pull.disconnected(&control_id(frozen));
                }
            }
        }
    }

    /// Compares the age of the oldest confirmation that some entry VM lacks with the longest so far.
    fn measure(&mut self) {
        let oldest = self.entry.iter().map(|vm| vm.in_force).min().unwrap_or(1);
        let missing = self.confirmed.range(oldest + 1..).next();
        if let Some((_, at)) = missing {
            let age = Duration::from_millis(self.now.saturating_sub(*at));
            self.spread.longest = self.spread.longest.max(age);
        }
    }
}
