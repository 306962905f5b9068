//! Changes of the placements of entry VMs.

use std::time::Duration;

use merlinrudder_core::engine_placement::length_shares::PromptClass;
use merlinrudder_core::engine_placement::loads::PlacedPrompt;
use merlinrudder_core::names::{ServerId, ServiceName};
use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use crate::common::millis;

/// Changes of an entry VM's placements on engines.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacements {
    /// Whether all active placements are listed, so that any others have ended.
    pub is_snapshot: bool,
    /// Changes in the order in which they occurred.
    pub changes: Vec<WirePlacementChange>,
}

/// Change of one placement, or failure of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum WirePlacementChange {
    /// A prompt was placed.
    Made(WirePlacement),
    /// The first event of the answer arrived; holds the placement's number.
    FirstEvent(u64),
    /// The placement ended; holds its number.
    Ended(u64),
    /// A backend server failed a request; holds the server's id.
    ServerFailed(String),
}

/// Long prompt that an entry VM received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireReceivedPrompt {
    /// Service that the prompt is for.
    service: String,
    /// Objective for the time to first token.
    ttft_ms: u64,
    /// Length of the prompt, in tokens.
    prompt_tokens: u64,
}

impl WireReceivedPrompt {
    /// Creates the wire form of a prompt of a class.
    #[must_use]
    pub fn new(class: &PromptClass, prompt_tokens: u64) -> Self {
        Self {
            service: class.service.to_string(),
            ttft_ms: millis(class.ttft_objective),
            prompt_tokens,
        }
    }

    /// Converts to the class of the prompt and its length in tokens.
    #[must_use]
    pub fn into_core(self) -> (PromptClass, u64) {
        let objective = Duration::from_millis(self.ttft_ms);
        let class = PromptClass::new(&ServiceName::from(self.service), objective);
        (class, self.prompt_tokens)
    }
}

/// Placement of a prompt on a lead engine and its helpers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WirePlacement {
    /// Sequence number of the placement at the entry VM.
    pub number: u64,
    service: String,
    lead: String,
    helpers: Vec<String>,
    /// KV cache tokens reserved per helper; 0 if the lead holds the whole prompt.
    helper_tokens: u64,
    prompt_tokens: u64,
    answer_tokens: u64,
    /// Time since the caller sent the request.
    waited_ms: u64,
    /// Objective for the time to first token, counted from the caller's request.
    ttft_ms: u64,
    /// Objective for the longest pause between two events of the answer.
    pause_ms: u64,
}

impl WirePlacement {
    /// Creates the wire form of placement `number` at this entry VM.
    #[must_use]
    pub fn new(now: Moment, number: u64, service: &ServiceName, placed: &PlacedPrompt) -> Self {
        Self {
            number,
            service: service.to_string(),
            lead: placed.lead.to_string(),
            helpers: placed.helpers.iter().map(ToString::to_string).collect(),
            helper_tokens: placed.helper_tokens,
            prompt_tokens: placed.prompt_tokens,
            answer_tokens: placed.answer_tokens,
            waited_ms: millis(now.since(placed.received_at)),
            ttft_ms: millis(placed.ttft_objective),
            pause_ms: millis(placed.pause_objective),
        }
    }

    /// Converts to the service and the core's placement, on the receiver's clock.
    ///
    /// The weight of the prompt is not sent, and is 1.
    #[must_use]
    pub fn into_core(self, now: Moment) -> (ServiceName, PlacedPrompt) {
        let placed = PlacedPrompt {
            lead: ServerId::from(self.lead),
            helpers: self.helpers.into_iter().map(ServerId::from).collect(),
            helper_tokens: self.helper_tokens,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            received_at: now - Duration::from_millis(self.waited_ms),
            ttft_objective: Duration::from_millis(self.ttft_ms),
            pause_objective: Duration::from_millis(self.pause_ms),
            weight: 1.0,
        };
        (ServiceName::from(self.service), placed)
    }
}
