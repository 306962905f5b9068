//! Places long prompts, in the order of their queue, on engines without other prefills.
//!
//! Long prompts get the engines that are not open to short ones, see [`super::packing`]. Each is
//! split into parts of similar time, so that its engines come free soon after one another. One of
//! them, the lead, also decodes the answer. Prefills pause the answers decoded beside them, and the
//! prompts of these answers hold their KV cache meanwhile: leads therefore share few engines, and
//! helpers decode nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use super::decision::{PlacementDecision, Weighed};
use super::loads::{EngineLoad, PromptPart};
use super::queue::QueuedPrompt;
use super::{
    BLOCK_SLACK_TOKENS, Candidate, KV_RESERVE_DIVISOR, Placement, PlacementRequest, Placer,
    from_millis, millis,
};
use crate::engine_model::{EngineProfile, as_float};
use crate::names::ServerId;

/// Shortest prefill time of a prompt that waits in the queue, in milliseconds.
const MIN_LONG_PREFILL_MS: f64 = 120.0;
/// Prefill time of a part, as a fraction of the objective for pauses: answers decoded beside it
/// pause for as long.
const PART_PAUSE_FRACTION: f64 = 0.4;
/// Factor on the prefill time of a part, up to whose result the answers beside it must allow pauses.
const PAUSE_MARGIN: f64 = 1.0;
/// Most engines for one prompt: a lead and 15 helpers.
const MAX_PARTS: usize = 16;
/// Divisor for the engines of one prompt while others wait: a quarter of those for long prompts.
const SHARE_DIVISOR: usize = 4;
/// Divisor for the free engines that one prompt may take beyond its share: a half.
const SPARE_DIVISOR: usize = 2;
/// Least share of one prompt, where there are as many engines.
const MIN_SHARE: usize = 2;
/// Least number of engines that are kept for long prompts; smaller fleets share all.
const MIN_HOSTS: usize = 4;
/// Prefill backlog up to which an engine takes a part, in milliseconds.
const MAX_BACKLOG_MS: f64 = 250.0;
/// Divisor for the slots of an engine up to which it leads further prompts: a half.
const LEAD_SLOTS_DIVISOR: usize = 2;
/// Penalty, as a fraction of the prompt's value, from which an engine is used last.
const UNSAFE_PENALTY_FRACTION: f64 = 0.1;
/// Fraction of its time after which a prompt also takes helpers that decode answers.
const IMPATIENT_FRACTION: f64 = 0.5;

/// A candidate for a part of a long prompt.
#[derive(Clone, Copy, Debug)]
struct PartHost<'a> {
    candidate: &'a Candidate<'a>,
    /// Whether recent failures speak against the engine.
    is_unsafe: bool,
    /// Answers that the engine decodes now or after prefill.
    leads: usize,
    /// Whether one of them is of a short prompt.
    leads_short: bool,
    /// Least objective for pauses among them, in milliseconds.
    min_pause: f64,
    /// Position among the servers of its zone, from the end; short prompts fill them from the start.
    position: usize,
    /// Prefill backlog, in milliseconds.
    backlog: f64,
    /// KV cache that can be reserved, in tokens.
    free_tokens: u64,
}

impl PartHost<'_> {
    /// Returns the order in which engines are chosen as helpers; it is the same at all VMs.
    fn rank(&self) -> (bool, usize, usize, &ServerId) {
        let id = &self.candidate.server.id;
        (self.is_unsafe, self.leads, self.position, id)
    }
}

