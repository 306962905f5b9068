//! Changes of the placements of entry VMs.

use std::time::Duration;

use merlinrudder_core::engine_model::as_float;
use merlinrudder_core::engine_placement::loads::PlacedPrompt;
use merlinrudder_core::engine_placement::queue::QueuedPrompt;
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
    /// A long prompt waits for engines.
    ///
    /// Only sent to VMs with [`WireFeatures::prompt_queue`](crate::mesh::WireFeatures::prompt_queue), like the next one.
    Queued(WireQueuedPrompt),
    /// A long prompt no longer waits; holds its number.
    LeftQueue(u64),
}

impl WirePlacementChange {
    /// Whether the change is about the queue of long prompts.
    #[must_use]
    pub const fn is_of_queue(&self) -> bool {
        matches!(self, Self::Queued(_) | Self::LeftQueue(_))
    }
}

/// A long prompt that waits for engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireQueuedPrompt {
    /// Sequence number at the entry VM, among its placements.
    pub number: u64,
    service: String,
    prompt_tokens: u64,
    answer_tokens: u64,
    /// Time since the caller sent the request.
    waited_ms: u64,
    /// Objective for the time to first token, counted from the caller's request.
    ttft_ms: u64,
    /// Objective for the longest pause between two events of the answer.
    pause_ms: u64,
    /// Time left until the caller gives up.
    left_ms: u64,
    /// Thousandths of the factor on the value of the prompt.
    weight_millis: u64,
}

impl WireQueuedPrompt {
    /// Creates the wire form of a prompt that waits at this entry VM under `number`.
    #[must_use]
    pub fn new(now: Moment, number: u64, service: &ServiceName, prompt: &QueuedPrompt) -> Self {
        Self {
            number,
            service: service.to_string(),
            prompt_tokens: prompt.prompt_tokens,
            answer_tokens: prompt.answer_tokens,
            waited_ms: millis(now.since(prompt.received_at)),
            ttft_ms: millis(prompt.ttft_objective),
            pause_ms: millis(prompt.pause_objective),
            left_ms: millis(prompt.expires_at.since(now)),
            weight_millis: weight_to_wire(prompt.weight),
        }
    }

    /// Converts to the service and the core's prompt, on the receiver's clock.
    #[must_use]
    pub fn into_core(self, now: Moment) -> (ServiceName, QueuedPrompt) {
        let prompt = QueuedPrompt {
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            received_at: now - Duration::from_millis(self.waited_ms),
            ttft_objective: Duration::from_millis(self.ttft_ms),
            pause_objective: Duration::from_millis(self.pause_ms),
            expires_at: now + Duration::from_millis(self.left_ms),
            weight: as_float(self.weight_millis) / 1000.0,
        };
        (ServiceName::from(self.service), prompt)
    }
}

/// Returns a weight in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "weights are positive and small"
)]
fn weight_to_wire(weight: f64) -> u64 {
    (weight * 1000.0).round() as u64
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
