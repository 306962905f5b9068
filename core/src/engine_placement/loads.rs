//! What runs on which engine, as far as the entry VMs told each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::engine_model::{EngineProfile, as_float};
use crate::names::{ServerId, VmId};
use crate::time::Moment;

/// Part of a read that is taken to be left for as long as its first event has not come.
const OVERRUN_PART: f64 = 0.3;
/// Least time that an engine still reads to count as reading, in milliseconds.
const READING: f64 = 60.0;

/// One placement, in the whole deployment.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlacementKey {
    /// Entry VM that made it.
    pub entry: VmId,
    /// Its number there.
    pub number: u64,
}

/// A prompt on its engines.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedPrompt {
    /// Engine that writes the answer.
    pub lead: ServerId,
    /// Engines that read further parts.
    pub helpers: Vec<ServerId>,
    /// Tokens of memory that each helper sets aside for its part; 0 where the lead holds all.
    pub helper_tokens: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as far as expected.
    pub answer_tokens: u64,
    /// When the caller asked.
    pub asked: Moment,
    /// Time in which the first event is on time.
    pub ttft_objective: Duration,
    /// Longest pause that is on time.
    pub pause_objective: Duration,
}

/// The part that one engine has in a prompt.
#[derive(Clone, Debug)]
pub struct Share {
    /// Whether the engine writes the answer.
    pub leads: bool,
    /// Whether the part is not known to be read.
    pub reading: bool,
    /// Tokens of the prompt that the engine's memory holds.
    pub holds: u64,
    /// Prompt tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer, as far as expected.
    pub answer_tokens: u64,
    /// When the caller asked.
    pub asked: Moment,
    /// Time in which the first event is on time.
    pub ttft_objective: Duration,
    /// Longest pause that is on time.
    pub pause_objective: Duration,
    /// Weight of a delay here where the engine only helps: one engine of several is likely to delay
    /// them all, and is counted once for all of them.
    pub helped_part: f64,
    /// Time to read the part, in milliseconds.
    part: f64,
    /// Most of it that one pass holds, in milliseconds.
    in_pass: f64,
}

/// What one engine has to do.
#[derive(Debug, Default)]
pub struct EngineLoad {
    shares: BTreeMap<PlacementKey, Share>,
    /// When all reads are done, by prediction, in milliseconds.
    read_until: f64,
}

impl EngineLoad {
    /// Returns every share.
    pub fn shares(&self) -> impl Iterator<Item = &Share> {
        self.shares.values()
    }

    /// Returns the number of answers that the engine writes or will write.
    #[must_use]
    pub fn len(&self) -> usize {
        self.shares.values().filter(|share| share.leads).count()
    }

    /// Whether the engine has nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Returns the number of answers being written.
    #[must_use]
    pub fn writers(&self) -> usize {
        self.shares
            .values()
            .filter(|share| share.leads && !share.reading)
            .count()
    }

    /// Returns the context of the answers being written, in tokens.
    #[must_use]
    pub fn context(&self) -> u64 {
        let writing = self.shares.values().filter(|share| !share.reading);
        writing.map(|share| share.holds).sum()
    }

    /// Returns the memory promised, in tokens.
    #[must_use]
    pub fn memory(&self) -> u64 {
        let shares = self.shares.values();
        shares.map(|share| share.holds + share.answer_tokens).sum()
    }

    /// Returns the time until all reads are done, in milliseconds.
    #[must_use]
    pub fn backlog(&self, now: Moment) -> f64 {
        let reading = self.shares.values().filter(|share| share.reading);
        let overrun = reading.map(|share| share.part * OVERRUN_PART);
        let Some(overrun) = overrun.reduce(f64::max) else {
            return 0.0;
        };
        (self.read_until - as_float(now.as_millis())).max(overrun)
    }

    /// Returns how much reading the next pass holds, in milliseconds.
    #[must_use]
    pub fn read_in_pass(&self, now: Moment) -> f64 {
        let reading = self.shares.values().filter(|share| share.reading);
        let most: f64 = reading.map(|share| share.in_pass).sum();
        most.min(self.backlog(now))
    }
}

/// All placements known here.
#[derive(Debug, Default)]
pub struct EngineLoads {
    engines: BTreeMap<ServerId, EngineLoad>,
    placed: BTreeMap<PlacementKey, Vec<ServerId>>,
}