impl Placer<'_> {
    /// Whether a prompt waits in the queue of long prompts for its engines.
    #[must_use]
    pub fn is_long(&self, prompt_tokens: u64) -> bool {
        is_long(self.profile, prompt_tokens)
    }

    /// Decides on a long prompt behind those in `ahead`.
    ///
    /// Returns `None` if the candidates that may prefill a part could not hold it.
    #[must_use]
    pub fn place_long(
        &self,
        request: &PlacementRequest,
        candidates: &[Candidate<'_>],
        ahead: &[&QueuedPrompt],
    ) -> Option<PlacementDecision> {
        let hosts = self.part_hosts(request, candidates);
        if hosts.len() < self.parts_by_memory(request.prompt_tokens, request.answer_tokens) {
            return None;
        }
        let is_free = |host: &&PartHost<'_>| host.backlog <= MAX_BACKLOG_MS && host.leads == 0;
        let free = hosts.iter().filter(is_free).count();
        let taken: usize = ahead
            .iter()
            .map(|p| self.part_count(p, hosts.len(), 0))
            .sum();
        let spare = free.saturating_sub(taken) / SPARE_DIVISOR;
        let (prompt, answer) = (request.prompt_tokens, request.answer_tokens);
        let queued = QueuedPrompt::of_request(self.now, request);
        let parts = self.part_count(&queued, hosts.len(), spare);
        // Those that expire later wait for this one in the end.
        let sooner = ahead.iter().filter(|p| p.expires_at <= queued.expires_at);
        let start_in = self.predicted_start(&hosts, sooner.copied());
        let prefill = self.profile.part_prefill_time(prompt, parts);
        let weighed = Weighed {
            ahead: ahead.len(),
            engines: hosts.len(),
            free_engines: free,
            parts,
            predicted_start: from_millis(start_in),
            predicted_ttft: from_millis(start_in + prefill),
        };
        if weighed.predicted_ttft > request.time_left {
            return Some(PlacementDecision::Refuse(weighed));
        }
        // The first in the queue does not wait for the last engines.
        let least = if ahead.is_empty() {
            let by_memory = self.parts_by_memory(prompt, answer);
            (parts - parts.div_ceil(SHARE_DIVISOR)).max(by_memory)
        } else {
            parts
        };
        let placement = (least..=parts)
            .rev()
            .find_map(|parts| self.choose_parts(request, &hosts, parts, taken));
        Some(placement.map_or(PlacementDecision::Wait(weighed), PlacementDecision::Place))
    }

    /// Returns the engines that may prefill a part: those not open to short prompts, if they suffice.
    fn part_hosts<'c>(
        &self,
        request: &PlacementRequest,
        candidates: &'c [Candidate<'c>],
    ) -> Vec<PartHost<'c>> {
        let positions = positions_from_end(candidates);
        let max_penalty = request.value() * UNSAFE_PENALTY_FRACTION;
        let empty = EngineLoad::default();
        let is_short_lead = |part: &PromptPart| part.leads && !self.is_long(part.prompt_tokens);
        let host = |candidate: &'c Candidate<'c>| {
            let load = self.loads.load(&candidate.server.id).unwrap_or(&empty);
            PartHost {
                candidate,
                is_unsafe: candidate.penalty > max_penalty,
                leads: load.lead_count(),
                leads_short: load.parts().any(is_short_lead),
                min_pause: min_pause(load),
                position: positions[&candidate.server.id],
                backlog: load.prefill_backlog(self.now),
                free_tokens: self.free_tokens(candidate.server),
            }
        };
        let able = || candidates.iter().filter(|candidate| candidate.may_help);
        let open = self.open_servers_of_all_zones(candidates);
        let closed = able().filter(|candidate| !open.contains(&candidate.server.id));
        let hosts: Vec<_> = closed.map(host).collect();
        let by_memory = self.parts_by_memory(request.prompt_tokens, request.answer_tokens);
        if hosts.len() < by_memory.max(MIN_HOSTS) {
            return able().map(host).collect();
        }
        hosts
    }

    /// Returns the number of engines for a prompt, of `hosts`; `spare` ones are used if need be.
    fn part_count(&self, prompt: &QueuedPrompt, hosts: usize, spare: usize) -> usize {
        let prefill = self.profile.prefill_time(prompt.prompt_tokens);
        let part_ms = millis(prompt.pause_objective) * PART_PAUSE_FRACTION;
        let most = hosts.div_ceil(SHARE_DIVISOR).max(MIN_SHARE).max(spare);
        let by_time = (1..most.min(MAX_PARTS))
            .find(|parts| prefill <= as_float(*parts as u64) * part_ms)
            .unwrap_or(most);
        let by_memory = self.parts_by_memory(prompt.prompt_tokens, prompt.answer_tokens);
        by_time.max(by_memory).clamp(1, MAX_PARTS).min(hosts)
    }

    /// Returns the least number of engines whose KV cache holds a prompt.
    fn parts_by_memory(&self, prompt: u64, answer: u64) -> usize {
        let capacity = self.profile.kv_capacity;
        let usable = capacity - capacity / KV_RESERVE_DIVISOR;
        let in_part = usable.saturating_sub(answer + BLOCK_SLACK_TOKENS).max(1);
        usize::try_from(prompt.div_ceil(in_part)).unwrap_or(usize::MAX)
    }

    /// Predicts when engines are free behind the prompts in `ahead`, in milliseconds.
    fn predicted_start<'q>(
        &self,
        hosts: &[PartHost<'_>],
        ahead: impl Iterator<Item = &'q QueuedPrompt>,
    ) -> f64 {
        let backlog: f64 = hosts.iter().map(|host| host.backlog).sum();
        let queued = ahead.map(|prompt| self.profile.prefill_time(prompt.prompt_tokens));
        (backlog + queued.sum::<f64>()) / as_float(hosts.len() as u64)
    }

    /// Chooses engines for all parts, behind `taken` free ones; `None` if too few are free.
    fn choose_parts(
        &self,
        request: &PlacementRequest,
        hosts: &[PartHost<'_>],
        parts: usize,
        taken: usize,
    ) -> Option<Placement> {
        let part_tokens = request.prompt_tokens.div_ceil(parts as u64) + BLOCK_SLACK_TOKENS;
        let needed = if parts == 1 {
            request.prompt_tokens
        } else {
            part_tokens
        };
        let needed = needed + request.answer_tokens;
        let able =
            |host: &&PartHost<'_>| host.backlog <= MAX_BACKLOG_MS && host.free_tokens >= needed;
        let able: Vec<_> = hosts.iter().filter(able).collect();
        let total = request.waited + request.time_left;
        let is_impatient = request.waited > total.mul_f64(IMPATIENT_FRACTION);
        let may_help = |host: &&PartHost<'_>| is_impatient || host.leads == 0;
        let mut free: Vec<_> = able.iter().copied().filter(may_help).collect();
        free.sort_unstable_by(|a, b| a.rank().cmp(&b.rank()));
        let has_fresh = free.len() >= taken + parts;
        let prefill = self.profile.part_prefill_time(request.prompt_tokens, parts);
        let shared = able.iter().copied().filter(|host| {
            let allows_pause = host.min_pause >= prefill * PAUSE_MARGIN;
            allows_pause && (!has_fresh || !host.leads_short)
        });
        let lead = self.shared_lead(shared);
        if let Some(lead) = lead {
            free.retain(|host| host.candidate.server.id != lead.candidate.server.id);
        }
        let helpers = parts - usize::from(lead.is_some());
        let skipped = if helpers == 0 { 0 } else { taken };
        let mut chosen = free.get(skipped..skipped + helpers)?.to_vec();
        let lead = match lead {
            Some(lead) => lead,
            None => chosen.pop()?,
        };
        let helper_tokens = if lead.free_tokens >= request.prompt_tokens + request.answer_tokens {
            0
        } else {
            part_tokens
        };
        let ttft = |nominal: bool| self.slowest_part(request, lead, &chosen, nominal);
        Some(Placement {
            lead: lead.candidate.server.id.clone(),
            helpers: chosen
                .iter()
                .map(|host| host.candidate.server.id.clone())
                .collect(),
            helper_tokens,
            predicted_ttft: ttft(false),
            nominal_ttft: ttft(true),
            external_cost: 0.0,
        })
    }

    /// Returns the engine that decodes most answers and may lead another prompt.
    ///
    /// One that also decodes short answers is only used if none else is left.
    fn shared_lead<'h>(
        &self,
        hosts: impl Iterator<Item = &'h PartHost<'h>>,
    ) -> Option<&'h PartHost<'h>> {
        let max_leads = self.profile.slots as usize / LEAD_SLOTS_DIVISOR;
        let shared = hosts.filter(|host| (1..max_leads).contains(&host.leads) && !host.is_unsafe);
        shared.max_by(|a, b| {
            let by_id = || b.candidate.server.id.cmp(&a.candidate.server.id);
            let by_leads = || a.leads.cmp(&b.leads);
            b.leads_short
                .cmp(&a.leads_short)
                .then_with(by_leads)
                .then_with(by_id)
        })
    }

    /// Predicts the time to first token, by the slowest part; with the nominal pace if `nominal`.
    fn slowest_part(
        &self,
        request: &PlacementRequest,
        lead: &PartHost<'_>,
        helpers: &[&PartHost<'_>],
        nominal: bool,
    ) -> Duration {
        let parts = helpers.len() + 1;
        let prefill = self.profile.part_prefill_time(request.prompt_tokens, parts);
        let empty = EngineLoad::default();
        let ready = |host: &PartHost<'_>| {
            let id = &host.candidate.server.id;
            let known = self.loads.load(id).unwrap_or(&empty);
            let (decoding, context) = (known.decode_count(), known.decode_context());
            let pass = self.profile.pass_time(decoding, context);
            let work = pass / 2.0 + prefill;
            let pace = self.loads.learned().pace(id);
            if nominal {
                host.backlog / pace + work
            } else {
                host.backlog + work * pace
            }
        };
        let slowest = helpers
            .iter()
            .map(|host| ready(host))
            .fold(ready(lead), f64::max);
        from_millis(slowest + self.profile.pass_time(1, 0))
    }
}

/// Whether a prompt waits in the queue of long prompts for its engines.
pub(super) fn is_long(profile: &EngineProfile, prompt_tokens: u64) -> bool {
    profile.prefill_time(prompt_tokens) >= MIN_LONG_PREFILL_MS
}

/// Returns the least objective for pauses of the answers that an engine decodes, in milliseconds.
fn min_pause(load: &EngineLoad) -> f64 {
    let leads = load.parts().filter(|part| part.leads);
    let pauses = leads.map(|part| millis(part.pause_objective));
    pauses.fold(f64::INFINITY, f64::min)
}

/// Returns the position of each server among those of its zone, counted from the last one.
fn positions_from_end<'c>(candidates: &'c [Candidate<'c>]) -> BTreeMap<&'c ServerId, usize> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for candidate in candidates {
        let server = candidate.server;
        zones.entry(&server.zone).or_default().push(&server.id);
    }
    for ids in zones.values_mut() {
        ids.sort_unstable();
    }
    let positions = zones
        .into_values()
        .flat_map(|ids| ids.into_iter().rev().enumerate());
    positions.map(|(position, id)| (id, position)).collect()
}
