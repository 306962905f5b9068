//! Queue of the long prompts that wait for engines, as an entry VM knows it.
//!
//! Entry VMs tell each other which long prompts wait at them. Each of them therefore knows which
//! prompts go before its own, and leaves the next free engines to those.

use std::collections::BTreeMap;
use std::time::Duration;

use super::loads::PlacementKey;
use super::{PlacementRequest, caller_patience};
use crate::engine_model::EngineProfile;
use crate::names::{ServiceName, VmId};
use crate::time::Moment;

/// Delay in the queue for each second of prefill, in seconds.
///
/// A longer prompt lets shorter ones go before it for a bounded time, so that most are in time in
/// a burst and the longest are still served.
const DELAY_PER_PREFILL: f64 = 0.3;

/// Fraction of its time that is left when a prompt goes before all others.
const LAST_CALL_FRACTION: f64 = 0.45;
/// Time for which an entry of the queue counts after it was last announced.
///
/// Without it, the prompts of a VM that is frozen or cut off would keep others waiting.
const ENTRY_LEASE: Duration = Duration::from_secs(1);
/// Time after which a VM announces a waiting prompt again.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// A long prompt that waits for engines.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedPrompt {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u64,
    /// When the entry VM received the request.
    pub received_at: Moment,
    /// Objective for the time to first token, counted from `received_at`.
    pub ttft_objective: Duration,
    /// Objective for the longest pause between two events of the answer.
    pub pause_objective: Duration,
    /// Factor on the value of the prompt, by its rank; 1 without other ranks.
    pub weight: f64,
    /// When the caller is likely to have left.
    pub expires_at: Moment,
}

impl QueuedPrompt {
    /// Returns a request's prompt as it waits in the queue.
    #[must_use]
    pub fn of_request(now: Moment, request: &PlacementRequest) -> Self {
        let patience = caller_patience(request.ttft_objective, request.pause_objective);
        let patience_left = patience.saturating_sub(request.waited);
        Self {
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            received_at: now - request.waited,
            ttft_objective: request.ttft_objective,
            pause_objective: request.pause_objective,
            weight: request.weight,
            expires_at: now + request.time_left.min(patience_left),
        }
    }

    /// Returns how urgent the prompt is; the most urgent one gets engines first.
    fn urgency(&self, now: Moment, profile: &EngineProfile) -> Urgency {
        let prefill = profile.prefill_time(self.prompt_tokens) / 1000.0;
        let waited = now.since(self.received_at).as_secs_f64();
        let left = self.expires_at.since(now).as_secs_f64();
        if left < (waited + left) * LAST_CALL_FRACTION {
            return Urgency::LastCall(-left);
        }
        let objective = self.ttft_objective.as_secs_f64();
        Urgency::Usual(waited * self.weight - objective - prefill * DELAY_PER_PREFILL)
    }
}

/// How urgent a prompt is, the least urgent first; each holds the order within, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Urgency {
    /// Holds the time since it was due, by its objective and its length.
    Usual(f64),
    /// It can hardly be served if it waits on; holds the time left, negative.
    LastCall(f64),
}

/// Long prompts that wait for engines, at this and other entry VMs.
#[derive(Debug, Default)]
pub struct PromptQueue {
    waiting: BTreeMap<PlacementKey, Entry>,
}

/// A prompt in the queue.
#[derive(Debug)]
struct Entry {
    service: ServiceName,
    prompt: QueuedPrompt,
    /// When it was last announced.
    announced_at: Moment,
}

impl PromptQueue {
    /// Adds a prompt that was announced, or renews the entry with the same key.
    pub fn add(
        &mut self,
        now: Moment,
        key: PlacementKey,
        service: ServiceName,
        prompt: QueuedPrompt,
    ) {
        let entry = Entry {
            service,
            prompt,
            announced_at: now,
        };
        self.waiting.insert(key, entry);
    }

    /// Removes a prompt that no longer waits.
    pub fn remove(&mut self, key: &PlacementKey) {
        self.waiting.remove(key);
    }

    /// Removes all prompts of an entry VM.
    pub fn remove_entry(&mut self, entry: &VmId) {
        self.waiting.retain(|key, _| key.entry != *entry);
    }

    /// Whether a prompt waits for engines of a service.
    #[must_use]
    pub fn has_waiting(&self, now: Moment, service: &ServiceName) -> bool {
        self.of_service(now, service).next().is_some()
    }

    /// Returns the prompts of a service that get engines before another one.
    #[must_use]
    pub fn ahead_of(
        &self,
        now: Moment,
        service: &ServiceName,
        profile: &EngineProfile,
        prompt: &QueuedPrompt,
    ) -> Vec<&QueuedPrompt> {
        let own = prompt.urgency(now, profile);
        self.of_service(now, service)
            .filter(|other| other.urgency(now, profile) > own)
            .collect()
    }

    /// Returns the prompts of a service whose entries count.
    fn of_service(
        &self,
        now: Moment,
        service: &ServiceName,
    ) -> impl Iterator<Item = &QueuedPrompt> {
        let entries = self.waiting.values().filter(move |entry| {
            entry.service == *service && now.since(entry.announced_at) < ENTRY_LEASE
        });
        entries.map(|entry| &entry.prompt)
    }
}
