//! Arrival of requests.

use super::{BurstSim, Job, State};

impl BurstSim {
    pub(super) fn arrive(&mut self, now: u64, rates: &[f64]) {
        for (index, rate) in rates.iter().enumerate() {
            let mut expected = rate / 1000.0;
            while expected > 0.0 {
                if self.arrival_rng.f64() < expected {
                    self.add_job(now, index);
                }
                expected -= 1.0;
            }
        }
    }

    fn add_job(&mut self, now: u64, index: usize) {
        let kind = self.load.kinds[index];
        let normal = self.normal();
        let shift = kind.spread * kind.spread / 2.0;
        let drawn = kind.mean * (normal * kind.spread - shift).exp();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive length below `max`"
        )]
        let prompt = drawn.clamp(100.0, kind.max) as u64;
        self.open.push(self.jobs.len());
        self.jobs.push(Job {
            kind: index,
            prompt,
            vm: self.arrival_rng.usize(..self.load.entry_vms.count),
            came_at: now,
            received_at: now,
            refusals: 0,
            state: State::Waiting(0.0),
            seed: self.arrival_rng.u64(..),
            engines: Vec::new(),
            parts_left: 0,
            lead_context: 0,
            events: 0,
            first_at: None,
            last_at: now,
            longest_pause: 0,
            placement: 0,
            is_announced: false,
            is_underserved: false,
        });
    }

    fn normal(&mut self) -> f64 {
        let rng = &mut self.arrival_rng;
        let (radius, angle) = (rng.f64().max(1e-12), rng.f64());
        (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()
    }
}
