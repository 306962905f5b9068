//! Splits the prefill of a long prompt over several engines.

use super::delays::{DelayedPrompts, PromptsInPrefill};
use super::{
    BLOCK_SLACK_TOKENS, Candidate, Evaluation, ExternalCost, HELPER_COST, Placement,
    PlacementRequest, Placer, from_millis, own_cost,
};
use crate::engine_model::as_float;

/// Engines for the parts of a prompt, chosen one after the other.
struct ChosenEngines<'a> {
    engines: Vec<Evaluation<'a>>,
    delayed: DelayedPrompts,
    /// Predicted time until the slowest engine has prefilled its part, in milliseconds.
    ready: f64,
}

impl ChosenEngines<'_> {
    /// Returns what other requests lose.
    fn external_cost(&self) -> ExternalCost {
        ExternalCost {
            pauses: self.engines.iter().map(|e| e.pauses).sum(),
            delays: self.delayed.total(),
        }
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
        let delayed = DelayedPrompts::none_of(prefilling);
        let mut chosen = choose_engines(request, rated, count + 1, delayed, placing_cost)?;
        let external_cost = chosen.external_cost();
        let penalty: f64 = chosen.engines.iter().map(placing_cost).sum();
        let lead_cost = |e: &Evaluation<'_>| {
            if helper_tokens > 0 {
                self.zone_crossing_cost(e.server)
            } else {
                self.lead_cost(request, e.server)
            }
        };
        let engines = &mut chosen.engines;
        let lead = (0..engines.len())
            .min_by(|a, b| lead_cost(&engines[*a]).total_cmp(&lead_cost(&engines[*b])))?;
        let lead = engines.swap_remove(lead);
        let helpers = &*engines;
        let ttft = chosen.ready + lead.pass;
        let nominal = helpers.iter().fold(lead.nominal, |n, e| n.max(e.nominal));
        let nominal = nominal + lead.nominal_pass;
        let helper_cost = as_float(count as u64) * HELPER_COST;
        let own = own_cost(request, ttft) + lead_cost(&lead);
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
}

/// Chooses engines one after the other, by what each adds to the cost of the placement.
///
/// Returns `None` if there are fewer than `count`.
fn choose_engines<'a>(
    request: &PlacementRequest,
    mut rated: Vec<Evaluation<'a>>,
    count: usize,
    delayed: DelayedPrompts,
    placing_cost: impl Fn(&Evaluation<'a>) -> f64,
) -> Option<ChosenEngines<'a>> {
    let mut chosen = ChosenEngines {
        engines: Vec::with_capacity(count),
        delayed,
        ready: 0.0,
    };
    while chosen.engines.len() < count {
        let added_cost = |e: &Evaluation<'_>| {
            let late = own_cost(request, chosen.ready.max(e.ready) + e.pass);
            e.pauses + chosen.delayed.added_cost(&e.delays) + late
        };
        let costs = rated.iter().map(|e| added_cost(e) + placing_cost(e));
        let (index, _) = costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let next = rated.swap_remove(index);
        chosen.delayed.add(&next.delays);
        chosen.ready = chosen.ready.max(next.ready);
        chosen.engines.push(next);
    }
    Some(chosen)
}
