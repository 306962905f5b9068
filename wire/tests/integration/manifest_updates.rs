//! Manifests sent as differences: restored exactly, or refused.

use std::sync::Arc;

use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_history::{ManifestHistory, ManifestStep};
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::compression::{MAX_DOCUMENT_BYTES, compress, expand};
use merlinrudder_wire::manifest_update::WireManifestUpdate;
use merlinrudder_wire::mesh::{MeshMessage, compress_frame, decode_frame, encode_frame};
use proptest::collection::vec;
use proptest::prelude::*;

/// Returns a document with this number of routes; `timeout` is that of the middle one.
fn document(number: u64, routes: usize, timeout: u32) -> Vec<u8> {
    let route = |at: usize| {
        let name = u64::try_from(at)
            .expect("a number")
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if at == routes / 2 { timeout } else { 10_000 };
        format!(r#"{{"name":"r-{name:x}","path-prefix":"/{name:x}/","timeout-ms":{timeout}}}"#)
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    format!(r#"{{"version":{number},"routes":[{}]}}"#, routes.join(",")).into_bytes()
}

fn step(base: u64, number: u64, from: &[u8], to: &[u8]) -> ManifestStep {
    ManifestStep {
        base: ManifestNumber(base),
        number: ManifestNumber(number),
        length: to.len(),
        data: Arc::from(compress(to, from)),
    }
}

fn update(steps: Vec<ManifestStep>, document: &[u8]) -> WireManifestUpdate {
    WireManifestUpdate::new(ContentDigest::of(document), steps)
}

/// Guards against differences that grow with the document, which filled the links of control VMs.
#[test]
fn a_changed_route_costs_few_bytes_in_a_large_document() {
    for routes in [100, 10_000, 40_000] {
        let (old, new) = (document(1, routes, 10_000), document(2, routes, 20_000));
        let step = step(1, 2, &old, &new);
        let bytes = step.data.len();
        assert!(bytes < 4_000, "{bytes} of {}", new.len());
        let update = update(vec![step], &new);
        assert_eq!(update.expand(&old).as_ref(), Ok(&new));
    }
}

#[test]
fn a_vm_several_numbers_behind_gets_all_steps() {
    let documents: Vec<_> = (1..=5)
        .map(|number| document(u64::from(number), 50, 10 * number))
        .collect();
    let mut history = ManifestHistory::default();
    for (number, pair) in (1..).zip(documents.windows(2)) {
        history.record(step(number, number + 1, &pair[0], &pair[1]));
    }
    for (number, known) in (1..5).zip(&documents) {
        let steps = history.steps_since(ManifestNumber(number), usize::MAX);
        let update = update(steps.expect("all steps"), &documents[4]);
        let frame = encode_frame(&MeshMessage::ManifestUpdate(update));
        let Ok(MeshMessage::ManifestUpdate(update)) = decode_frame(&frame) else {
            panic!("another message");
        };
        assert_eq!(update.number, 5);
        assert_eq!(update.base(), ManifestNumber(number));
        assert_eq!(update.expand(known).as_ref(), Ok(&documents[4]));
    }
    assert_eq!(history.steps_since(ManifestNumber(9), usize::MAX), None);
    assert_eq!(history.steps_since(ManifestNumber(1), 10), None);
}

#[test]
fn a_gap_starts_a_new_history_and_old_steps_are_dropped() {
    let mut history = ManifestHistory::default();
    for number in 1..200 {
        history.record(step(number, number + 1, b"a", b"b"));
    }
    assert_eq!(history.steps_since(ManifestNumber(1), usize::MAX), None);
    assert!(
        history
            .steps_since(ManifestNumber(199), usize::MAX)
            .is_some()
    );
    history.record(step(300, 301, b"a", b"b"));
    assert_eq!(history.steps_since(ManifestNumber(199), usize::MAX), None);
    assert!(
        history
            .steps_since(ManifestNumber(300), usize::MAX)
            .is_some()
    );
}

/// Guards against a document that another base or damage makes up.
#[test]
fn a_difference_from_another_base_is_refused() {
    let (old, new) = (document(1, 500, 10_000), document(2, 500, 20_000));
    let other = document(1, 499, 10_000);
    let update = update(vec![step(1, 2, &old, &new)], &new);
    update.expand(&other).unwrap_err();
    update.expand(&[]).unwrap_err();
}

#[test]
fn a_document_longer_than_said_is_refused() {
    let bytes = vec![7; 1_000_000];
    let compressed = compress(&bytes, &[]);
    expand(&compressed, &[], 999_999).unwrap_err();
    expand(&compressed, &[], 1_000_001).unwrap_err();
    expand(&compressed, &[], MAX_DOCUMENT_BYTES + 1).unwrap_err();
    assert_eq!(expand(&compressed, &[], bytes.len()).as_ref(), Ok(&bytes));
}

/// Guards against documents that fill the links between control VMs.
#[test]
fn a_large_frame_is_compressed_and_a_small_or_random_one_is_not() {
    let message = |bytes: Vec<u8>| MeshMessage::Manifest {
        number: 2,
        bytes: Arc::from(bytes),
        current: true,
    };
    let large = message(document(2, 10_000, 10_000));
    let frame = encode_frame(&large);
    let compressed = compress_frame(&frame).expect("a compressed frame");
    assert!(compressed.len() * 5 < frame.len(), "{}", compressed.len());
    assert_eq!(decode_frame(&compressed), Ok(large));
    decode_frame(&compressed[..compressed.len() - 1]).unwrap_err();
    decode_frame(&compressed[..4]).unwrap_err();
    assert_eq!(
        compress_frame(&encode_frame(&message(document(2, 10, 0)))),
        None
    );
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    let random = (0..1_250).flat_map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    });
    assert_eq!(compress_frame(&random.collect::<Vec<_>>()), None);
}

/// Guards against a build that cannot read what the one before wrote to disk or sent.
#[test]
fn shared_bytes_are_encoded_as_in_earlier_versions() {
    let message = MeshMessage::Manifest {
        number: 2,
        bytes: Arc::from(*b"ab"),
        current: true,
    };
    let frame = encode_frame(&message);
    // Length and bytes of the document stand between the number and the last field.
    assert_eq!(frame[frame.len() - 5..], [2, 2, b'a', b'b', 1]);
}

proptest! {
    #[test]
    fn any_document_is_restored_from_any_base(
        base in vec(any::<u8>(), 0..3_000),
        document in vec(any::<u8>(), 0..3_000),
    ) {
        let compressed = compress(&document, &base);
        prop_assert_eq!(expand(&compressed, &base, document.len()), Ok(document));
    }

    #[test]
    fn foreign_bytes_are_refused_without_a_panic(
        bytes in vec(any::<u8>(), 0..200),
        length in 0_usize..1_000,
    ) {
        if let Ok(expanded) = expand(&bytes, b"base", length) {
            prop_assert_eq!(expanded.len(), length);
        }
    }
}
