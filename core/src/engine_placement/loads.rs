//! Predicted load of each engine, from the placements that entry VMs report to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::from_millis;
use crate::capacity::learned::LearnedTable;
use crate::engine_model::{EngineProfile, as_float};
use crate::names::{ServerId, VmId};
use crate::time::Moment;

/// Fraction of a prefill that counts as outstanding until the first token arrives.
///
/// It keeps the backlog from reaching zero when a prefill takes longer than predicted.
const OVERRUN_FRACTION: f64 = 0.3;
/// Prefill backlog up to which an engine does not count as prefilling, in milliseconds.
const MIN_BACKLOG_MS: f64 = 60.0;

/// Identifies a placement in the whole deployment.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PlacementKey {
    /// Entry VM that made the placement.
    pub entry: VmId,
    /// Sequence number of the placement at that VM.
    pub number: u64,
}

/// A prompt that is placed on engines.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedPrompt {
    /// Engine that decodes the answer and prefills one part of the prompt.
    pub lead: ServerId,
    /// Engines that each prefill one further part.
    pub helpers: Vec<ServerId>,
    /// KV cache tokens reserved per helper; 0 if the lead holds the whole prompt.
    pub helper_tokens: u64,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// When the entry VM received the request.
    pub received_at: Moment,
    /// Objective for the time to first token, counted from `received_at`.
    pub ttft_objective: Duration,
    /// Objective for the longest pause between two events of the answer.
    pub pause_objective: Duration,
    /// Factor on the value of the prompt, by its rank; 1 without other ranks.
    pub weight: f64,
}

/// The part of a placed prompt that one engine processes.
#[derive(Clone, Debug)]
pub struct PromptPart {
    /// Whether the engine is the lead, which decodes the answer.
    pub leads: bool,
    /// Whether the part may still be in prefill: no token has arrived.
    pub prefilling: bool,
    /// Prompt tokens in the engine's KV cache.
    pub kv_tokens: u64,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens; 0 on a helper.
    pub answer_tokens: u64,
    /// When the entry VM received the request.
    pub received_at: Moment,
    /// Objective for the time to first token, counted from `received_at`.
    pub ttft_objective: Duration,
    /// Objective for the longest pause between two events of the answer.
    pub pause_objective: Duration,
    /// Factor on the value of the prompt, by its rank.
    pub weight: f64,
    /// Weight of a delay on a helper: 1 over the number of engines of the prompt.
    ///
    /// A delay on one of these engines is likely to delay them all, and counts once for all.
    pub delay_weight: f64,
    /// Predicted time to prefill the part, in milliseconds.
    prefill_ms: f64,
    /// Share of `prefill_ms` that fits into one pass, in milliseconds.
    in_pass: f64,
    /// When the engine is expected to have ended the answer.
    ends_at: Moment,
}

/// Prompts and answers that one engine processes.
#[derive(Debug, Default)]
pub struct EngineLoad {
    parts: BTreeMap<PlacementKey, PromptPart>,
    /// Predicted end of all prefills, in milliseconds on the clock of [`Moment`].
    prefill_end: f64,
}

