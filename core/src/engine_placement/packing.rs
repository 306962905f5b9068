//! Packs short prompts onto few servers, so that others stay free for long ones.
//!
//! Load it answers: short prompts beside some long ones. In a burst of short ones all servers are open.

use std::collections::BTreeSet;

use super::loads::EngineLoad;
use super::{Candidate, Placer};
use crate::directory::ServerRecord;
use crate::engine_model::as_float;
use crate::names::ServerId;

/// Longest prefill time of a prompt that counts as short, in milliseconds.
const SHORT_PREFILL_MS: f64 = 60.0;
/// Fraction of slots that short prompts fill before another server is opened to them.
const OPEN_FILL_FRACTION: f64 = 0.75;
/// Cost of a short prompt on a server that is not open to short prompts.
const CLOSED_SERVER_COST: f64 = 0.25;
/// Cost of a short prompt on a server with all slots taken.
///
/// The cost grows with the square of the occupancy. It is less than `CLOSED_SERVER_COST`, so that
/// open servers fill up before another one is used.
const OCCUPANCY_COST: f64 = 0.2;

impl Placer<'_> {
    /// Returns the servers that are currently open to short prompts.
    ///
    /// Short prompts hardly disturb each other. Packed together, they leave other engines free to
    /// prefill a long prompt without pausing any answer. All entry VMs of a zone open servers in
    /// the same order, so that a burst is spread over all open servers and not sent to just one.
    pub(super) fn open_servers<'c>(&self, candidates: &[Candidate<'c>]) -> BTreeSet<&'c ServerId> {
        let mut own: Vec<_> = candidates
            .iter()
            .filter(|candidate| candidate.server.zone == *self.zone)
            .map(|candidate| candidate.server)
            .collect();
        own.sort_unstable_by_key(|server| &server.id);
        let shorts: usize = own.iter().map(|server| self.short_count(&server.id)).sum();
        let mut open_slots = 0.0;
        let is_open = |filled: f64, needed: f64| !self.packs_shorts || filled < needed;
        let needed = as_float(shorts as u64 + 1);
        let open = own.into_iter().take_while(|server| {
            let needs_more = is_open(open_slots, needed);
            open_slots +=
                f64::from(self.loads.usable_slots(self.profile, &server.id)) * OPEN_FILL_FRACTION;
            needs_more
        });
        open.map(|server| &server.id).collect()
    }

    /// Returns the cost of a short prompt on a server with `unreported` further answers.
    pub(super) fn short_prompt_cost(
        &self,
        server: &ServerRecord,
        open: &BTreeSet<&ServerId>,
        unreported: f64,
    ) -> f64 {
        let answers = self
            .loads
            .load(&server.id)
            .map_or(0, EngineLoad::lead_count);
        let occupancy = (as_float(answers as u64) + unreported)
            / f64::from(self.loads.usable_slots(self.profile, &server.id));
        let closed = if open.contains(&server.id) {
            0.0
        } else {
            CLOSED_SERVER_COST
        };
        occupancy * occupancy * OCCUPANCY_COST + closed
    }

    /// Returns the number of short prompts whose answers a server decodes now or later.
    fn short_count(&self, server: &ServerId) -> usize {
        let loaded = self.loads.load(server).map(EngineLoad::parts);
        let parts = loaded.into_iter().flatten();
        parts
            .filter(|part| part.leads && self.is_short(part.prompt_tokens))
            .count()
    }

    pub(super) fn is_short(&self, prompt: u64) -> bool {
        self.profile.prefill_time(prompt) <= SHORT_PREFILL_MS
    }
}
