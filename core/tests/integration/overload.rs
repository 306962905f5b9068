//! A burst of short prompts that needs more slots than the engines have.

use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::rank::ServiceRanks;

use crate::fleets::profile;
use crate::util::burst_sim::{BurstSim, Load, Outcome, Record, SHORT_KIND};
use crate::util::learning_sim::EntryVms;

/// Length of the calm before and after the burst, in milliseconds.
const CALM_MS: u64 = 4_000;
/// Length of the burst, in milliseconds.
const BURST_MS: u64 = 9_500;
/// Time after the burst from which callers are served as before it, in milliseconds.
const RECOVERY_MS: u64 = 1_000;

/// Returns a burst before 24 engines of 12 slots, which serve about 115 such prompts a second.
fn short_burst() -> Load {
    Load {
        engines: 24,
        profile: EngineProfile {
            slots: 12,
            kv_capacity: 197_200,
            pass_steps: 48.0,
            ..profile()
        },
        kinds: vec![SHORT_KIND],
        phases: vec![
            (CALM_MS, vec![40.0]),
            (BURST_MS, vec![160.0]),
            (CALM_MS, vec![40.0]),
        ],
        troubles: Vec::new(),
        entry_vms: EntryVms::default(),
        knee: None,
        ranks: ServiceRanks::default(),
    }
}

/// Returns how many of the prompts that came in a span of time were in time.
fn in_time(records: &[Record], from: u64, to: u64) -> f64 {
    let came = |record: &&Record| (from..to).contains(&record.came_at);
    let count = |n: usize| f64::from(u32::try_from(n).expect("a small count"));
    let all = records.iter().filter(came).count();
    let hits = records.iter().filter(came);
    let hits = hits.filter(|record| record.outcome == Outcome::InTime);
    count(hits.count()) / count(all)
}

/// Guards against an overload that goes on after its cause has ended.
#[test]
fn callers_are_served_as_before_a_second_after_a_burst_beyond_all_slots() {
    let after = CALM_MS + BURST_MS + RECOVERY_MS;
    for seed in 0..3 {
        let records = BurstSim::new(short_burst(), seed).run();
        let calm = in_time(&records, 0, CALM_MS);
        let recovered = in_time(&records, after, after + CALM_MS);
        assert!(
            recovered >= calm - 0.01,
            "seed {seed}: {recovered:.3} after, {calm:.3} before"
        );
    }
}
