//! The cost model of an engine, which simulates the time of steps without computing anything.
//!
//! It models continuous batching, chunked prefill, a prefix cache and bounded KV memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use merlinrudder_wire::announce::{WireCacheEvent, WireCacheEvents};
use serde::{Deserialize, Serialize};

/// Tokens of one block of the prefix cache, as in the dispatcher.
const BLOCK_TOKENS: u64 = 256;
/// Maximum number of cache events that are kept to be announced.
const MAX_CACHE_EVENTS: usize = 4096;

/// Parameters of the cost model, at real speed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineConfig {
    /// KV memory capacity, in tokens.
    pub memory: u64,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of requests that wait inside the engine; beyond that it refuses.
    pub waiting: u32,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens prefilled in one step, over all requests.
    pub chunk: u64,
    /// Time of a step besides prefill and streams, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step per decoding stream, in milliseconds.
    pub stream_ms: f64,
    /// Capacity of the prefix cache, in blocks.
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
    /// Returns the tokens per second of a stream that runs alone.
    #[must_use]
    pub fn decode_rate(&self) -> f64 {
        1000.0 / (self.step_ms + self.stream_ms)
    }
}

/// Identifies one attempt of one request; attempts are ordered by number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SequenceKey {
    /// Request id that the system assigned.
    pub request: String,
    /// Attempt number within the request.
    pub attempt: u32,
}

/// The work of one attempt.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Request and attempt that it belongs to.
    pub key: SequenceKey,
    /// Tokens to prefill: the prompt and what earlier attempts generated.
    pub context_tokens: u64,
    /// Hashes of the prompt's leading prefix cache blocks.
    pub blocks: Vec<u64>,
    /// Index of the next token to generate.
    pub next_token: u64,
    /// Tokens of the complete output, including those of earlier attempts.
    pub total_tokens: u64,
    /// Scheduling priority; lower values run first.
    pub priority: u8,
    /// KV memory to hold at this engine, in tokens.
    pub memory_tokens: u64,
}

#[derive(Clone, Debug)]
struct Running {
    sequence: Sequence,
    /// Context tokens that are still to be prefilled.
    prefill_left: u64,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    tokens: u64,
    /// Tokens imported from the engine that runs the prompt; at most `tokens`.
    imported: u64,
    /// End of the lease, as time since the engine's start.
    expires: Duration,
}

/// Reason why the engine refuses a sequence, a reservation or an import.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelRefusal {
    /// It exceeds the memory, or an import exceeds its reservation.
    TooLarge,
    /// The queue or memory is full, or an import has no reservation.
    Full,
}

/// Result of one step of the batch.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Duration of the step, at real speed.
    pub time: Duration,
    /// Generated tokens: the sequence and the token's index.
    pub tokens: Vec<(SequenceKey, u64)>,
    /// Sequences whose last token was generated.
    pub finished: Vec<SequenceKey>,
}

/// State of the cost model; `step` advances it, and the caller keeps the clock.
#[derive(Debug)]
pub struct EngineModel {
    config: EngineConfig,
    running: Vec<Running>,
    waiting: VecDeque<Sequence>,
    reservations: BTreeMap<SequenceKey, Reservation>,
    /// Hashes of the cached blocks, the least recently used first.
    cache: VecDeque<u64>,
    /// The newest cache events, oldest first.
    cache_events: VecDeque<WireCacheEvent>,
    /// Number of the next cache event, counted from the engine's start.
    next_event: u64,
}

impl EngineModel {
    /// Creates an idle engine with an empty prefix cache.
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

    /// Returns the number of running requests, in prefill or decode.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that wait for a slot or for memory.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether no request runs or waits; reservations do not count.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the memory held for running requests and reservations, in tokens.
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

    /// Returns the hashes of the cached blocks, the least recently used first.
    #[must_use]
    pub fn cached_blocks(&self) -> Vec<u64> {
        self.cache.iter().copied().collect()
    }

    /// Returns the number that the next cache event will get.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// Returns the cache events from `first` to before `end`, as far as they are kept.
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

