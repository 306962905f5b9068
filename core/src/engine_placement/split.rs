//! Splits the prefill of a long prompt over several engines.

use super::delays::{DelayedPrompts, PromptsInPrefill};
use super::{
    BLOCK_SLACK_TOKENS, Candidate, Evaluation, ExternalCost, HELPER_COST, MIN_SPLIT_TOKENS,
    Placement, PlacementRequest, Placer, from_millis, own_cost,
};
use crate::directory::ServerRecord;
use crate::engine_model::as_float;

/// Cost of a lead on an engine that decodes no answer to a long prompt.
///
/// Each prefill pauses the answers on its engine. Leads that share engines leave others to prefill.
const OPENING_COST: f64 = 2.0;

/// Engines for the parts of a prompt, chosen one after the other.
struct ChosenEngines<'a> {
    /// The engines, the lead first.
    engines: Vec<Evaluation<'a>>,
    delayed: DelayedPrompts,
    /// Predicted time until the slowest engine has prefilled its part, in milliseconds.
    ready: f64,
}

impl<'a> ChosenEngines<'a> {
    /// Returns what other requests lose.
    fn external_cost(&self) -> ExternalCost {
        ExternalCost {
            pauses: self.engines.iter().map(|e| e.pauses).sum(),
            delays: self.delayed.total(),
        }
    }

    /// Moves the engine that adds least to the cost of the placement from `rated` to the chosen ones.
    ///
    /// Returns `None` if none is left.
    fn take_cheapest(
        &mut self,
        request: &PlacementRequest,
        rated: &mut Vec<Evaluation<'a>>,
        fixed_cost: impl Fn(&Evaluation<'a>) -> f64,
    ) -> Option<()> {
        let added_cost = |e: &Evaluation<'a>| {
            let late = own_cost(request, self.ready.max(e.ready) + e.pass);
            e.pauses + self.delayed.added_cost(&e.delays) + late + fixed_cost(e)
        };
        let costs = rated.iter().map(added_cost).enumerate();
        let (index, _) = costs.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let next = rated.swap_remove(index);
        self.delayed.add(&next.delays);
        self.ready = self.ready.max(next.ready);
        self.engines.push(next);
        Some(())
    }
}

impl Placer<'_> {
    /// Returns the split over a lead and `count` helpers, with its cost.
    pub(super) fn best_split(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'_>],
        prefilling: &PromptsInPrefill<'_>,
        count: usize,
    ) -> Option<(f64, Placement)> {
        if candidates.len() <= count {
            return None;
        }
        let parts = count as u64 + 1;
        let mut rated = self.evaluate_all(request, candidates, prefilling, count + 1);
        rated.retain(|e| candidates[e.candidate].may_help && self.can_help(e.server));
        let whole = request.prompt_tokens + request.answer_tokens;
        let max_free = rated.iter().map(|e| self.free_tokens(e.server)).max()?;
        let helper_tokens = if max_free >= whole {
            0
        } else {
            request.prompt_tokens.div_ceil(parts) + BLOCK_SLACK_TOKENS
        };
        if helper_tokens > 0 {
            rated.retain(|e| self.free_tokens(e.server) >= helper_tokens + request.answer_tokens);
        }
        let placing_cost = |e: &Evaluation<'_>| {
            candidates[e.candidate].penalty + self.zone_crossing_cost(e.server)
        };
        let lead_cost = |e: &Evaluation<'_>| {
            if helper_tokens > 0 {
                self.zone_crossing_cost(e.server)
            } else {
                self.lead_cost(request, e.server)
            }
        };
        let mut chosen = ChosenEngines {
            engines: Vec::with_capacity(count + 1),
            delayed: DelayedPrompts::none_of(prefilling),
            ready: 0.0,
        };
        chosen.take_cheapest(request, &mut rated, |e| {
            placing_cost(e) + lead_cost(e) + self.opening_cost(e.server)
        })?;
        for _ in 0..count {
            chosen.take_cheapest(request, &mut rated, placing_cost)?;
        }
        let external_cost = chosen.external_cost();
        let penalty: f64 = chosen.engines.iter().map(placing_cost).sum();
        let (lead, helpers) = chosen.engines.split_first()?;
        let ttft = chosen.ready + lead.pass;
        let nominal = helpers.iter().fold(lead.nominal, |n, e| n.max(e.nominal));
        let nominal = nominal + lead.nominal_pass;
        let helper_cost = as_float(count as u64) * HELPER_COST;
        let own = own_cost(request, ttft) + lead_cost(lead);
        let placement = Placement {
            lead: lead.server.id.clone(),
            helpers: helpers.iter().map(|e| e.server.id.clone()).collect(),
            helper_tokens,
            predicted_ttft: from_millis(ttft),
            nominal_ttft: from_millis(nominal),
            external_cost,
        };
        let cost = external_cost.total() + penalty + helper_cost + own;
        Some((cost, placement))
    }

    /// Returns the additional cost of a lead on an engine without another long answer.
    fn opening_cost(&self, server: &ServerRecord) -> f64 {
        let mut parts = self.loads.load_or_idle(&server.id).parts();
        if parts.any(|part| part.leads && part.prompt_tokens >= MIN_SPLIT_TOKENS) {
            0.0
        } else {
            OPENING_COST
        }
    }
}
