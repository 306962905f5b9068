//! Simulated engine that works in passes: it decodes for all writers and prefills what waits.

use merlinrudder_core::engine_model::{EngineProfile, as_float};

/// Identifies a request of the simulation.
pub type JobId = usize;

/// A part of a prompt that an engine prefills.
#[derive(Clone, Debug)]
pub struct Part {
    pub job: JobId,
    /// Whether the engine writes the answer as well.
    pub leads: bool,
    /// Scheduling priority; 0 is first.
    pub priority: u8,
    /// Tokens of KV cache that the part takes here.
    pub kv_tokens: u64,
    /// Tokens of the answer, for the KV cache; 0 on a helper.
    pub answer_tokens: u64,
    /// Prompt tokens left to prefill.
    pub tokens_left: f64,
    /// Prefill time per token, in milliseconds.
    pub token_ms: f64,
    /// Sequence number of the arrival.
    pub arrival: u64,
}

/// An answer that is being written.
#[derive(Clone, Debug)]
struct Writer {
    job: JobId,
    context: u64,
}

/// What happened at the end of a pass.
#[derive(Debug, Default)]
pub struct PassResult {
    /// Jobs whose part here is prefilled.
    pub prefilled: Vec<JobId>,
    /// Jobs that got an event.
    pub events: Vec<JobId>,
}

/// One engine.
#[derive(Debug, Default)]
pub struct SimEngine {
    /// Leads that wait for a slot or for KV cache.
    waiting: Vec<Part>,
    /// Parts that are being prefilled, helpers first, then by priority and arrival.
    prefilling: Vec<Part>,
    writers: Vec<Writer>,
    /// Jobs of other engines that have a part here, until they end.
    helped: Vec<JobId>,
    /// KV cache in use, by job.
    held: Vec<(JobId, u64)>,
    /// Leads that are prefilled here and wait for their helpers.
    joining: Vec<JobId>,
    /// End of the current pass in milliseconds; `None` while idle.
    pass_end: Option<f64>,
    /// Tokens that each prefilling part gets in the current pass, in their order.
    granted: Vec<(JobId, f64)>,
    /// Jobs that get an event at the end of the current pass.
    writing: Vec<JobId>,
    /// Factor on the time of each pass; 0 counts as 1.
    pub pace: f64,
    /// Answers at once from which on its passes take the given factor longer; `None` if none do.
    pub knee: Option<(usize, f64)>,
}

impl SimEngine {
    /// Adds a part; a lead waits until a slot and KV cache are free.
    pub fn add(&mut self, part: Part) {
        if part.leads {
            self.waiting.push(part);
            self.waiting.sort_by_key(|p| (p.priority, p.arrival));
        } else {
            self.held.push((part.job, part.kv_tokens));
            self.helped.push(part.job);
            self.prefilling.push(part);
            self.sort_prefilling();
        }
    }

    /// Starts to write the answer of a lead whose parts are all prefilled.
    pub fn write(&mut self, job: JobId, context: u64) {
        self.joining.retain(|joining| *joining != job);
        self.writers.push(Writer { job, context });
    }

    /// Drops all that the engine holds for a job.
    pub fn drop_job(&mut self, job: JobId) {
        self.waiting.retain(|part| part.job != job);
        self.prefilling.retain(|part| part.job != job);
        self.writers.retain(|writer| writer.job != job);
        self.held.retain(|(held, _)| *held != job);
        self.helped.retain(|helped| *helped != job);
        self.joining.retain(|joining| *joining != job);
        self.granted.retain(|(granted, _)| *granted != job);
        self.writing.retain(|writing| *writing != job);
    }

    /// Returns how many jobs of other engines the engine helps, or holds KV cache for.
    pub fn helps(&self) -> usize {
        self.helped.len()
    }

    /// Returns the jobs that the engine works on or keeps waiting.
    pub fn jobs(&self) -> Vec<JobId> {
        let waiting = self.waiting.iter().map(|part| part.job);
        let held = self.held.iter().map(|(job, _)| *job);
        let mut jobs: Vec<_> = waiting.chain(held).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Ends the pass that is over at `now` and begins the next one.
    pub fn advance(&mut self, now: f64, profile: &EngineProfile) -> PassResult {
        let mut result = PassResult::default();
        if self.pass_end.is_some_and(|end| end > now) {
            return result;
        }
        if self.pass_end.take().is_some() {
            self.finish_pass(&mut result);
        }
        self.admit(profile);
        self.begin_pass(now, profile);
        result
    }

    fn finish_pass(&mut self, result: &mut PassResult) {
        for (job, tokens) in std::mem::take(&mut self.granted) {
            let part = self.prefilling.iter_mut().find(|part| part.job == job);
            if let Some(part) = part {
                part.tokens_left -= tokens;
            }
        }
        let done = |part: &Part| part.tokens_left < 0.5;
        for part in self.prefilling.iter().filter(|part| done(part)) {
            if part.leads {
                self.joining.push(part.job);
            }
            result.prefilled.push(part.job);
        }
        self.prefilling.retain(|part| !done(part));
        result.events = std::mem::take(&mut self.writing);
    }

    /// Admits waiting leads in their order, as slots and KV cache allow.
    fn admit(&mut self, profile: &EngineProfile) {
        while let Some(part) = self.waiting.first() {
            let leads = self.prefilling.iter().filter(|part| part.leads).count();
            let running = leads + self.writers.len() + self.joining.len();
            let used: u64 = self.held.iter().map(|(_, tokens)| tokens).sum();
            let needed = part.kv_tokens + part.answer_tokens;
            if running >= profile.slots as usize || used + needed > profile.kv_capacity {
                break;
            }
            let part = self.waiting.remove(0);
            self.held.push((part.job, needed));
            self.prefilling.push(part);
            self.sort_prefilling();
        }
    }

    fn sort_prefilling(&mut self) {
        self.prefilling
            .sort_by_key(|part| (part.leads, part.priority, part.arrival));
    }

    fn begin_pass(&mut self, now: f64, profile: &EngineProfile) {
        if self.prefilling.is_empty() && self.writers.is_empty() {
            return;
        }
        let steps = if self.writers.is_empty() {
            1.0
        } else {
            profile.pass_steps
        };
        let mut budget = steps * profile.prefill_chunk;
        let mut prefill_ms = 0.0;
        for part in &self.prefilling {
            let tokens = part.tokens_left.min(budget);
            if tokens <= 0.0 {
                break;
            }
            budget -= tokens;
            prefill_ms += tokens * part.token_ms;
            self.granted.push((part.job, tokens));
        }
        let context: u64 = self.writers.iter().map(|writer| writer.context).sum();
        let step = profile.step_ms
            + as_float(self.writers.len() as u64) * profile.sequence_ms
            + as_float(context) / 1000.0 * profile.context_ms;
        let pace = if self.pace > 0.0 { self.pace } else { 1.0 };
        let over_knee = self
            .knee
            .filter(|(answers, _)| self.writers.len() > *answers);
        let pace = pace * over_knee.map_or(1.0, |(_, factor)| factor);
        self.writing = self.writers.iter().map(|writer| writer.job).collect();
        self.pass_end = Some(now + (steps * step + prefill_ms) * pace);
    }
}
