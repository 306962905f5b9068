//! Splits the prefill of a long prompt over several engines.

use super::{
    BLOCK_SLACK_TOKENS, Candidate, Evaluation, ExternalCost, HELPER_COST, Placement,
    PlacementRequest, Placer, from_millis, own_cost,
};
use crate::engine_model::as_float;

impl Placer<'_> {
    /// Returns the split over a lead and `count` helpers, with its cost.
    ///
    /// It uses the engines that are cheapest for one part each.
    pub(super) fn best_split(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'_>],
        count: usize,
    ) -> Option<(f64, Placement)> {
        if candidates.len() <= count {
            return None;
        }
        let parts = count as u64 + 1;
        let mut rated = self.evaluate_all(request, candidates, count + 1);
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
        if rated.len() <= count {
            return None;
        }
        let part_cost = |e: &Evaluation<'_>| {
            let late = own_cost(request, e.ready + e.pass);
            e.external_cost.total()
                + late
                + candidates[e.candidate].penalty
                + self.zone_crossing_cost(e.server)
        };
        rated.sort_by(|a, b| part_cost(a).total_cmp(&part_cost(b)));
        rated.truncate(count + 1);
        let lead_cost = |e: &Evaluation<'_>| {
            if helper_tokens > 0 {
                self.zone_crossing_cost(e.server)
            } else {
                self.lead_cost(request, e.server)
            }
        };
        let lead = (0..rated.len())
            .min_by(|a, b| lead_cost(&rated[*a]).total_cmp(&lead_cost(&rated[*b])))?;
        let lead = rated.swap_remove(lead);
        let helpers = &rated;
        let slowest = helpers.iter().fold(lead.ready, |slow, e| slow.max(e.ready));
        let ttft = slowest + lead.pass;
        let nominal = helpers.iter().fold(lead.nominal, |n, e| n.max(e.nominal));
        let nominal = nominal + lead.nominal_pass;
        let engines = helpers.iter().chain([&lead]);
        let external_cost: ExternalCost = engines.map(|e| e.external_cost).sum();
        let penalty: f64 = helpers
            .iter()
            .chain([&lead])
            .map(|e| candidates[e.candidate].penalty + self.zone_crossing_cost(e.server))
            .sum();
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
