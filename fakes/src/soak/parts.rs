//! Callers whose requests share a part that crashes servers, and the check of how often they run.

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::{SoakHarness, crashes};
use crate::backend::{CRASHING_PART, CrashPoint, Execution};
use crate::http_client::send_request_with_headers;
use crate::nodes::CONTROL_VMS;

/// First part of all prompts, with its tokens.
const FIRST_PART: &str = "a11ce:40";
/// Duration of a series of requests, in milliseconds.
const SERIES_MS: Range<u64> = 2_000..6_000;
/// Time between two such series, in milliseconds.
const PAUSE_MS: Range<u64> = 500..3_000;
/// Time between two requests of a series, in milliseconds.
const INTERVAL_MS: Range<u64> = 100..200;
/// Crashes after which the part must be recognised.
const MAX_CRASHES: usize = 5;
/// How much of an answer the servers send before the part crashes them, in turn.
const CRASH_POINTS: [CrashPoint; 3] = [
    CrashPoint::AfterHead,
    CrashPoint::AfterEvent,
    CrashPoint::WithinEvent,
];

/// Returns the headers of a sound request, whose last part no other one has.
pub(super) fn sound_headers(caller: u64, number: u64) -> String {
    format!("X-Merlinrudder-Prompt-Prefix: {FIRST_PART},{caller:x}{number:08x}:500\r\n")
}

/// Sets how the servers crash, and that every second one returns under a new id.
pub(super) fn prepare(harness: &SoakHarness) {
    for (number, backend) in harness.backends.iter().enumerate() {
        let crash_point = CRASH_POINTS[number % CRASH_POINTS.len()];
        backend.server.set_crash_point(crash_point);
        backend.server.set_new_ids(number % 2 == 1);
    }
}

/// Sends series of requests with the crashing part through random entry VMs, no two alike.
pub(super) fn run_caller(harness: &SoakHarness, caller: usize, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(41).wrapping_add(caller as u64));
    let mut number = 0;
    thread::scope(|scope| {
        while !harness.is_stopped() {
            let interval = Duration::from_millis(rng.u64(INTERVAL_MS));
            let end = Instant::now() + Duration::from_millis(rng.u64(SERIES_MS));
            while Instant::now() < end && !harness.is_stopped() {
                number += 1;
                let entry = rng.usize(CONTROL_VMS..harness.nodes.len());
                scope.spawn(move || send(harness, entry, caller, number));
                thread::sleep(interval);
            }
            thread::sleep(Duration::from_millis(rng.u64(PAUSE_MS)));
        }
    });
}

fn send(harness: &SoakHarness, entry: usize, caller: usize, number: u64) {
    let unique = format!("{caller:x}{number:08x}");
    let path = format!("POST /stream/{unique}");
    let headers =
        format!("X-Merlinrudder-Prompt-Prefix: {FIRST_PART},{CRASHING_PART}:2000,{unique}:500\r\n");
    let attempt = format!("part-{unique}");
    crashes::record_attempt(harness, entry, attempt, |address, attempt| {
        send_request_with_headers(address, &path, attempt, "k1", &headers)
    });
}

/// Returns the runs of requests with the crashing part.
pub(super) fn runs(harness: &SoakHarness) -> Vec<Execution> {
    let mut runs = harness.executions();
    runs.retain(Execution::has_crashing_part);
    runs
}

/// Checks that undisturbed VMs sent no request with the part to servers more often than allowed.
pub(super) fn check(harness: &SoakHarness) {
    let backends = harness.backends.iter();
    let mut times: Vec<_> = backends
        .flat_map(|backend| backend.server.part_crash_times())
        .collect();
    times.sort();
    let Some(fifth) = times.get(MAX_CRASHES - 1) else {
        return;
    };
    let late = crashes::count_late(harness, &runs(harness), *fifth);
    if late > crashes::MAX_LATE_RUNS {
        harness.record_violation(format!(
            "requests with a crashing part were sent {late} times later than {:?} after its \
             fifth crash",
            crashes::STABILITY_WINDOW
        ));
    }
}
