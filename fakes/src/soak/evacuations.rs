//! Orders to evacuate an availability zone, and the check that its servers get no requests.

use std::collections::BTreeSet;
use std::sync::PoisonError;
use std::thread;
use std::time::{Duration, Instant};

use super::{PROXIED_BACKENDS, SoakHarness, lock};
use crate::nodes::CONTROL_VMS;

/// Zone of the backend servers without a proxy, which is the one that is evacuated.
const EVACUATED_ZONE: &str = "z1";
/// Zone of all other servers.
const OTHER_ZONE: &str = "z0";
/// Time from the acknowledgement until no more requests may reach the zone.
const EVACUATE_TIME: Duration = Duration::from_secs(5);
/// Time for which an order is sent again, as operators do.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// An acknowledged evacuation that was withdrawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evacuation {
    acknowledged: Instant,
    withdrawn: Instant,
}

/// Returns the zone of a backend server.
pub(super) fn zone(harness: &SoakHarness, backend: usize) -> &'static str {
    if harness.options.evacuations && backend >= PROXIED_BACKENDS {
        EVACUATED_ZONE
    } else {
        OTHER_ZONE
    }
}

/// Evacuates the zone for a while, unless it is evacuated already.
pub(super) fn apply(harness: &SoakHarness, duration: Duration) {
    // A panic of another thread is reported by itself.
    let _only = match harness.evacuating.try_lock() {
        Ok(guard) => guard,
        Err(std::sync::TryLockError::Poisoned(poisoned)) => PoisonError::into_inner(poisoned),
        Err(std::sync::TryLockError::WouldBlock) => return,
    };
    let is_acknowledged = order(harness, true);
    let acknowledged = Instant::now();
    thread::sleep(EVACUATE_TIME + duration);
    let withdrawn = Instant::now();
    // Also an order without an answer may be in force.
    while !order(harness, false) && !harness.is_stopped() {}
    if is_acknowledged {
        lock(&harness.evacuations).push(Evacuation {
            acknowledged,
            withdrawn,
        });
    }
}

/// Gives an order to one control VM after the other; returns whether it was acknowledged in time.
fn order(harness: &SoakHarness, active: bool) -> bool {
    let start = Instant::now();
    let mut controls = (0..CONTROL_VMS).cycle();
    while start.elapsed() < ACK_TIMEOUT {
        let control = controls.next().unwrap_or_default();
        let status = harness
            .nodes
            .order_evacuation(control, EVACUATED_ZONE, active);
        if status == 200 {
            return true;
        }
    }
    false
}

/// Checks that no request through an undisturbed VM ran in the zone while it was evacuated.
pub(super) fn check(harness: &SoakHarness) {
    let tries = lock(&harness.first_tries);
    let undisturbed = tries.iter().filter(|one| one.undisturbed);
    let undisturbed: BTreeSet<_> = undisturbed.map(|one| one.attempt.as_str()).collect();
    let evacuated = harness.backends.iter().skip(PROXIED_BACKENDS);
    let runs: Vec<_> = evacuated
        .flat_map(|backend| backend.server.executions())
        .collect();
    for evacuation in lock(&harness.evacuations).iter() {
        let window = evacuation.acknowledged + EVACUATE_TIME..evacuation.withdrawn;
        let late = runs.iter().filter(|ran| {
            window.contains(&ran.started) && undisturbed.contains(ran.attempt.as_str())
        });
        let late: Vec<_> = late.map(|ran| ran.attempt.as_str()).collect();
        if !late.is_empty() {
            harness.record_violation(format!(
                "requests {late:?} ran in {EVACUATED_ZONE} more than {EVACUATE_TIME:?} after its \
                 evacuation was acknowledged"
            ));
        }
    }
}
