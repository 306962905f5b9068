//! Fuzz tests: decoders of untrusted bytes never panic, whatever the input.

use merlinrudder_core::registry::Announcement;
use merlinrudder_wire::announce::WireAnnouncement;
use merlinrudder_wire::consensus::decode_record;
use merlinrudder_wire::control::{decode_command, decode_state};
use merlinrudder_wire::manifest::parse_manifest;
use merlinrudder_wire::mesh::{MESH_VERSION, decode_frame};
use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 20_000;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Generates random bytes, with or without a valid version byte.
///
/// Some of the frames with a version byte hold only bytes below 16.
fn frame_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let versioned = vec(any::<u8>(), 0..80).prop_map(|mut bytes| {
        bytes.insert(0, MESH_VERSION);
        bytes
    });
    let small_values = vec(0..16_u8, 0..80).prop_map(|mut bytes| {
        bytes.insert(0, MESH_VERSION);
        bytes
    });
    prop_oneof![vec(any::<u8>(), 0..80), versioned, small_values]
}

#[test]
fn binary_decoders_never_panic() {
    let result = runner().run(&frame_like_bytes(), |bytes| {
        drop(decode_frame(&bytes));
        drop(decode_record(&bytes));
        drop(decode_command(&bytes));
        drop(decode_state(&bytes));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

/// Generates token sequences that resemble a manifest document.
fn manifest_like_text() -> impl Strategy<Value = String> {
    let tokens = prop_oneof![
        proptest::strategy::Just("{"),
        proptest::strategy::Just("}"),
        proptest::strategy::Just("["),
        proptest::strategy::Just("]"),
        proptest::strategy::Just(","),
        proptest::strategy::Just(":"),
        proptest::strategy::Just("\"number\""),
        proptest::strategy::Just("\"services\""),
        proptest::strategy::Just("\"customers\""),
        proptest::strategy::Just("\"name\""),
        proptest::strategy::Just("1"),
        proptest::strategy::Just("-1e999"),
        proptest::strategy::Just("null"),
    ];
    vec(tokens, 0..40).prop_map(|tokens| tokens.concat())
}

#[test]
fn json_parsers_never_panic() {
    let result = runner().run(&manifest_like_text(), |text| {
        drop(parse_manifest(text.as_bytes()));
        if let Ok(wire) = serde_json::from_str::<WireAnnouncement>(&text) {
            drop(Announcement::try_from(wire));
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}
