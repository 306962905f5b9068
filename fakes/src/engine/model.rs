//! The cost model of an engine: continuous batching, chunked prefill, a prefix cache, bounded memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use merlinrudder_wire::announce::{WireCacheEvent, WireCacheEvents};
use serde::{Deserialize, Serialize};

/// Tokens of one block of the prefix cache.
const BLOCK_TOKENS: u64 = 256;
/// Changes of the cache that are kept.
const KEPT_EVENTS: usize = 4096;

/// Parameters of the cost model, at real speed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineConfig {
    /// Tokens that the memory holds.
    pub memory: u64,
    /// Requests that run side by side.
    pub slots: u32,
    /// Requests that wait inside the engine before it refuses.
    pub waiting: u32,
    /// Prompt tokens read in a second.
    pub prefill_rate: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u64,
    /// Time of one step without prefill, in milliseconds.
    pub step_ms: f64,
    /// Further time of a step for each stream in it, in milliseconds.
    pub stream_ms: f64,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            memory: 400_000,
            slots: 32,
            waiting: 8,
            prefill_rate: 50_000.0,
            chunk: 2048,
            step_ms: 15.0,
            stream_ms: 0.2,
            cache_blocks: 4096,
        }
    }
}

impl EngineConfig {
    /// Returns the tokens a second of one lone stream.
    #[must_use]
    pub fn decode_rate(&self) -> f64 {
        1000.0 / (self.step_ms + self.stream_ms)
    }
}

/// Names one attempt at one request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SequenceKey {
    /// The request.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
}

/// An attempt in the engine.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Its name.
    pub key: SequenceKey,
    /// Tokens of the prompt and of what was made before.
    pub context_tokens: u64,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// Next token to make.
    pub next_token: u64,
    /// Tokens of the whole answer.
    pub total_tokens: u64,
    /// Lower runs first.
    pub priority: u8,
    /// Tokens of memory to hold here.
    pub memory_tokens: u64,
}

#[derive(Clone, Debug)]
struct Running {
    sequence: Sequence,
    /// Context tokens still to be read.
    prefill_left: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: u64,
    /// Tokens that arrived from the engine that runs the prompt; at most `tokens`.
    imported: u64,
    expires: Duration,
}

/// Why the engine refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelRefusal {
    /// It does not fit the memory even when empty.
    TooLarge,
    /// There is no room now.
    Full,
}

/// What one step did.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Time that it takes, at real speed.
    pub time: Duration,
    /// Tokens made: whose, and their number.
    pub tokens: Vec<(SequenceKey, u64)>,
    /// Sequences whose last token was made.
    pub finished: Vec<SequenceKey>,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineModel {
    config: EngineConfig,
    running: Vec<Running>,
    waiting: VecDeque<Sequence>,
    reservations: BTreeMap<SequenceKey, Reservation>,
    /// Cached blocks, the least recently used first.
    cache: VecDeque<u64>,
    /// Changes of the cache since the start; the newest are kept.
    cache_events: VecDeque<WireCacheEvent>,
    /// Number of the next change.
    next_event: u64,
}

