//! Estimates of the capacity of servers on their way to another VM.

use std::time::Duration;

use merlinrudder_core::capacity::{Estimate, Report};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::capacities::WireCapacity;
use merlinrudder_wire::mesh::{MeshMessage, decode_frame, encode_frame};

/// Guards against times of the sender's clock being taken for the receiver's.
#[test]
fn estimates_keep_their_age_on_another_clock() {
    let sent_at = Moment::from_millis(90_000);
    let age = Duration::from_millis(1_250);
    let report = |now: Moment| Report {
        server: Incarnation {
            server: ServerId::from("e-7"),
            born: 17,
        },
        estimate: Estimate {
            pace: 3.75,
            weight: 0.25,
            busy: 9,
            at: now - age,
        },
    };
    let wire = WireCapacity::new(sent_at, &report(sent_at));
    let frame = encode_frame(&MeshMessage::Capacities(vec![wire]));
    let Ok(MeshMessage::Capacities(mut received)) = decode_frame(&frame) else {
        panic!("not the message that was encoded");
    };
    let received_at = Moment::from_millis(5_000);
    let wire = received.pop().expect("one estimate");
    assert_eq!(wire.into_core(received_at), report(received_at));
}

/// Guards against an age beyond the start of the clock, which a faulty VM may send.
#[test]
fn an_age_beyond_the_receivers_clock_is_bounded() {
    let report = Report {
        server: Incarnation {
            server: ServerId::from("e-7"),
            born: 17,
        },
        estimate: Estimate {
            pace: f64::NAN,
            weight: -1.0,
            busy: u32::MAX,
            at: Moment::default(),
        },
    };
    let wire = WireCapacity::new(Moment::from_millis(u64::MAX), &report);
    let received = wire.into_core(Moment::from_millis(10));
    assert_eq!(received.estimate.at, Moment::default());
    assert_eq!(received.estimate.bounded(), None);
}
