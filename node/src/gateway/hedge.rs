//! Hedges: second attempts while the server of the first one is silent.
//!
//! A sound server may fall silent and go on. It is only left once another one has answered: the
//! retry is granted, the server selected and its response begun while the first attempt continues.

use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::RetryReason;
use slog::info;

use super::crash_verdict;
use super::exchange::{Failure, Progress, UpstreamResponse, attempt};
use super::request::CallerRequest;
use super::selection::{Selection, select_servers};
use super::state::Gateway;
use crate::metrics;

/// Wait before a hedge is tried again that could not be sent.
pub(super) const HEDGE_INTERVAL: Duration = Duration::from_millis(200);

/// Why a hedge yielded no response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum HedgeFailure {
    /// Nothing was sent: no server is free, no retry is left, or the content may crash servers.
    NotSent,
    /// The attempt at this server failed.
    Failed(Incarnation, Failure),
}

/// Sends a request to a server that is not in `excluded`, and returns once its response head is there.
///
/// # Errors
/// Returns why there is no response; the first attempt is not affected.
pub(super) async fn open(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    excluded: &[ServerId],
    last_event: Option<u64>,
    progress: &Progress,
) -> Result<UpstreamResponse, HedgeFailure> {
    if crash_verdict::is_suspect(gateway, call) {
        return Err(HedgeFailure::NotSent);
    }
    let Selection::Selected(selected) = select_servers(gateway, call, excluded) else {
        return Err(HedgeFailure::NotSent);
    };
    if !gateway.spend_retry(&call.service) {
        return Err(HedgeFailure::NotSent);
    }
    metrics::count_retry(RetryReason::ServerSilent);
    let incarnation = selected.incarnation();
    info!(gateway.log, "Hedge sent"; "request" => call.attempt_id_text(),
        "server" => %incarnation.server, "silent" => excluded.last().map(ServerId::as_str),
        "after_ms" => gateway.now().since(call.received_at).as_millis());
    let response = attempt(gateway, call, selected, last_event, progress).await;
    response.map_err(|failure| HedgeFailure::Failed(incarnation, failure))
}
