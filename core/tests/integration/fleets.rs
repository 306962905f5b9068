//! Fleets of engines for the tests of placing, and the ways an entry VM uses them.

use std::net::SocketAddr;
use std::time::Duration;

use merlinrudder_core::directory::{ServerRecord, ServerStage};
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::placing::judging::Verdict;
use merlinrudder_core::placing::ledger::{PlacedPrompt, PlacementKey};
use merlinrudder_core::placing::{Placement, PromptAsk};
use merlinrudder_core::time::Moment;

pub const SHORT: u64 = 3_000;
pub const LONG: u64 = 130_000;

pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory: 232_000,
        stride: 43.0,
        step: 1.02,
        writer: 0.002_26,
        context: 0.004_31,
        read_rate: 206.0,
        pairs: 0.138,
        chunk: 2048.0,
        usual_answer: 1300,
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

pub fn fleet(engines: u16) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("a"));
    for number in 0..engines {
        fleet.merge(Moment::default(), server("a", number));
    }
    fleet
}

pub fn ask(prompt: u64, objective: u64, pause: u64) -> PromptAsk {
    PromptAsk {
        prompt,
        answer: 1300,
        waited: Duration::ZERO,
        objective: Duration::from_millis(objective),
        pause: Duration::from_millis(pause),
        left: Duration::from_secs(10),
        draw: 1,
    }
}

pub fn short() -> PromptAsk {
    ask(SHORT, 300, 250)
}

pub fn long() -> PromptAsk {
    ask(LONG, 3000, 1000)
}

/// Chooses engines and enters the placement, as an entry VM does.
pub fn place(fleet: &mut Fleet, now: Moment, number: u64, ask: &PromptAsk) -> (Placement, Verdict) {
    let chosen = fleet.choose_engines(now, &service(), &profile(), ask, &[]);
    let (placement, verdict) = chosen.expect("an engine");
    let key = PlacementKey {
        entry: VmId::from("entry"),
        number,
    };
    let placed = PlacedPrompt {
        lead: placement.lead.clone(),
        helpers: placement.helpers.clone(),
        held: placement.held,
        prompt: ask.prompt,
        answer: ask.answer,
        asked: now,
        objective: ask.objective,
        pause: ask.pause,
    };
    if verdict == Verdict::Place {
        fleet.placed(now, &key, &profile(), &placed);
    }
    (placement, verdict)
}

pub fn first_event(fleet: &mut Fleet, number: u64) {
    let key = PlacementKey {
        entry: VmId::from("entry"),
        number,
    };
    fleet.ledger.first_event(&key);
}
