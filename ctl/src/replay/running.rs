//! Requests on the engines of a replay: start, steps, tokens, end.

use std::time::Duration;

use merlinrudder_core::dispatch::message::{AttemptEnd, Grant};
use merlinrudder_core::estimate::WorkEstimate;
use merlinrudder_core::units::{AttemptId, RequestId, Tokens};
use merlinrudder_fakes::engine::model::{Sequence, SequenceKey};

use super::fleet::server_number;
use super::run::{Event, NOTICE_MS, PlacementPolicy, Replay, TOKEN_BYTES};
use super::sample_manifest::customer_name;
use super::trace::{Arrival, blocks};

impl Replay<'_> {
    pub(super) fn run(&mut self, grant: &Grant) {
        let index = usize::try_from(grant.request.0).unwrap_or_default();
        let servers: Vec<_> = grant
            .servers
            .iter()
            .map(|server| (server_number(&server.id), server.memory.0))
            .collect();
        if self.start(index, &servers) {
            return;
        }
        self.fail(index, AttemptEnd::Refused, NOTICE_MS);
    }

    /// Starts a request on engines; the first runs it, the others hold memory.
    pub(super) fn start(&mut self, index: usize, servers: &[(usize, u64)]) -> bool {
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
                self.release(index);
                return false;
            }
        }
        let sequence = Sequence {
            key: key.clone(),
            context_tokens: arrival.prompt_tokens + self.progress[index].tokens,
            blocks: blocks(arrival, index),
            next_token: self.progress[index].tokens,
            total_tokens: arrival.output_tokens,
            priority: self.priority(arrival),
            memory_tokens: servers[0].1,
        };
        let first = servers[0].0;
        if self.engines[first].model.admit(sequence).is_err() {
            self.release(index);
            return false;
        }
        self.by_key.insert(key.request, index);
        if arrival.poison {
            self.poisoned += 1;
            self.schedule(self.now + 1, Event::Die(first));
        }
        self.begin_step(first);
        true
    }

    /// Entries give engines a priority by length; a baseline knows none.
    pub(super) fn priority(&self, arrival: &Arrival) -> u8 {
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
        self.schedule(self.now + millis, Event::StepEnd(number, incarnation));
    }

    pub(super) fn end_step(&mut self, number: usize, incarnation: u64) {
        let engine = &mut self.engines[number];
        if engine.incarnation != incarnation {
            return;
        }
        let Some(step) = engine.step.take() else {
            return;
        };
        for (key, token) in step.tokens {
            if let Some(index) = self.by_key.get(&key.request).copied() {
                self.token(index, key.attempt, token);
            }
        }
        for key in step.finished {
            if let Some(index) = self.by_key.get(&key.request).copied() {
                self.finish(index);
            }
        }
        self.begin_step(number);
    }

    pub(super) fn token(&mut self, index: usize, attempt: u32, token: u64) {
        let at = self.trace.arrivals[index].at_ms;
        let now = self.now;
        let progress = &mut self.progress[index];
        if progress.attempt != attempt || progress.done {
            return;
        }
        progress.tokens = token + 1;
        progress.ended.first_ms.get_or_insert(now - at);
        if progress.started != attempt {
            progress.started = attempt;
            let request = RequestId(index as u128);
            self.dispatcher
                .record_first_token(self.moment(), request, AttemptId(attempt));
        }
    }

    pub(super) fn finish(&mut self, index: usize) {
        let arrival = &self.trace.arrivals[index];
        let in_time = self.moment() <= self.deadline(index);
        let total = self.now - arrival.at_ms;
        let customer = customer_name(arrival.customer);
        let bytes = usize::try_from(arrival.prompt_tokens * TOKEN_BYTES).unwrap_or(usize::MAX);
        let (prompt, output) = (Tokens(arrival.prompt_tokens), Tokens(arrival.output_tokens));
        self.estimator
            .observe(&customer, &self.rule.name, bytes, prompt, output);
        self.progress[index].ended.whole_ms = in_time.then_some(total);
        self.tell(index, AttemptEnd::Complete);
        self.release(index);
        self.end(index, false);
    }

    /// Frees all that a request holds.
    pub(super) fn release(&mut self, index: usize) {
        let attempt = self.progress[index].attempt;
        let request = index.to_string();
        let servers = std::mem::take(&mut self.progress[index].servers);
        let need = self.need(index);
        for (place, number) in servers.iter().enumerate() {
            let engine = &mut self.engines[*number];
            engine.model.cancel(&request, attempt);
            engine.model.release(&request, attempt);
            if let PlacementPolicy::Baseline(_) = self.options.policy {
                let (running, tokens) = &mut self.promised[*number];
                *running = running.saturating_sub(u32::from(place == 0));
                let share = need / servers.len() as u64;
                *tokens = tokens.saturating_sub(share);
            }
        }
    }

    pub(super) fn need(&self, index: usize) -> u64 {
        let arrival = &self.trace.arrivals[index];
        arrival.prompt_tokens + arrival.max_tokens
    }
}
