//! Calls whose response is buffered and forwarded once it is complete.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Response;
use hyper::http::response::Parts;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use slog::info;

use super::attempts::Attempts;
use super::body::ResponseBody;
use super::crash_verdict;
use super::crash_watch;
use super::exchange::{
    Prefetched, UpstreamResponse, forwarded_response, is_framed, read_whole, return_to_pool,
};
use super::open_requests::Phase;
use super::refusal;
use super::request::CallerRequest;
use super::state::Gateway;
use crate::metrics;

/// Serves a non-streaming call, with retries where its route allows them.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<ResponseBody> {
    let mut attempts = Attempts::new();
    loop {
        let upstream_response = match attempts.run_until_response(gateway, &call, None).await {
            Ok(upstream_response) => upstream_response,
            Err(refusal) => return refuse_request(gateway, &call, &refusal),
        };
        let finished = finish(gateway, &call, &attempts, upstream_response);
        if let Some(response) = finished.await {
            return response;
        }
    }
}

/// Reads a response to its end and builds the one for the caller; `None` if a retry follows.
///
/// A 5xx response counts as a failed attempt; it is forwarded if no retry may follow.
pub(super) async fn finish(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    attempts: &Attempts,
    mut upstream_response: UpstreamResponse,
) -> Option<Response<ResponseBody>> {
    let server = upstream_response.selected.server.clone();
    let run = upstream_response.run.take();
    let complete_response = read_response(gateway, call, upstream_response).await;
    let succeeded = matches!(&complete_response, Some((head, _)) if !head.status.is_server_error());
    match (&complete_response, run) {
        (None, Some(run)) => run.broke(),
        (Some((head, _)), _) if head.status.is_success() && is_framed(head) => {
            crash_watch::record_completed(gateway, call);
        }
        _ => {}
    }
    let server_outcome = if succeeded {
        ServerOutcome::Succeeded
    } else {
        ServerOutcome::Failed
    };
    let now = gateway.now();
    gateway
        .fleet
        .borrow_mut()
        .record_outcome(now, &server, server_outcome);
    if !succeeded {
        attempts.tally.exclude(&server);
        if attempts.try_retry(gateway, call).is_ok() {
            metrics::count_retry(RetryReason::IdempotentBroken);
            crash_verdict::await_evidence(gateway, call, RunState::MayHaveRun).await;
            return None;
        }
    }
    let Some((head, body)) = complete_response else {
        let refusal = Refusal {
            reason: RefusalReason::ServerFailed,
            run: attempts.run_state(),
            retry_after: None,
        };
        return Some(refuse_request(gateway, call, &refusal));
    };
    info!(gateway.log, "Request completed"; "request" => call.attempt_id_text(),
        "route" => &*call.route.name, "server" => %server, "status" => head.status.as_u16(),
        "took_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
    call.guard.end();
    metrics::count_outcome(call.service.as_str(), "complete");
    Some(forwarded_response(&head, ResponseBody::buffered(body)))
}

/// Logs an admitted request that is refused or failed, and builds its response.
pub(super) fn refuse_request(
    gateway: &Gateway,
    call: &CallerRequest,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    info!(gateway.log, "Request failed"; "request" => call.attempt_id_text(),
        "route" => &*call.route.name, "reason" => refusal.reason.code(),
        "run" => refusal.run.as_str(),
        "after_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
    call.guard.end();
    metrics::count_outcome(call.service.as_str(), "given_up");
    refusal::response(refusal)
}

/// Reads the response body; `None` if it is cut, too large or late.
async fn read_response(
    gateway: &Gateway,
    call: &CallerRequest,
    mut upstream_response: UpstreamResponse,
) -> Option<(Parts, Bytes)> {
    call.guard.enter(Phase::Body);
    let time_left = call.time_left(gateway.now());
    let body = match std::mem::take(&mut upstream_response.prefetched) {
        Prefetched::Whole(body) => body,
        _ => read_whole(&mut upstream_response.body, time_left).await?,
    };
    return_to_pool(
        gateway,
        upstream_response.connection,
        &upstream_response.head,
    );
    Some((upstream_response.head, body))
}
