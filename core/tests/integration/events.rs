//! Event streams that arrive in chunks split at arbitrary bytes.

use merlinrudder_core::events::{EventSplitter, MAX_EVENT_BYTES};
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid:3\ndata: d\n\n";

#[test]
fn an_event_is_held_back_until_it_is_complete() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 7\ndata: x\n").is_empty());
    assert!(splitter.is_partial());
    let events = splitter.push(b"\n");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(events[0].bytes, b"id: 7\ndata: x\n\n");
    assert!(!splitter.is_partial());
}

#[test]
fn an_event_and_comments_without_an_end_are_noticed() {
    let line = [b"data: ".as_slice(), &vec![b'x'; 1000], b"\n"].concat();
    let mut splitter = EventSplitter::default();
    let lines = MAX_EVENT_BYTES / line.len();
    for _ in 0..lines {
        assert!(splitter.push(&line).is_empty() && !splitter.is_over_limit());
    }
    splitter.push(&line);
    assert!(splitter.is_over_limit());
    let mut splitter = EventSplitter::default();
    for _ in 0..MAX_EVENT_BYTES / 8 {
        assert_eq!(splitter.push(b": alive\n\n").len(), 1);
    }
    assert!(splitter.is_over_limit());
    splitter.push(b": alive\nid: 1\n\n");
    assert!(!splitter.is_over_limit());
}

/// Guards against bytes of another response in the middle of a stream.
#[test]
fn only_comments_have_no_number_between_numbered_events() {
    let mut splitter = EventSplitter::default();
    let stream = b"id: 7\ndata: x\n\n: alive\n\nHTTP/1.1 503 Busy\r\nA: b\r\n\r\n";
    let events = splitter.push(stream);
    let follows: Vec<_> = events.iter().map(|event| event.follows(Some(6))).collect();
    assert_eq!(follows, [true, true, false]);
    assert!(events.iter().all(|event| event.follows(None)));
    assert!(!events[0].follows(Some(7)) && !events[0].follows(Some(u64::MAX)));
}

/// Guards against streams that are cut where an event holds several tokens and is numbered by the last one.
#[test]
fn numbers_of_events_increase_and_may_have_gaps() {
    let mut splitter = EventSplitter::default();
    let events = splitter.push(b"id: 43\ndata: x\n\nid: 86\ndata: y\n\n");
    assert!(events[0].follows(None) && events[0].follows(Some(0)));
    assert!(events[1].follows(Some(43)));
    assert!(!events[0].follows(Some(86)), "an earlier event");
    assert!(!events[1].follows(Some(86)), "the same event twice");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(43), ..ProptestConfig::default() })]

    #[test]
    fn events_do_not_depend_on_chunk_boundaries(cuts in prop::collection::vec(0..STREAM.len(), 0..6)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        cuts.push(STREAM.len());
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut start = 0;
        for cut in cuts {
            events.extend(splitter.push(&STREAM[start..cut]));
            start = cut;
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        prop_assert_eq!(ids, vec![Some(1), Some(2), Some(3)]);
        let joined: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(joined, STREAM.to_vec());
        prop_assert!(!splitter.is_partial());
    }
}
