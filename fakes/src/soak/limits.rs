//! Backend servers that name a limit on their request rate, and the check that it is kept.

use std::thread;
use std::time::{Duration, Instant};

use super::{PROXIED_BACKENDS, SoakHarness, lock};

/// Limits that servers name, in requests a second.
const RATES: [f64; 4] = [0.0, 1.5, 4.0, 12.0];
/// Time for which a limit is named, beyond the duration of the fault.
const MIN_TIME: Duration = Duration::from_secs(5);
/// Time from the naming of a limit until all VMs know it.
const TELL_TIME: Duration = Duration::from_secs(1);
/// Time after a crash in which the next lifetime begins and names its limit.
const CRASH_EXCUSE: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;

/// A limit that a server has named.
#[derive(Clone, Copy, Debug)]
pub(super) struct NamedLimit {
    backend: usize,
    rate: f64,
    start: Instant,
    end: Instant,
}

/// Lets a server without a proxy name a limit for a while, unless it names one already.
pub(super) fn apply(harness: &SoakHarness, number: usize, duration: Duration) {
    let backend = PROXIED_BACKENDS + number % (harness.backends.len() - PROXIED_BACKENDS);
    if !lock(&harness.limited_backends).insert(backend) {
        return;
    }
    let rate = RATES[number % RATES.len()];
    let server = &harness.backends[backend].server;
    server.set_limits(&[&rate.to_string()]);
    let start = Instant::now();
    thread::sleep(MIN_TIME + duration);
    let end = Instant::now();
    server.set_limits(&[]);
    lock(&harness.named_limits).push(NamedLimit {
        backend,
        rate,
        start,
        end,
    });
    lock(&harness.limited_backends).remove(&backend);
}

/// Checks each window of each limit, once all VMs know it.
///
/// A window in which the server crashed, or shortly before, is left out: its next lifetime has not
/// named the limit yet.
pub(super) fn check(harness: &SoakHarness) {
    for limit in lock(&harness.named_limits).iter() {
        let server = &harness.backends[limit.backend].server;
        let crashed = server.crash_times();
        let from = limit.start + TELL_TIME;
        let mut times: Vec<_> = server.executions().iter().map(|ran| ran.started).collect();
        times.retain(|time| (from..limit.end).contains(time));
        let allowed = limit.rate * WINDOW.as_secs_f64() * 1.5 + SLACK;
        for start in &times {
            let window = *start..*start + WINDOW;
            if crashed
                .iter()
                .any(|at| window.contains(&(*at + CRASH_EXCUSE)) || window.contains(at))
            {
                continue;
            }
            let arrivals = times.iter().filter(|time| window.contains(*time)).count();
            #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
            if arrivals as f64 > allowed {
                harness.record_violation(format!(
                    "{} named {} a second and got {arrivals} in {WINDOW:?}, {allowed} allowed",
                    server.id, limit.rate
                ));
                break;
            }
        }
    }
}
