//! Cost of the crash history at several sizes, and of the digest that identifies a request.

use std::hint::black_box;
use std::time::{Duration, Instant};

use merlinrudder_core::crash_history::{CrashHistory, CrashReport, CrashVerdict, CrashedRun};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::crashes::WireCrashReport;
use merlinrudder_wire::mesh::{MeshMessage, encode_frame};

/// Times that each operation is repeated.
const REPETITIONS: u32 = 200;
/// Runs that ended with each server, all of different contents.
const RUNS_PER_CRASH: u32 = 12;
/// Time between two crashes, beyond that of a widespread failure.
const CRASH_INTERVAL: Duration = Duration::from_secs(1);

/// Prints the time of the digest by body size, and the costs of the history by number of contents.
pub(super) fn print_crashes() {
    println!("\nbody bytes, microseconds for the digest");
    for bytes in [5_000, 50_000, 400_000, 4_000_000] {
        let body = vec![7; bytes];
        let time = micros(|_| {
            black_box(ContentDigest::of_parts(&[b"/path", b"customer", &body]));
        });
        println!("{bytes}, {time:.1}");
    }
    println!(
        "\ncontents, microseconds to merge a report, and for the verdict on a content in quarantine, \
         bytes of a message with all reports a report"
    );
    for contents in [100, 1_000, 4_000] {
        print_history(contents);
    }
}

fn print_history(contents: u32) {
    let mut history = CrashHistory::default();
    for number in 0..contents {
        history.merge(&report(number, number / RUNS_PER_CRASH));
    }
    let culprit = 0;
    for crash in 0..3 {
        history.merge(&report(culprit, contents + crash));
    }
    let now = Moment::default() + CRASH_INTERVAL * (contents + 4);
    let content = report(culprit, 0).content;
    assert_ne!(history.verdict(now, &content), CrashVerdict::Allowed);
    let verdict = micros(|_| {
        black_box(history.verdict(now, &content));
    });
    let reports: Vec<_> = history
        .reports()
        .map(|report| WireCrashReport::new(now, &report))
        .collect();
    let count = reports.len();
    let bytes = encode_frame(&MeshMessage::CrashReports(reports)).len() / count;
    let merge = micros(|number| {
        history.merge(&report(contents + number, contents + number));
    });
    println!("{contents}, {merge:.2}, {verdict:.1}, {bytes}");
}

/// Report of a content that ran on a server when it crashed.
fn report(content: u32, server: u32) -> CrashReport {
    let ended = Moment::default() + CRASH_INTERVAL * (server + 1);
    CrashReport {
        content: ContentDigest::of(&content.to_le_bytes()),
        incarnation: Incarnation {
            server: ServerId::from(format!("i-{server:010}")),
            born: ended.as_millis(),
        },
        run: CrashedRun {
            started: ended - CRASH_INTERVAL / 2,
            ended,
            servers: 600,
            cleared: false,
        },
    }
}

/// Returns the mean microseconds of an operation, which is given its number.
fn micros(mut operation: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..REPETITIONS {
        operation(number);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}