impl EngineLoad {
    /// Returns the prompt parts placed on the engine.
    pub fn parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.parts.values()
    }

    /// Returns the number of answers that the engine decodes now or after prefill.
    #[must_use]
    pub fn lead_count(&self) -> usize {
        self.parts.values().filter(|part| part.leads).count()
    }

    /// Returns the number of prompts of other engines that the engine helps.
    ///
    /// A helper that holds KV cache counts until the answer ends.
    #[must_use]
    pub fn help_count(&self) -> usize {
        self.parts.values().filter(|part| !part.leads).count()
    }

    /// Returns whether nothing is placed on the engine.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of answers that the engine decodes now.
    #[must_use]
    pub fn decode_count(&self) -> usize {
        self.parts
            .values()
            .filter(|part| part.leads && !part.prefilling)
            .count()
    }

    /// Returns the prefilled context that the engine holds, in tokens.
    #[must_use]
    pub fn decode_context(&self) -> u64 {
        let prefilled = self.parts.values().filter(|part| !part.prefilling);
        prefilled.map(|part| part.kv_tokens).sum()
    }

    /// Returns the KV cache reserved for prompts and expected answers, in tokens.
    #[must_use]
    pub fn reserved_tokens(&self) -> u64 {
        let parts = self.parts.values();
        parts.map(|part| part.kv_tokens + part.answer_tokens).sum()
    }

    /// Returns the predicted time until all prefills end, in milliseconds.
    #[must_use]
    pub fn prefill_backlog(&self, now: Moment) -> f64 {
        let prefilling = self.parts.values().filter(|part| part.prefilling);
        let overrun = prefilling.map(|part| part.prefill_ms * OVERRUN_FRACTION);
        let Some(overrun) = overrun.reduce(f64::max) else {
            return 0.0;
        };
        (self.prefill_end - as_float(now.as_millis())).max(overrun)
    }

    /// Multiplies the predicted times from `now` on by a factor.
    fn rescale(&mut self, now: f64, factor: f64) {
        let left = (self.prefill_end - now).max(0.0);
        self.prefill_end = now + left * factor;
        for part in self.parts.values_mut() {
            part.prefill_ms *= factor;
            part.in_pass *= factor;
        }
    }

    /// Returns the time that prefill takes in the next pass, in milliseconds.
    #[must_use]
    pub fn prefill_in_pass(&self, now: Moment) -> f64 {
        let prefilling = self.parts.values().filter(|part| part.prefilling);
        let limit: f64 = prefilling.map(|part| part.in_pass).sum();
        limit.min(self.prefill_backlog(now))
    }
}

/// Load of all engines, from every placement known to this VM.
#[derive(Debug, Default)]
pub struct LoadTable {
    engines: BTreeMap<ServerId, EngineLoad>,
    /// Engines of each placement, the lead first.
    placed: BTreeMap<PlacementKey, Vec<ServerId>>,
    /// Placements of VMs that fell silent, by the time at which they are removed.
    lapsing: BTreeSet<(Moment, PlacementKey)>,
    /// Learned capacities, by which predicted times grow.
    learned: LearnedTable,
}

impl LoadTable {
    /// Returns the learned capacities in use.
    #[must_use]
    pub const fn learned(&self) -> &LearnedTable {
        &self.learned
    }

    /// Returns the concurrent requests that an engine takes well: its slots or its learned limit.
    #[must_use]
    pub fn usable_slots(&self, profile: &EngineProfile, server: &ServerId) -> u32 {
        self.learned.limit(server, profile.slots)
    }

    /// Uses other learned capacities; prefills in progress end sooner or later by their change.
    pub fn set_learned(&mut self, now: Moment, learned: LearnedTable) {
        let now = as_float(now.as_millis());
        for (server, load) in &mut self.engines {
            let factor = learned.pace(server) / self.learned.pace(server);
            if factor.to_bits() != 1.0_f64.to_bits() {
                load.rescale(now, factor);
            }
        }
        self.learned = learned;
    }

    /// Returns the load of an engine; `None` if nothing is placed on it.
    #[must_use]
    pub fn load(&self, server: &ServerId) -> Option<&EngineLoad> {
        self.engines.get(server)
    }

    /// Returns whether an engine has more to prefill than a short prompt.
    #[must_use]
    pub fn has_prefill_backlog(&self, now: Moment, server: &ServerId) -> bool {
        let load = self.engines.get(server);
        load.is_some_and(|load| load.prefill_backlog(now) > MIN_BACKLOG_MS)
    }

