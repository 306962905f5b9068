//! Calls whose response is buffered and forwarded once it is complete.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::http::response::Parts;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use slog::info;

use super::answer_head::{forwarded_response, is_framed, return_to_pool};
use super::attempts::Attempts;
use super::body::ResponseBody;
use super::crash_verdict;
use super::crash_watch;
use super::exchange::{BodyError, Prefetched, UpstreamResponse, WholeBody, read_answer};
use super::open_requests::Phase;
use super::refusal;
use super::request::CallerRequest;
use super::state::Gateway;
use super::target::Target;
use crate::metrics;

/// Serves a non-streaming call, with retries where its route allows them.
pub(super) async fn serve(gateway: &Rc<Gateway>, call: CallerRequest) -> Response<ResponseBody> {
    let mut attempts = Attempts::new(&call);
    let mut failed = None;
    loop {
        let upstream_response = match attempts.run_until_response(gateway, &call, None).await {
            Ok(upstream_response) => upstream_response,
            Err(refusal) => return end_without_success(gateway, &call, &refusal, failed),
        };
        match finish(gateway, &call, &attempts, upstream_response).await {
            Finished::Response(response) => return response,
            Finished::Retry(answer) => failed = answer.or(failed),
        }
    }
}

/// Shortest time for which a caller may read an answer that is ready.
const MIN_DELIVERY_TIME: Duration = Duration::from_secs(2);

/// A complete response of a server to a plain call.
#[derive(Debug)]
pub(super) struct Answer {
    target: Target,
    head: Parts,
    body: WholeBody,
}

/// How an attempt ended for its caller.
pub(super) enum Finished {
    /// The response for the caller.
    Response(Response<ResponseBody>),
    /// A retry follows; holds the failure that the server answered, if it did.
    Retry(Option<Answer>),
}

/// Forwards the last failure that a server answered, or refuses the request if there is none.
pub(super) fn end_without_success(
    gateway: &Gateway,
    call: &CallerRequest,
    refusal: &Refusal,
    failed: Option<Answer>,
) -> Response<ResponseBody> {
    match failed {
        Some(answer) => forward(gateway, call, answer),
        None => refuse_request(gateway, call, refusal),
    }
}

/// Reads a response to its end, and builds the one for the caller unless a retry follows.
///
/// A 5xx response counts as a failed attempt; it is forwarded if no retry may follow.
pub(super) async fn finish(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    attempts: &Attempts,
    mut upstream_response: UpstreamResponse,
) -> Finished {
    let target = upstream_response.selected.target.clone();
    let run = upstream_response.run.take();
    let sample = upstream_response.selected.sample.take();
    let answer = match read_response(gateway, call, upstream_response).await {
        Ok(answer) => Some(answer),
        Err(BodyError::Broken) => None,
        Err(BodyError::NoRoom) => return Finished::Response(fail(gateway, call, attempts)),
    };
    let succeeded = matches!(&answer, Some(answer) if !answer.head.status.is_server_error());
    if let Some(sample) = sample
        && matches!(&answer, Some(answer) if answer.head.status.is_success())
    {
        sample.answered();
    }
    match (&answer, run) {
        (None, Some(run)) => run.broke(),
        (Some(Answer { head, .. }), _) if head.status.is_success() && is_framed(head) => {
            crash_watch::record_completed(gateway, call);
        }
        _ => {}
    }
    let server_outcome = if succeeded {
        ServerOutcome::Succeeded
    } else {
        ServerOutcome::Failed
    };
    if let Some(incarnation) = target.incarnation() {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.record_outcome(gateway.now(), &incarnation.server, server_outcome);
    }
    if !succeeded {
        attempts.tally.exclude(&target);
        if attempts.try_retry(gateway, call).is_ok() {
            metrics::count_retry(RetryReason::IdempotentBroken);
            crash_verdict::await_evidence(gateway, call, RunState::MayHaveRun).await;
            return Finished::Retry(answer);
        }
    }
    let response = match answer {
        Some(answer) => forward(gateway, call, answer),
        None => fail(gateway, call, attempts),
    };
    Finished::Response(response)
}

/// Builds the response to a request whose answer could not be read.
fn fail(gateway: &Gateway, call: &CallerRequest, attempts: &Attempts) -> Response<ResponseBody> {
    let refusal = Refusal {
        reason: RefusalReason::ServerFailed,
        run: attempts.run_state(),
        retry_after: None,
    };
    refuse_request(gateway, call, &refusal)
}

/// Logs a complete response, and builds the one for the caller.
fn forward(gateway: &Gateway, call: &CallerRequest, answer: Answer) -> Response<ResponseBody> {
    let Answer { target, head, body } = answer;
    info!(gateway.log, "Request completed"; "request" => call.attempt_id_text(),
        "route" => &*call.route.name, "server" => %target, "status" => head.status.as_u16(),
        "took_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
    call.guard.end();
    metrics::count_outcome(call.service.as_str(), "complete");
    // An answer that is ready is delivered, also when it is late.
    let time_left = call.time_left(gateway.now()).max(MIN_DELIVERY_TIME);
    let body = ResponseBody::shared(body.bytes, body.share, time_left);
    forwarded_response(&target, &head, body)
}

/// Logs an admitted request that is refused or failed, and builds its response.
pub(super) fn refuse_request(
    gateway: &Gateway,
    call: &CallerRequest,
    refusal: &Refusal,
) -> Response<ResponseBody> {
    info!(gateway.log, "Request failed"; "request" => call.attempt_id_text(),
        "route" => &*call.route.name, "reason" => refusal.reason.code(),
        "run" => refusal.run.as_str(), "prompt_tokens" => call.prompt_tokens(),
        "after_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
    call.guard.end();
    metrics::count_outcome(call.service.as_str(), "given_up");
    refusal::response(refusal)
}

/// Reads the response body.
async fn read_response(
    gateway: &Gateway,
    call: &CallerRequest,
    mut upstream_response: UpstreamResponse,
) -> Result<Answer, BodyError> {
    call.guard.enter(Phase::Body);
    let time_left = call.time_left(gateway.now());
    let body = match std::mem::take(&mut upstream_response.prefetched) {
        Prefetched::Whole(body) => body,
        _ => read_answer(gateway, &mut upstream_response, time_left).await?,
    };
    return_to_pool(
        gateway,
        upstream_response.connection,
        &upstream_response.head,
    );
    Ok(Answer {
        target: upstream_response.selected.target.clone(),
        head: upstream_response.head,
        body,
    })
}
