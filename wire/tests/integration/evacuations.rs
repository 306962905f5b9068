//! Evacuated zones in commands, messages and snapshots, across versions.

use merlinrudder_core::control::{Answer, Command, ControlState};
use merlinrudder_core::crash_history::{CrashReport, CrashedRun};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::evacuation::Evacuations;
use merlinrudder_core::names::{ServerId, ZoneName};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::control::{
    WireAnswer, decode_command, decode_state, encode_command, encode_state,
};
use merlinrudder_wire::mesh::{MeshMessage, decode_frame, encode_frame};

use crate::round_trips::commands;

/// State of `commands` as version 837679c encoded it, before there were evacuations.
const RECORDED: &str = "010308646f63756d656e740108637573746f6d65720773657276696365036b657907\
    09090909090909090909090909090909090909090909090909090909090909090501c8010a746578742f706c6169\
    6e0104626f6479010808080808080808080808080808080808080808080808080808080808080808010773657276\
    6963650673657276657204766d2d3101d50f";
/// What follows it there once `crash` was recorded.
const RECORDED_CRASH: &str =
    "01030303030303030303030303030303030303030303030303030303030303030303692d310728320600";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<_> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("two digits");
        u8::from_str_radix(text, 16).expect("two hexadecimal digits")
    };
    digits.chunks(2).map(byte).collect()
}

fn crash() -> Command {
    Command::RecordCrashes(vec![CrashReport {
        content: ContentDigest([3; 32]),
        incarnation: Incarnation {
            server: ServerId::from("i-1"),
            born: 7,
        },
        run: CrashedRun {
            started: Moment::from_millis(40),
            ended: Moment::from_millis(50),
            servers: 6,
            cleared: false,
        },
    }])
}

fn order(zone: &str, active: bool) -> Command {
    let zone = ZoneName::from(zone);
    Command::SetEvacuation { zone, active }
}

fn numbered(zone: &str, active: bool, after: u64) -> Command {
    Command::OrderEvacuation {
        zone: ZoneName::from(zone),
        active,
        after,
    }
}

/// Returns the state of `commands`, and of `more` after them.
fn state_of(more: &[Command]) -> ControlState {
    let mut state = ControlState::default();
    for command in commands().into_iter().chain(more.to_vec()) {
        state.apply(command);
    }
    state
}

#[test]
fn orders_answers_and_messages_round_trip() {
    for command in [order("z1", true), numbered("z1", false, 9)] {
        assert_eq!(
            decode_command(&encode_command(command.clone())),
            Ok(command)
        );
    }
    for answer in [Answer::Evacuations(7), Answer::EvacuationOvertaken(3)] {
        let wire = WireAnswer::from(answer.clone());
        assert_eq!(Answer::from(wire), answer);
    }
    let evacuations = state_of(&[order("z1", true), order("z2", true)]).evacuations;
    let message = MeshMessage::Evacuations(evacuations.clone().into());
    let decoded = decode_frame(&encode_frame(&message)).expect("a valid frame");
    let MeshMessage::Evacuations(decoded) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!(Evacuations::from(decoded), evacuations);
}

/// Guards against a control VM that cannot read its data folder after an upgrade.
#[test]
fn snapshots_recorded_before_there_were_evacuations_decode_and_are_encoded_as_before() {
    let without = bytes(RECORDED);
    let with_crash = [bytes(RECORDED), bytes(RECORDED_CRASH)].concat();
    for (recorded, state) in [
        (without, state_of(&[])),
        (with_crash, state_of(&[crash()])),
        (vec![0; 4], ControlState::default()),
    ] {
        assert_eq!(decode_state(&recorded), Ok(state.clone()));
        assert_eq!(encode_state(&state).as_ref(), recorded.as_slice());
    }
}

/// Guards against a snapshot that a control VM of an earlier version cannot read: it decodes the
/// crashed runs and ignores what follows them.
#[test]
fn what_precedes_the_evacuations_in_a_snapshot_is_as_before() {
    let crashed = [bytes(RECORDED), bytes(RECORDED_CRASH)].concat();
    let no_crash = [bytes(RECORDED), vec![0]].concat();
    for (earlier, more) in [(crashed, vec![crash()]), (no_crash, Vec::new())] {
        for orders in [
            vec![order("z1", true)],
            vec![order("z1", true), order("z1", false)],
        ] {
            let state = state_of(&[more.clone(), orders].concat());
            let encoded = encode_state(&state);
            assert!(encoded.starts_with(&earlier));
            assert!(encoded.len() > earlier.len(), "the evacuations follow");
            assert_eq!(decode_state(&encoded), Ok(state));
        }
    }
}

/// Guards against a log of an earlier version that a control VM cannot read after an upgrade.
#[test]
fn a_command_recorded_before_orders_had_numbers_decodes() {
    // `SetEvacuation` of z1, as version 82545bf encoded it.
    let recorded = bytes("07027a3101");
    assert_eq!(decode_command(&recorded), Ok(order("z1", true)));
    assert_eq!(
        encode_command(order("z1", true)).as_ref(),
        recorded.as_slice()
    );
}

/// Guards against numbers that a snapshot loses, and with them the protection from late orders.
#[test]
fn the_numbers_of_orders_survive_a_snapshot() {
    // The second state has no evacuated zone and no change, and yet an order.
    for (orders, late) in [
        (
            vec![numbered("z1", true, 0), numbered("z2", true, 0)],
            false,
        ),
        (vec![numbered("z1", false, 0)], true),
    ] {
        let mut state = decode_state(&encode_state(&state_of(&orders))).expect("a snapshot");
        assert_eq!(state, state_of(&orders));
        let late = state.apply(numbered("z1", late, 0));
        assert_eq!(late, Answer::EvacuationOvertaken(1));
    }
}

/// Guards against snapshots of either version that the other one cannot read.
#[test]
fn numbers_of_orders_follow_what_an_earlier_version_reads_of_a_snapshot() {
    let earlier = state_of(&[order("z1", true)]);
    let recorded = encode_state(&earlier);
    assert!(recorded.ends_with(&bytes("0101027a31")), "as before");
    assert_eq!(decode_state(&recorded), Ok(earlier));
    let encoded = encode_state(&state_of(&[order("z1", true), numbered("z2", false, 0)]));
    assert!(encoded.starts_with(&recorded));
    assert!(encoded.len() > recorded.len(), "the numbers follow");
}
