//! Bursts of short prompts at many entry VMs, which learn of each other's placements late.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;

use crate::fleets::{fleet, placement_request, profile, service};

const ENGINES: u16 = 60;
const SLOTS: u32 = 12;
const ENTRY_VMS: usize = 60;
/// Delay after which an entry VM learns what another one placed.
const REPORT_DELAY_MS: u64 = 40;
/// Prefill time of a short prompt.
const PREFILL_MS: u64 = 100;
/// Decode time of its answer.
const DECODE_MS: u64 = 2_400;

/// A change of a placement, as entry VMs report it to each other.
enum Report {
    Placed(PlacedPrompt),
    FirstEvent,
    Ended,
}

/// Entry VMs that place prompts on simulated engines.
struct Burst {
    entry_vms: Vec<Fleet>,
    /// Reports by the millisecond of their arrival, each with the index of the receiver.
    reports: BTreeMap<u64, Vec<(usize, PlacementKey, Report)>>,
    /// Requests on each engine at present.
    running: BTreeMap<ServerId, u32>,
    /// Engines whose answers end, by millisecond.
    ends: BTreeMap<u64, Vec<ServerId>>,
    profile: EngineProfile,
    rng: Rng,
}

impl Burst {
    fn new(seed: u64) -> Self {
        Self {
            entry_vms: (0..ENTRY_VMS).map(|_| fleet(ENGINES)).collect(),
            reports: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            profile: EngineProfile {
                slots: SLOTS,
                ..profile()
            },
            rng: Rng::with_seed(seed),
        }
    }

    /// Advances to millisecond `now`: answers end, and reports arrive.
    fn advance(&mut self, now: u64) {
        for server in self.ends.remove(&now).into_iter().flatten() {
            *self.running.entry(server).or_default() -= 1;
        }
        let moment = Moment::from_millis(now);
        for (entry, key, report) in self.reports.remove(&now).into_iter().flatten() {
            let loads = &mut self.entry_vms[entry].loads;
            match report {
                Report::Placed(placed) => loads.add(moment, &key, &self.profile, &placed),
                Report::FirstEvent => loads.mark_prefilled(&key),
                Report::Ended => loads.remove(moment, &key),
            }
        }
    }

    /// Delivers a report of entry VM `from` to all entry VMs, to itself after one millisecond.
    fn report(&mut self, from: usize, at: u64, key: &PlacementKey, report: impl Fn() -> Report) {
        for entry in 0..ENTRY_VMS {
            let delay = if entry == from { 1 } else { REPORT_DELAY_MS };
            let delivered = self.reports.entry(at + delay).or_default();
            delivered.push((entry, key.clone(), report()));
        }
    }

    /// Places a short prompt at one of the entry VMs; returns whether a slot was free.
    fn place(&mut self, now: u64, number: u64) -> bool {
        let entry = self.rng.usize(..ENTRY_VMS);
        let mut request = placement_request(self.rng.u64(500..8_000), 300, 250);
        request.random_seed = self.rng.u64(..);
        let moment = Moment::from_millis(now);
        let fleet = &self.entry_vms[entry];
        let chosen = fleet.choose_engines(moment, &service(), &self.profile, &request, &[]);
        let (placement, _) = chosen.expect("an engine");
        let lead = placement.lead.clone();
        let key = PlacementKey {
            entry: VmId::from(format!("entry-{entry}")),
            number,
        };
        let placed = PlacedPrompt {
            lead: lead.clone(),
            helpers: placement.helpers,
            helper_tokens: placement.helper_tokens,
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            received_at: moment,
            ttft_objective: request.ttft_objective,
            pause_objective: request.pause_objective,
            weight: request.weight,
        };
        self.report(entry, now, &key, || Report::Placed(placed.clone()));
        self.report(entry, now + PREFILL_MS, &key, || Report::FirstEvent);
        let end = now + PREFILL_MS + DECODE_MS;
        self.report(entry, end, &key, || Report::Ended);
        self.ends.entry(end).or_default().push(lead.clone());
        let running = self.running.entry(lead).or_default();
        *running += 1;
        *running <= SLOTS
    }
}

/// Guards against overfilled engines while other engines still have free slots.
///
/// Without a random share in the load of each engine, all entry VMs pick the same one at the same
/// moment. The burst fills five sixths of all slots.
#[test]
fn a_burst_of_short_prompts_finds_free_slots_despite_late_reports() {
    for seed in 0..3 {
        let mut burst = Burst::new(seed);
        let (mut placed, mut found) = (0, 0);
        for now in 1..6_000 {
            burst.advance(now);
            if burst.rng.u64(..1000) < 240 {
                placed += 1;
                found += u32::from(burst.place(now, now));
            }
        }
        // 95% of short prompts must be on time; one that waits for a slot is late.
        assert!(
            found * 20 >= placed * 19,
            "seed {seed}: {found} of {placed}"
        );
    }
}

/// The random seed only decides between engines that are nearly equally good.
#[test]
fn no_random_seed_queues_a_short_prompt_behind_a_long_prefill() {
    let mut entry = fleet(20);
    let long = placement_request(130_000, 3000, 1000);
    let now = Moment::default();
    let (first, _) = crate::fleets::place(&mut entry, now, 1, &long);
    for seed in 0..200 {
        let mut short = placement_request(3_000, 300, 250);
        short.random_seed = seed;
        let later = Moment::from_millis(20);
        let chosen = entry.choose_engines(later, &service(), &profile(), &short, &[]);
        let (placement, _) = chosen.expect("an engine");
        let prefilling: Vec<_> = first.helpers.iter().chain([&first.lead]).collect();
        assert!(!prefilling.contains(&&placement.lead), "seed {seed}");
        assert!(
            placement.predicted_ttft < Duration::from_millis(300),
            "seed {seed}"
        );
    }
}