impl EngineModel {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(config: EngineConfig) -> Self {
        Self {
            config,
            running: Vec::new(),
            waiting: VecDeque::new(),
            reservations: BTreeMap::new(),
            cache: VecDeque::new(),
            cache_events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the tokens held for running requests and reservations.
    #[must_use]
    pub fn memory_used(&self) -> u64 {
        let running: u64 = self
            .running
            .iter()
            .map(|running| running.sequence.memory_tokens)
            .sum();
        let reserved: u64 = self.reservations.values().map(|held| held.tokens).sum();
        running + reserved
    }

    /// Returns the cached blocks.
    #[must_use]
    pub fn cached_blocks(&self) -> Vec<u64> {
        self.cache.iter().copied().collect()
    }

    /// Returns the number of the next change of the cache.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Returns the changes of the cache from `first` to before `end`, as far as they are kept.
    #[must_use]
    pub fn cache_events(&self, first: u64, end: u64) -> WireCacheEvents {
        let oldest = self.next_event - self.cache_events.len() as u64;
        let first = first.max(oldest);
        let skip = usize::try_from(first - oldest).unwrap_or(usize::MAX);
        let count = usize::try_from(end.saturating_sub(first)).unwrap_or(usize::MAX);
        let events = self
            .cache_events
            .iter()
            .skip(skip)
            .take(count)
            .copied()
            .collect();
        WireCacheEvents { first, events }
    }

    fn note_event(&mut self, event: WireCacheEvent) {
        self.next_event += 1;
        self.cache_events.push_back(event);
        if self.cache_events.len() > KEPT_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Returns all that is held: names and tokens.
    #[must_use]
    pub fn holdings(&self) -> Vec<(SequenceKey, u64)> {
        let running = self
            .running
            .iter()
            .map(|r| (r.sequence.key.clone(), r.sequence.memory_tokens));
        let waiting = self
            .waiting
            .iter()
            .map(|sequence| (sequence.key.clone(), 0));
        let reserved = self
            .reservations
            .iter()
            .map(|(key, held)| (key.clone(), held.tokens));
        running.chain(waiting).chain(reserved).collect()
    }

    /// Takes a request in.
    ///
    /// # Errors
    /// Refuses what does not fit; nothing of it ran.
    pub fn admit(&mut self, sequence: Sequence) -> Result<(), ModelRefusal> {
        if sequence.memory_tokens > self.config.memory {
            return Err(ModelRefusal::TooLarge);
        }
        if self.waiting.len() >= self.config.waiting as usize {
            return Err(ModelRefusal::Full);
        }
        self.waiting.push_back(sequence);
        self.start_waiting();
        Ok(())
    }

    /// Drops a request up to an attempt.
    pub fn cancel(&mut self, request: &str, attempt: u32) {
        let hit = |key: &SequenceKey| key.request == request && key.attempt <= attempt;
        self.running.retain(|running| !hit(&running.sequence.key));
        self.waiting.retain(|sequence| !hit(&sequence.key));
        self.start_waiting();
    }

    /// Holds memory for a request that runs on another engine.
    ///
    /// # Errors
    /// Refuses where the memory is not free.
    pub fn reserve(
        &mut self,
        key: SequenceKey,
        tokens: u64,
        expires: Duration,
    ) -> Result<(), ModelRefusal> {
        let other = self.reservations.get(&key).map_or(0, |held| held.tokens);
        if self.memory_used() - other + tokens > self.config.memory {
            return Err(ModelRefusal::Full);
        }
        self.reservations.insert(
            key,
            Reservation {
                tokens,
                imported: 0,
                expires,
            },
        );
        Ok(())
    }

    /// Takes in a piece of a prompt's KV cache.
    ///
    /// # Errors
    /// Refuses what was not reserved.
    pub fn import(&mut self, key: &SequenceKey, tokens: u64) -> Result<(), ModelRefusal> {
        let held = self.reservations.get_mut(key).ok_or(ModelRefusal::Full)?;
        if held.imported + tokens > held.tokens {
            return Err(ModelRefusal::TooLarge);
        }
        held.imported += tokens;
        Ok(())
    }

    /// Returns the tokens of a prompt's KV cache that are held here.
    #[must_use]
    pub fn exported(&self, key: &SequenceKey) -> u64 {
        let running = self
            .running
            .iter()
            .find(|running| running.sequence.key == *key);
        let computed = running.map_or(0, |r| r.sequence.context_tokens - r.prefill_left);
        computed + self.reservations.get(key).map_or(0, |held| held.imported)
    }

    /// Frees what was reserved for a request up to an attempt.
    pub fn release(&mut self, request: &str, attempt: u32) {
        self.reservations
            .retain(|key, _| key.request != request || key.attempt > attempt);
        self.start_waiting();
    }

    /// Frees reservations whose lease ended.
    pub fn expire(&mut self, now: Duration) {
        self.reservations.retain(|_, held| held.expires > now);
    }

    /// Does one step: one token for each stream, and one chunk of prefill.
    pub fn step(&mut self) -> Step {
        let mut step = Step::default();
        let prefilled = self.prefill();
        let mut streams = 0;
        for running in self
            .running
            .iter_mut()
            .filter(|running| running.prefill_left == 0)
        {
            streams += 1;
            let sequence = &mut running.sequence;
            step.tokens
                .push((sequence.key.clone(), sequence.next_token));
            sequence.next_token += 1;
            if sequence.next_token >= sequence.total_tokens {
                step.finished.push(sequence.key.clone());
            }
        }
        self.running
            .retain(|running| running.sequence.next_token < running.sequence.total_tokens);
        step.time = self.step_time(prefilled, streams);
        self.start_waiting();
        step
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts stay far below 2^52"
    )]
    fn step_time(&self, prefilled: u64, streams: u32) -> Duration {
        let prefill = prefilled as f64 / self.config.prefill_rate;
        let fixed = self.config.step_ms + self.config.stream_ms * f64::from(streams);
        Duration::try_from_secs_f64(prefill + fixed / 1000.0).unwrap_or_default()
    }

    /// Reads one chunk of prompts, by priority and then in order of arrival.
    fn prefill(&mut self) -> u64 {
        let mut budget = self.config.chunk;
        let mut order: Vec<_> = (0..self.running.len()).collect();
        order.sort_by_key(|index| self.running[*index].sequence.priority);
        for index in order {
            let running = &mut self.running[index];
            let read = running.prefill_left.min(budget);
            running.prefill_left -= read;
            budget -= read;
            if read > 0 && running.prefill_left == 0 {
                let blocks = running.sequence.blocks.clone();
                self.remember(&blocks);
            }
        }
        self.config.chunk - budget
    }

    fn start_waiting(&mut self) {
        while self.running() < self.config.slots {
            let free = self.config.memory.saturating_sub(self.memory_used());
            let fits = |sequence: &&Sequence| sequence.memory_tokens <= free;
            let next = self
                .waiting
                .iter()
                .filter(fits)
                .map(|sequence| sequence.priority)
                .min();
            let position = self.waiting.iter().position(|sequence| {
                Some(sequence.priority) == next && sequence.memory_tokens <= free
            });
            let Some(sequence) = position.and_then(|position| self.waiting.remove(position)) else {
                return;
            };
            let cached = self.cached_tokens(&sequence.blocks);
            // The last token of a prompt is always read anew.
            let prefill_left = sequence.context_tokens.saturating_sub(cached).max(1);
            self.running.push(Running {
                sequence,
                prefill_left,
            });
        }
    }

    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|block| self.cache.contains(block))
            .count();
        cached as u64 * BLOCK_TOKENS
    }

    fn remember(&mut self, blocks: &[u64]) {
        for block in blocks {
            let before = self.cache.len();
            self.cache.retain(|cached| cached != block);
            self.cache.push_back(*block);
            if self.cache.len() > before {
                self.note_event(WireCacheEvent::Added(*block));
            }
        }
        while self.cache.len() > self.config.cache_blocks {
            if let Some(block) = self.cache.pop_front() {
                self.note_event(WireCacheEvent::Removed(block));
            }
        }
    }
}
