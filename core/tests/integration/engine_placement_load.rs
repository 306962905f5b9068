//! Bursts played against many entry VMs, each of which hears of the others' placements late.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;

use crate::fleets::{ask, fleet, profile, service};

const ENGINES: u16 = 60;
const SLOTS: u32 = 12;
const ENTRIES: usize = 60;
/// Time after which an entry VM knows what another one placed.
const NEWS_MS: u64 = 40;
/// Time to read a short prompt, and to write its answer.
const READ_MS: u64 = 100;
const WRITE_MS: u64 = 2_400;

/// What one entry VM hears of a placement, its own ones at once.
enum News {
    Placed(PlacedPrompt),
    FirstEvent,
    Ended,
}

struct Burst {
    entries: Vec<Fleet>,
    news: BTreeMap<u64, Vec<(usize, PlacementKey, News)>>,
    running: BTreeMap<ServerId, u32>,
    ends: BTreeMap<u64, Vec<ServerId>>,
    profile: EngineProfile,
    rng: Rng,
}

impl Burst {
    fn new(seed: u64) -> Self {
        Self {
            entries: (0..ENTRIES).map(|_| fleet(ENGINES)).collect(),
            news: BTreeMap::new(),
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            profile: EngineProfile {
                slots: SLOTS,
                ..profile()
            },
            rng: Rng::with_seed(seed),
        }
    }

    /// Lets a millisecond pass: answers end, and news arrive.
    fn pass(&mut self, now: u64) {
        for server in self.ends.remove(&now).into_iter().flatten() {
            *self.running.entry(server).or_default() -= 1;
        }
        let moment = Moment::from_millis(now);
        for (entry, key, news) in self.news.remove(&now).into_iter().flatten() {
            let loads = &mut self.entries[entry].loads;
            match news {
                News::Placed(placed) => loads.add(moment, &key, &self.profile, &placed),
                News::FirstEvent => loads.mark_prefilled(&key),
                News::Ended => loads.remove(moment, &key),
            }
        }
    }

    fn tell(&mut self, from: usize, at: u64, key: &PlacementKey, news: impl Fn() -> News) {
        for entry in 0..ENTRIES {
            let delay = if entry == from { 1 } else { NEWS_MS };
            let told = self.news.entry(at + delay).or_default();
            told.push((entry, key.clone(), news()));
        }
    }

    /// Places a short prompt at one of the entry VMs; returns whether a slot was free.
    fn place(&mut self, now: u64, number: u64) -> bool {
        let entry = self.rng.usize(..ENTRIES);
        let mut ask = ask(self.rng.u64(500..8_000), 300, 250);
        ask.random_seed = self.rng.u64(..);
        let moment = Moment::from_millis(now);
        let fleet = &self.entries[entry];
        let chosen = fleet.choose_engines(moment, &service(), &self.profile, &ask, &[]);
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
            prompt_tokens: ask.prompt_tokens,
            answer_tokens: ask.answer_tokens,
            asked: moment,
            ttft_objective: ask.ttft_objective,
            pause_objective: ask.pause_objective,
        };
        self.tell(entry, now, &key, || News::Placed(placed.clone()));
        self.tell(entry, now + READ_MS, &key, || News::FirstEvent);
        let end = now + READ_MS + WRITE_MS;
        self.tell(entry, end, &key, || News::Ended);
        self.ends.entry(end).or_default().push(lead.clone());
        let running = self.running.entry(lead).or_default();
        *running += 1;
        *running <= SLOTS
    }
}

/// A burst of shorts fills five in six of all slots: while that many are free, no engine may be
/// crowded because every entry VM took it for the best one at the same moment.
#[test]
fn a_burst_of_shorts_finds_free_slots_though_news_come_late() {
    for seed in 0..3 {
        let mut burst = Burst::new(seed);
        let (mut placed, mut found) = (0, 0);
        for now in 1..6_000 {
            burst.pass(now);
            if burst.rng.u64(..1000) < 240 {
                placed += 1;
                found += u32::from(burst.place(now, now));
            }
        }
        // Nineteen in twenty shorts are to be in time, and one that waits for a slot is not.
        assert!(
            found * 20 >= placed * 19,
            "seed {seed}: {found} of {placed}"
        );
    }
}

/// The draw only decides between engines that are nearly as good as each other.
#[test]
fn no_draw_sends_a_short_behind_a_long_read() {
    let mut entry = fleet(20);
    let long = ask(130_000, 3000, 1000);
    let now = Moment::default();
    let (first, _) = crate::fleets::place(&mut entry, now, 1, &long);
    for draw in 0..200 {
        let mut short = ask(3_000, 300, 250);
        short.random_seed = draw;
        let later = Moment::from_millis(20);
        let chosen = entry.choose_engines(later, &service(), &profile(), &short, &[]);
        let (placement, _) = chosen.expect("an engine");
        let reading: Vec<_> = first.helpers.iter().chain([&first.lead]).collect();
        assert!(!reading.contains(&&placement.lead), "draw {draw}");
        assert!(
            placement.predicted_ttft < Duration::from_millis(300),
            "draw {draw}"
        );
    }
}