impl EngineLoads {
    /// Returns the load of an engine; `None` where nothing runs.
    #[must_use]
    pub fn load(&self, server: &ServerId) -> Option<&EngineLoad> {
        self.engines.get(server)
    }

    /// Whether an engine has more to read than a short prompt.
    #[must_use]
    pub fn is_reading(&self, now: Moment, server: &ServerId) -> bool {
        let load = self.engines.get(server);
        load.is_some_and(|load| load.backlog(now) > READING)
    }

    /// Takes in a placement; one that is known already is replaced.
    pub fn add(
        &mut self,
        now: Moment,
        key: &PlacementKey,
        profile: &EngineProfile,
        placed: &PlacedPrompt,
    ) {
        self.remove(now, key);
        let parts = placed.helpers.len() + 1;
        let part = profile.part_prefill_time(placed.prompt_tokens, parts);
        let in_pass = profile.prefill_in_pass(placed.prompt_tokens / parts as u64, part);
        let servers: Vec<_> = std::iter::once(&placed.lead)
            .chain(&placed.helpers)
            .cloned()
            .collect();
        for server in &servers {
            let load = self.engines.entry(server.clone()).or_default();
            let pass = profile.pass_time(load.writers(), load.context());
            let start = if load.shares.values().any(|share| share.reading) {
                load.read_until.max(as_float(now.as_millis()))
            } else {
                as_float(now.as_millis()) + pass / 2.0
            };
            load.read_until = start + part;
            let leads = *server == placed.lead;
            let elsewhere = placed.helper_tokens * placed.helpers.len() as u64;
            let share = Share {
                leads,
                reading: true,
                holds: if leads {
                    placed.prompt_tokens.saturating_sub(elsewhere)
                } else {
                    placed.helper_tokens
                },
                prompt_tokens: placed.prompt_tokens,
                answer_tokens: if leads { placed.answer_tokens } else { 0 },
                asked: placed.asked,
                ttft_objective: placed.ttft_objective,
                pause_objective: placed.pause_objective,
                helped_part: 1.0 / as_float(parts as u64),
                part,
                in_pass,
            };
            load.shares.insert(key.clone(), share);
        }
        self.placed.insert(key.clone(), servers);
    }

    /// Takes in that a placement's first event came: its prompt is read everywhere.
    pub fn mark_prefilled(&mut self, key: &PlacementKey) {
        let servers = self.placed.get(key).into_iter().flatten();
        for server in servers {
            let Some(load) = self.engines.get_mut(server) else {
                continue;
            };
            let done = |share: &Share| !share.leads && share.holds == 0;
            if load.shares.get(key).is_some_and(done) {
                load.shares.remove(key);
            } else if let Some(share) = load.shares.get_mut(key) {
                share.reading = false;
            }
        }
    }

    /// Forgets a placement; where it was not read, its rest of the read is taken off.
    pub fn remove(&mut self, now: Moment, key: &PlacementKey) {
        for server in self.placed.remove(key).into_iter().flatten() {
            let Some(load) = self.engines.get_mut(&server) else {
                continue;
            };
            let share = load.shares.remove(key);
            if let Some(share) = share.filter(|share| share.reading) {
                let now = as_float(now.as_millis());
                load.read_until = (load.read_until - share.in_pass).max(now);
            }
            if load.shares.is_empty() {
                self.engines.remove(&server);
            }
        }
    }

    /// Forgets every placement of an entry VM.
    pub fn remove_entry(&mut self, now: Moment, entry: &VmId) {
        let keys = self.placed.keys().filter(|key| key.entry == *entry);
        let keys: Vec<_> = keys.cloned().collect();
        for key in keys {
            self.remove(now, &key);
        }
    }

    /// Forgets an entry VM's placements that it does not name any more.
    pub fn keep_only(&mut self, now: Moment, entry: &VmId, numbers: &BTreeSet<u64>) {
        let keys = self.placed.keys().filter(|key| key.entry == *entry);
        let gone: Vec<_> = keys
            .filter(|key| !numbers.contains(&key.number))
            .cloned()
            .collect();
        for key in gone {
            self.remove(now, &key);
        }
    }
}