    /// Adds a placement, or replaces the one with the same key.
    pub fn add(
        &mut self,
        now: Moment,
        key: &PlacementKey,
        profile: &EngineProfile,
        placed: &PlacedPrompt,
    ) {
        self.remove(now, key);
        let parts = placed.helpers.len() + 1;
        let prefill_ms = profile.part_prefill_time(placed.prompt_tokens, parts);
        let in_pass = profile.prefill_in_pass(placed.prompt_tokens / parts as u64, prefill_ms);
        let servers: Vec<_> = std::iter::once(&placed.lead)
            .chain(&placed.helpers)
            .cloned()
            .collect();
        for server in &servers {
            let pace = self.learned.pace(server);
            let load = self.engines.entry(server.clone()).or_default();
            let pass = profile.pass_time(load.decode_count(), load.decode_context()) * pace;
            let start = if load.parts.values().any(|part| part.prefilling) {
                load.prefill_end.max(as_float(now.as_millis()))
            } else {
                as_float(now.as_millis()) + pass / 2.0
            };
            load.prefill_end = start + prefill_ms * pace;
            let answer_ms = as_float(placed.answer_tokens) / profile.pass_steps * pass;
            let ends_after = load.prefill_end - as_float(now.as_millis()) + answer_ms;
            let leads = *server == placed.lead;
            let on_helpers = placed.helper_tokens * placed.helpers.len() as u64;
            let part = PromptPart {
                leads,
                prefilling: true,
                kv_tokens: if leads {
                    placed.prompt_tokens.saturating_sub(on_helpers)
                } else {
                    placed.helper_tokens
                },
                prompt_tokens: placed.prompt_tokens,
                answer_tokens: if leads { placed.answer_tokens } else { 0 },
                received_at: placed.received_at,
                ttft_objective: placed.ttft_objective,
                pause_objective: placed.pause_objective,
                weight: placed.weight,
                delay_weight: 1.0 / as_float(parts as u64),
                prefill_ms: prefill_ms * pace,
                in_pass: in_pass * pace,
                ends_at: now + from_millis(ends_after),
            };
            load.parts.insert(key.clone(), part);
        }
        self.placed.insert(key.clone(), servers);
    }

    /// Marks a prompt as prefilled on all its engines, since its first token arrived.
    ///
    /// Helpers that hold no KV cache for the prompt are released.
    pub fn mark_prefilled(&mut self, key: &PlacementKey) {
        let servers = self.placed.get(key).into_iter().flatten();
        for server in servers {
            let Some(load) = self.engines.get_mut(server) else {
                continue;
            };
            let released = |part: &PromptPart| !part.leads && part.kv_tokens == 0;
            if load.parts.get(key).is_some_and(released) {
                load.parts.remove(key);
            } else if let Some(part) = load.parts.get_mut(key) {
                part.prefilling = false;
            }
        }
    }

    /// Removes a placement.
    ///
    /// If it was still in prefill, one pass of that prefill is deducted from the backlog.
    pub fn remove(&mut self, now: Moment, key: &PlacementKey) {
        self.lapsing.retain(|(_, lapsing)| lapsing != key);
        for server in self.placed.remove(key).into_iter().flatten() {
            let Some(load) = self.engines.get_mut(&server) else {
                continue;
            };
            let part = load.parts.remove(key);
            if let Some(part) = part.filter(|part| part.prefilling) {
                let now = as_float(now.as_millis());
                load.prefill_end = (load.prefill_end - part.in_pass).max(now);
            }
            if load.parts.is_empty() {
                self.engines.remove(&server);
            }
        }
    }

    /// Removes all placements of an entry VM.
    pub fn remove_entry(&mut self, now: Moment, entry: &VmId) {
        for key in self.keys_of(entry) {
            self.remove(now, &key);
        }
    }

    /// Keeps the placements of an entry VM that fell silent until their expected end.
    ///
    /// Its engines go on with them: they have not heard either that the VM is gone.
    pub fn lapse_entry(&mut self, now: Moment, entry: &VmId) {
        for key in self.keys_of(entry) {
            let ends_at = self.expected_end(&key).unwrap_or(now);
            self.lapsing.insert((ends_at, key));
        }
    }

    /// Removes the placements of silent VMs that are expected to have ended.
    pub fn remove_lapsed(&mut self, now: Moment) {
        while let Some((ends_at, key)) = self.lapsing.first().cloned() {
            if ends_at > now {
                return;
            }
            self.lapsing.pop_first();
            self.remove(now, &key);
        }
    }

    fn keys_of(&self, entry: &VmId) -> Vec<PlacementKey> {
        let keys = self.placed.keys().filter(|key| key.entry == *entry);
        keys.cloned().collect()
    }

    fn expected_end(&self, key: &PlacementKey) -> Option<Moment> {
        let servers = self.placed.get(key)?.iter();
        let parts = servers.filter_map(|server| self.engines.get(server)?.parts.get(key));
        parts.map(|part| part.ends_at).max()
    }

    /// Removes the placements of an entry VM whose numbers are not in `numbers`.
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
