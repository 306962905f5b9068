//! Progress of the engines, their troubles, and the events of answers.

use merlinrudder_core::engine_model::as_float;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::time::Moment;

use super::fleet::{placement_key, server_id};
use super::{BurstSim, News, Outcome, State};
use crate::util::engine_sim::{JobId, SimEngine};

/// Time that a connection to a dead engine takes to fail.
const DEAD_CONNECT_MS: u64 = 150;

impl BurstSim {
    pub(super) fn apply_troubles(&mut self, now: u64) {
        for trouble in self.load.troubles.clone() {
            let range = trouble.first_engine..trouble.first_engine + trouble.engines;
            for engine in range {
                if now == trouble.to_ms {
                    self.engines[engine].pace = 1.0;
                    self.dead[engine] = false;
                } else if now == trouble.from_ms && trouble.pace > 0.0 {
                    self.engines[engine].pace = trouble.pace;
                } else if now == trouble.from_ms {
                    self.kill(now, engine);
                }
            }
        }
    }

    fn kill(&mut self, now: u64, engine: usize) {
        self.dead[engine] = true;
        for job in self.engines[engine].jobs() {
            self.fail_attempt(now, job, engine, ServerOutcome::Failed);
        }
        self.engines[engine] = SimEngine::default();
    }

    /// Ends an attempt at some engine; the job is placed again.
    pub(super) fn fail_attempt(
        &mut self,
        now: u64,
        job: JobId,
        engine: usize,
        outcome: ServerOutcome,
    ) {
        self.withdraw(now, job);
        let wait = match outcome {
            ServerOutcome::Unreachable => DEAD_CONNECT_MS,
            _ => 10,
        };
        self.jobs[job].state = State::Waiting(as_float(now + wait));
        for fleet in &mut self.fleets {
            fleet.record_outcome(Moment::from_millis(now), &server_id(engine), outcome);
        }
    }

    pub(super) fn advance_engine(&mut self, now: u64, engine: usize) {
        let profile = self.load.profile;
        let result = self.engines[engine].advance(as_float(now), &profile);
        for job in result.prefilled {
            self.jobs[job].parts_left -= 1;
            if self.jobs[job].parts_left == 0 {
                let (lead, context) = (self.jobs[job].engines[0], self.jobs[job].lead_context);
                self.engines[lead].write(job, context);
            }
        }
        for job in result.events {
            self.record_event(now, job);
        }
    }

    fn record_event(&mut self, now: u64, number: JobId) {
        if self.jobs[number].first_at.is_none() {
            self.learning.first_event(now, number, &mut self.fleets);
        }
        let job = &mut self.jobs[number];
        let kind = &self.load.kinds[job.kind];
        job.events += 1;
        if job.first_at.is_none() {
            job.first_at = Some(now);
            let key = placement_key(job.placement);
            self.news.push_back((now, key, News::FirstEvent));
        } else {
            job.longest_pause = job.longest_pause.max(now - job.last_at);
        }
        job.last_at = now;
        if job.events < kind.events {
            return;
        }
        let first = job.first_at.map_or(u64::MAX, |first| first - job.came_at);
        let in_time = first <= kind.objective_ms && job.longest_pause <= kind.pause_ms;
        let outcome = if in_time {
            Outcome::InTime
        } else {
            Outcome::Late
        };
        self.end(now, number, outcome);
    }
}
