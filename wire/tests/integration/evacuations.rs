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
    for command in [order("z1", true), order("z1", false)] {
        assert_eq!(
            decode_command(&encode_command(command.clone())),
            Ok(command)
        );
    }
    let answer = WireAnswer::from(Answer::Evacuations(7));
    assert_eq!(Answer::from(answer), Answer::Evacuations(7));
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
