//! Check that no stream is cut while its server is sound and at work.

use std::time::{Duration, Instant};

use super::{SoakBackend, SoakHarness, lock};
use crate::backend::{Execution, ExecutionEnd};
use crate::http_client::HttpResponse;

/// Time before the end of a request's timeout in which its stream may be cut.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Records a stream through an undisturbed VM that was cut in time.
pub(super) fn record(
    harness: &SoakHarness,
    attempt: &str,
    response: &HttpResponse,
    left: Duration,
) {
    let is_cut = !response.whole && [0, 200].contains(&response.status);
    if is_cut && left > TIMEOUT_MARGIN {
        lock(&harness.cut_streams).push((attempt.to_owned(), Instant::now()));
    }
}

/// Checks that the last server of each such stream had not been left while it was at work.
pub(super) fn check(harness: &SoakHarness) {
    for (attempt, cut) in lock(&harness.cut_streams).iter() {
        let runs = harness.backends.iter().flat_map(|backend| {
            let runs = backend.server.executions().into_iter();
            runs.map(move |ran| (backend, ran))
        });
        let last = runs
            .filter(|(_, ran)| ran.attempt == *attempt)
            .max_by_key(|(_, ran)| ran.started);
        if let Some((backend, ran)) = last
            && ran.end == ExecutionEnd::Abandoned
            && !was_impaired(backend, &ran, *cut)
        {
            harness.record_violation(format!(
                "stream {attempt} was cut while its sound server {} was at work",
                backend.server.id
            ));
        }
    }
}

/// Whether the proxy of a server may have closed the connection of a run.
fn was_impaired(backend: &SoakBackend, ran: &Execution, cut: Instant) -> bool {
    let impairments = lock(&backend.impairments);
    impairments
        .iter()
        .any(|(start, end)| *start <= cut && *end >= ran.started)
}
