//! Cost of placements and idempotency claims at several sizes, without network or disk.

use std::sync::Arc;
use std::time::{Duration, Instant};

use merlinrudder_core::claims::{ClaimKey, ClaimState};
use merlinrudder_core::control::{Command, ControlState};
use merlinrudder_core::dispatch::Dispatcher;
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, DispatchOutput, Finish};
use merlinrudder_core::estimate::{EngineSpeed, WorkEstimate};
use merlinrudder_core::manifest::Policy;
use merlinrudder_core::names::{ServerId, ServiceName, VmId, ZoneName};
use merlinrudder_core::registry::{Announcement, CacheEvents, LoadReport};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, ContentDigest, RequestId, Tokens};
use merlinrudder_wire::control::{decode_state, encode_state};

use crate::replay::sample_manifest::{customer_name, manifest, service_rule};

/// Requests that run on each engine while a placement is timed.
const RUNNING_PER_ENGINE: u128 = 16;
/// Number of placements that are timed.
const TIMED_PLACEMENTS: u128 = 2_000;
/// Customers in the manifest, as in the measurements of whole VMs.
const CUSTOMERS: u32 = 320;

/// Prints the time of one placement by number of engines.
pub(super) fn print_placements() {
    println!(
        "\nengines in the zone, microseconds a request at the dispatcher (ask, start, finish)"
    );
    for engines in [30, 60, 120, 240] {
        println!("{engines}, {:.1}", placement_micros(engines));
    }
}

/// Returns the microseconds per request on a dispatcher with all engines under load.
///
/// Each iteration finishes one request and places another.
fn placement_micros(engines: u128) -> f64 {
    let now = Moment::from_millis(1_000_000);
    let mut dispatcher = Dispatcher::new(now);
    dispatcher.set_manifest(manifest(
        &Arc::new(service_rule()),
        Policy::FIRST_TOKEN,
        CUSTOMERS,
    ));
    for number in 0..engines {
        dispatcher.announce(now, announcement(number));
    }
    let mut waiting = 0;
    for request in 0..engines * RUNNING_PER_ENGINE {
        dispatcher.submit(now, attempt_spec(request));
        waiting += usize::from(dispatcher.take_outputs().is_empty());
        dispatcher.record_first_token(now, RequestId(request), AttemptId(1));
    }
    assert_eq!(waiting, 0, "all requests are placed at once");
    let start = Instant::now();
    for iteration in 0..TIMED_PLACEMENTS {
        let (finished, placed) = (iteration, iteration + engines * RUNNING_PER_ENGINE);
        let finish = |request| Finish {
            request: RequestId(request),
            attempt: AttemptId(1),
            end: AttemptEnd::Complete,
        };
        dispatcher.finish(now, &finish(finished));
        dispatcher.submit(now, attempt_spec(placed));
        dispatcher.record_first_token(now, RequestId(placed), AttemptId(1));
        let outputs = dispatcher.take_outputs();
        assert!(
            matches!(outputs.as_slice(), [DispatchOutput::Grant(_)]),
            "{outputs:?}"
        );
    }
    micros_per_iteration(start.elapsed(), TIMED_PLACEMENTS)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn micros_per_iteration(time: Duration, iterations: u128) -> f64 {
    time.as_secs_f64() * 1e6 / iterations as f64
}

/// Prints the cost of claims: apply time, snapshot size and restore time.
pub(super) fn print_claims() {
    println!("\nclaims, microseconds a claim and record, snapshot bytes a claim, restore ms");
    for count in [10_000_u32, 100_000, 1_000_000] {
        let mut state = ControlState::default();
        let start = Instant::now();
        for number in 0..count {
            apply_claim(&mut state, number);
        }
        let apply = micros_per_iteration(start.elapsed(), u128::from(count));
        let snapshot = encode_state(&state);
        drop(state);
        let start = Instant::now();
        let restored = decode_state(&snapshot).map(|state| state.claims.len());
        let restore = start.elapsed().as_millis();
        assert_eq!(restored, Ok(count as usize));
        println!(
            "{count}, {apply:.2}, {}, {restore}",
            snapshot.len() / count as usize
        );
    }
}

/// Applies the claim of a call and the record that its outcome is unknown.
fn apply_claim(state: &mut ControlState, number: u32) {
    let key = ClaimKey {
        customer: customer_name(number % CUSTOMERS),
        service: ServiceName::from("filing"),
        key: Arc::from(format!("report-2026-{number:09}")),
    };
    let owner = RequestId(u128::from(number));
    let now = Moment::from_millis(u64::from(number));
    let content = ContentDigest([7; 32]);
    state.apply(Command::Claim {
        key: key.clone(),
        owner,
        content,
        now,
    });
    state.apply(Command::Record {
        key,
        owner,
        state: ClaimState::Unknown,
    });
}

fn announcement(number: u128) -> Announcement {
    Announcement {
        service: ServiceName::from("model"),
        zone: ZoneName::from("zone"),
        id: ServerId::from(format!("engine-{number}")),
        address: Arc::from("127.0.0.1:1"),
        incarnation: 1,
        sequence: 1,
        lease: Duration::from_secs(10),
        memory: Tokens(400_000),
        slots: 32,
        speed: EngineSpeed::default(),
        models: Vec::new(),
        load: LoadReport::default(),
        cache: CacheEvents::default(),
        leaving: false,
    }
}

fn attempt_spec(request: u128) -> AttemptSpec {
    AttemptSpec {
        request: RequestId(request),
        attempt: AttemptId(1),
        entry: VmId::from("vm-1"),
        service: ServiceName::from("model"),
        customer: customer_name(u32::try_from(request % u128::from(CUSTOMERS)).unwrap_or_default()),
        work: WorkEstimate {
            prompt: Tokens(3_000),
            max_output: Tokens(400),
            output: Tokens(340),
        },
        prefix: Arc::from(vec![1; 11]),
        digest: ContentDigest::of(&request.to_le_bytes()),
        time_left: Duration::from_mins(2),
        avoid: Vec::new(),
    }
}
