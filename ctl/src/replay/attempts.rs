//! Attempts on the engines of a replay: start, engine steps, tokens, completion and release.

use std::time::Duration;

use merlinrudder_core::dispatch::message::{AttemptEnd, Grant};
use merlinrudder_core::estimate::WorkEstimate;
use merlinrudder_core::units::{AttemptId, RequestId, Tokens};
use merlinrudder_fakes::engine::model::{Sequence, SequenceKey};

use super::event_loop::{BYTES_PER_TOKEN, Event, FAILURE_DETECTION_MS, PlacementPolicy, Replay};
use super::sample_manifest::customer_name;
use super::simulated_engine::engine_number;
use super::trace::{Arrival, block_hashes};

impl Replay<'_> {
    /// Starts the attempt that the dispatcher placed, and fails it if an engine refuses.
    pub(super) fn start_granted(&mut self, grant: &Grant) {
        let index = usize::try_from(grant.request.0).unwrap_or_default();
        let servers: Vec<_> = grant
            .servers
            .iter()
            .map(|server| (engine_number(&server.id), server.memory.0))
            .collect();
        if self.start_attempt(index, &servers) {
            return;
        }
        self.fail_attempt(index, AttemptEnd::Refused, FAILURE_DETECTION_MS);
    }

    /// Starts the current attempt of a request; returns false if an engine refuses.
    ///
    /// `servers` has engine numbers and the memory to hold there, in tokens. The first engine runs
    /// the request, the others only reserve memory. If one refuses, nothing stays reserved.
    pub(super) fn start_attempt(&mut self, index: usize, servers: &[(usize, u64)]) -> bool {
        let arrival = &self.trace.arrivals[index];
        let progress = &mut self.progress[index];
        let key = SequenceKey {
            request: index.to_string(),
            attempt: progress.attempt,
        };
        if servers.iter().any(|(number, _)| self.engines[*number].dead) {
            return false;
        }
        progress.servers = servers.iter().map(|(number, _)| *number).collect();
        for (number, tokens) in &servers[1..] {
            let lease = Duration::from_hours(1);
            let held = self.engines[*number]
                .model
                .reserve(key.clone(), *tokens, lease);
            if held.is_err() {
                self.release_engines(index);
                return false;
            }
        }
        let sequence = Sequence {
            key: key.clone(),
            context_tokens: arrival.prompt_tokens + self.progress[index].generated_tokens,
            blocks: block_hashes(arrival, index),
            next_token: self.progress[index].generated_tokens,
            total_tokens: arrival.output_tokens,
            priority: self.engine_priority(arrival),
            memory_tokens: servers[0].1,
        };
        let main_engine = servers[0].0;
        if self.engines[main_engine].model.admit(sequence).is_err() {
            self.release_engines(index);
            return false;
        }
        self.request_indexes.insert(key.request, index);
        if arrival.poison {
            self.poisoned += 1;
            self.schedule(self.now_ms + 1, Event::Crash(main_engine));
        }
        self.begin_step(main_engine);
        true
    }

    /// Returns the priority by prompt length that entry VMs send; 0 under a baseline.
    pub(super) fn engine_priority(&self, arrival: &Arrival) -> u8 {
        if matches!(self.options.policy, PlacementPolicy::Baseline(_)) {
            return 0;
        }
        let prompt = Tokens(arrival.prompt_tokens);
        WorkEstimate {
            prompt,
            ..WorkEstimate::default()
        }
        .priority()
    }

    /// Begins a step, unless the engine is idle, dead or within a step.
    pub(super) fn begin_step(&mut self, number: usize) {
        let engine = &mut self.engines[number];
        if engine.step.is_some() || engine.dead || engine.model.is_idle() {
            return;
        }
        let step = engine.model.step();
        let millis = u64::try_from(step.time.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        engine.step = Some(step);
        let incarnation = engine.incarnation;
        self.schedule(self.now_ms + millis, Event::StepEnd(number, incarnation));
    }

    /// Applies the results of an engine's step and begins the next one.
    ///
    /// Ignores steps of earlier incarnations, which were lost in a crash.
    pub(super) fn end_step(&mut self, number: usize, incarnation: u64) {
        let engine = &mut self.engines[number];
        if engine.incarnation != incarnation {
            return;
        }
        let Some(step) = engine.step.take() else {
            return;
        };
        for (key, token) in step.tokens {
            if let Some(index) = self.request_indexes.get(&key.request).copied() {
                self.record_token(index, key.attempt, token);
            }
        }
        for key in step.finished {
            if let Some(index) = self.request_indexes.get(&key.request).copied() {
                self.complete_request(index);
            }
        }
        self.begin_step(number);
    }

    /// Records the output token with index `token`; ignores older attempts and ended requests.
    pub(super) fn record_token(&mut self, index: usize, attempt: u32, token: u64) {
        let at_ms = self.trace.arrivals[index].at_ms;
        let now_ms = self.now_ms;
        let progress = &mut self.progress[index];
        if progress.attempt != attempt || progress.done {
            return;
        }
        progress.generated_tokens = token + 1;
        progress
            .outcome
            .first_token_ms
            .get_or_insert(now_ms - at_ms);
        if progress.started_attempt != attempt {
            progress.started_attempt = attempt;
            let request = RequestId(index as u128);
            self.dispatcher
                .record_first_token(self.moment(), request, AttemptId(attempt));
        }
    }

    /// Ends a completed request and gives its token counts to the estimator.
    pub(super) fn complete_request(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let in_time = self.moment() <= self.deadline(index);
        let latency_ms = self.now_ms - arrival.at_ms;
        let customer = customer_name(arrival.customer);
        let bytes = usize::try_from(arrival.prompt_tokens * BYTES_PER_TOKEN).unwrap_or(usize::MAX);
        let (prompt, output) = (Tokens(arrival.prompt_tokens), Tokens(arrival.output_tokens));
        self.estimator
            .observe(&customer, &self.rule.name, bytes, prompt, output);
        self.progress[index].outcome.latency_ms = in_time.then_some(latency_ms);
        self.report_end(index, AttemptEnd::Complete);
        self.release_engines(index);
        self.end_request(index, false);
    }

    /// Cancels the current attempt on its engines and frees the memory held there.
    pub(super) fn release_engines(&mut self, index: usize) {
        let attempt = self.progress[index].attempt;
        let request = index.to_string();
        let servers = std::mem::take(&mut self.progress[index].servers);
        let need = self.memory_need(index);
        for (position, number) in servers.iter().enumerate() {
            let engine = &mut self.engines[*number];
            engine.model.cancel(&request, attempt);
            engine.model.release(&request, attempt);
            if let PlacementPolicy::Baseline(_) = self.options.policy {
                let (running, tokens) = &mut self.baseline_load[*number];
                *running = running.saturating_sub(u32::from(position == 0));
                let share = need / servers.len() as u64;
                *tokens = tokens.saturating_sub(share);
            }
        }
    }

    /// Returns the KV memory for the prompt and the longest possible output, in tokens.
    pub(super) fn memory_need(&self, index: usize) -> u64 {
        let arrival = &self.trace.arrivals[index];
        arrival.prompt_tokens + arrival.max_tokens
    }
}
