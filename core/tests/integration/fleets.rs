//! Helpers for engine placement tests: fleets of engines, prompts and placements.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::engine_placement::loads::{PlacedPrompt, PlacementKey};
use merlinrudder_core::engine_placement::{Placement, PlacementRequest};
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::rate_limit::RateLimits;
use merlinrudder_core::time::Moment;

pub const SHORT: u64 = 3_000;
pub const LONG: u64 = 130_000;

pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_capacity: 232_000,
        pass_steps: 43.0,
        step_ms: 1.02,
        sequence_ms: 0.002_26,
        context_ms: 0.004_31,
        prefill_speed: 206.0,
        attention_ms: 0.138,
        prefill_chunk: 2048.0,
        mean_answer: 1300,
    }
}

pub fn service() -> ServiceName {
    ServiceName::from("drafts")
}

pub fn server(zone: &str, number: u16) -> ServerRecord {
    ServerRecord {
        id: ServerId::from(format!("{zone}-{number}")),
        born: 1,
        sequence: 1,
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number)),
        zone: ZoneName::from(zone),
        slots: 16,
        stage: ServerStage::Ready,
    }
}

/// Returns the limits of a VM that knows of none.
pub fn rates() -> RateLimits {
    RateLimits::new(Moment::default(), VmId::from("entry"), 1)
}

pub fn fleet(engines: u16) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("a"), rates());
    for number in 0..engines {
        fleet.merge(Moment::default(), server("a", number));
    }
    fleet
}

pub fn placement_request(prompt: u64, objective: u64, pause: u64) -> PlacementRequest {
    PlacementRequest {
        prompt_tokens: prompt,
        answer_tokens: 1300,
        waited: Duration::ZERO,
        ttft_objective: Duration::from_millis(objective),
        pause_objective: Duration::from_millis(pause),
        weight: 1.0,
        time_left: Duration::from_secs(10),
        is_underserved: false,
        random_seed: 1,
    }
}

pub fn short() -> PlacementRequest {
    placement_request(SHORT, 300, 250)
}

pub fn long() -> PlacementRequest {
    placement_request(LONG, 3000, 1000)
}

/// Chooses engines and records the placement, as an entry VM does.
pub fn place(
    fleet: &mut Fleet,
    now: Moment,
    number: u64,
    request: &PlacementRequest,
) -> (Placement, PlacementDecision) {
    let chosen = fleet.choose_engines(now, &service(), &profile(), request, &[]);
    let (placement, decision) = chosen.expect("an engine");
    let key = PlacementKey {
        entry: VmId::from("entry"),
        number,
    };
    let placed = PlacedPrompt {
        lead: placement.lead.clone(),
        helpers: placement.helpers.clone(),
        helper_tokens: placement.helper_tokens,
        prompt_tokens: request.prompt_tokens,
        answer_tokens: request.answer_tokens,
        received_at: now,
        ttft_objective: request.ttft_objective,
        pause_objective: request.pause_objective,
        weight: request.weight,
    };
    if decision == PlacementDecision::Place {
        fleet.add_placement(now, &key, &profile(), &placed);
    }
    (placement, decision)
}

pub fn mark_prefilled(fleet: &mut Fleet, number: u64) {
    let key = PlacementKey {
        entry: VmId::from("entry"),
        number,
    };
    fleet.loads.mark_prefilled(&key);
}