    fn record_event(&mut self, event: WireCacheEvent) {
        self.next_event += 1;
        self.cache_events.push_back(event);
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    /// Returns all requests and reservations with their memory in tokens, 0 if waiting.
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

    /// Queues a request, and starts it if a slot and memory are free.
    ///
    /// # Errors
    /// Refuses a request that exceeds the memory or the queue; nothing of it was executed.
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

    /// Drops all attempts of a request up to and including `attempt`.
    pub fn cancel(&mut self, request: &str, attempt: u32) {
        let affected = |key: &SequenceKey| key.request == request && key.attempt <= attempt;
        self.running
            .retain(|running| !affected(&running.sequence.key));
        self.waiting.retain(|sequence| !affected(&sequence.key));
        self.start_waiting();
    }

    /// Reserves memory for a request that runs on another engine, or replaces its reservation.
    ///
    /// `expires` is the end of the lease, on the clock that `expire` is given.
    ///
    /// # Errors
    /// Refuses with `Full` if the memory is not free.
    pub fn reserve(
        &mut self,
        key: SequenceKey,
        tokens: u64,
        expires: Duration,
    ) -> Result<(), ModelRefusal> {
        let replaced = self.reservations.get(&key).map_or(0, |held| held.tokens);
        if self.memory_used() - replaced + tokens > self.config.memory {
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

    /// Adds a chunk of a prompt's KV cache to its reservation.
    ///
    /// # Errors
    /// Refuses with `Full` without a reservation, and with `TooLarge` beyond its size.
    pub fn import_kv(&mut self, key: &SequenceKey, tokens: u64) -> Result<(), ModelRefusal> {
        let held = self.reservations.get_mut(key).ok_or(ModelRefusal::Full)?;
        if held.imported + tokens > held.tokens {
            return Err(ModelRefusal::TooLarge);
        }
        held.imported += tokens;
        Ok(())
    }

    /// Returns the tokens of an attempt's KV cache that are computed or imported here.
    #[must_use]
    pub fn held_kv_tokens(&self, key: &SequenceKey) -> u64 {
        let running = self
            .running
            .iter()
            .find(|running| running.sequence.key == *key);
        let computed = running.map_or(0, |r| r.sequence.context_tokens - r.prefill_left);
        computed + self.reservations.get(key).map_or(0, |held| held.imported)
    }

    /// Frees the reservations of a request's attempts up to and including `attempt`.
    pub fn release(&mut self, request: &str, attempt: u32) {
        self.reservations
            .retain(|key, _| key.request != request || key.attempt > attempt);
        self.start_waiting();
    }

    /// Frees the reservations whose lease has ended at `now`.
    pub fn expire(&mut self, now: Duration) {
        self.reservations.retain(|_, held| held.expires > now);
    }

    /// Runs one step: one chunk of prefill, then one token for each prefilled sequence.
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

    /// Prefills one chunk, by priority and then by start order; returns its tokens.
    fn prefill(&mut self) -> u64 {
        let mut budget = self.config.chunk;
        let mut order: Vec<_> = (0..self.running.len()).collect();
        order.sort_by_key(|index| self.running[*index].sequence.priority);
        for index in order {
            let running = &mut self.running[index];
            let prefilled = running.prefill_left.min(budget);
            running.prefill_left -= prefilled;
            budget -= prefilled;
            if prefilled > 0 && running.prefill_left == 0 {
                let blocks = running.sequence.blocks.clone();
                self.touch_blocks(&blocks);
            }
        }
        self.config.chunk - budget
    }

    /// Starts waiting requests that fit, by priority and then in order of arrival.
    fn start_waiting(&mut self) {
        while self.running() < self.config.slots {
            let free = self.config.memory.saturating_sub(self.memory_used());
            let fits = |sequence: &&Sequence| sequence.memory_tokens <= free;
            let top_priority = self
                .waiting
                .iter()
                .filter(fits)
                .map(|sequence| sequence.priority)
                .min();
            let position = self.waiting.iter().position(|sequence| {
                Some(sequence.priority) == top_priority && sequence.memory_tokens <= free
            });
            let Some(sequence) = position.and_then(|position| self.waiting.remove(position)) else {
                return;
            };
            let cached = self.cached_tokens(&sequence.blocks);
            // The last token of a prompt is always computed, even if its block is cached.
            let prefill_left = sequence.context_tokens.saturating_sub(cached).max(1);
            self.running.push(Running {
                sequence,
                prefill_left,
            });
        }
    }

    /// Returns the tokens of the longest cached prefix.
    fn cached_tokens(&self, blocks: &[u64]) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|block| self.cache.contains(block))
            .count();
        cached as u64 * BLOCK_TOKENS
    }

    /// Marks blocks as most recently used, adds missing ones, and evicts beyond the capacity.
    fn touch_blocks(&mut self, blocks: &[u64]) {
        for block in blocks {
            let before = self.cache.len();
            self.cache.retain(|cached| cached != block);
            self.cache.push_back(*block);
            if self.cache.len() > before {
                self.record_event(WireCacheEvent::Added(*block));
            }
        }
        while self.cache.len() > self.config.cache_blocks {
            if let Some(block) = self.cache.pop_front() {
                self.record_event(WireCacheEvent::Removed(block));
            }
        }
    }
}
