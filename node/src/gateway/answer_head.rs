//! Heads of answers: whether they belong to a request, and what they show of their servers.

use std::time::Duration;

use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::headers;

use super::crash_watch;
use super::failure::Failure;
use super::header_fields::{strip_hop_by_hop, text_header};
use super::hedge::AttemptContext;
use super::rate_limits::{self, AnswerHead};
use super::refusal::Origin;
use super::relay;
use super::request::CallerRequest;
use super::reservation::EngineEndpoint;
use super::server_notices;
use super::state::Gateway;
use super::target::Target;
use super::upstream::Connection;

/// Checks that a response comes from the selected server and answers this attempt.
///
/// A response that repeats another attempt's id is a late one and says nothing of this request, and
/// so is one without an id on a connection that was used before. A status that does not end a request
/// in HTTP is no answer. Status 421 or the not-executed
/// header means that the request did not run. Any other response must repeat the attempt id and
/// have no content encoding, and a success must carry the seal.
pub(super) fn check_response_head(
    call: &CallerRequest,
    connection: &Connection,
    head: &Parts,
) -> Result<(), Failure> {
    let attempt = head.headers.get(headers::ATTEMPT);
    let is_late = attempt.map_or(!connection.is_new, |attempt| *attempt != call.attempt_id);
    if is_late || !is_final(head.status) {
        return Err(Failure::Broken);
    }
    if head.headers.contains_key(headers::NOT_RUN) {
        let misdirected = head.status.as_u16() == 421;
        return Err(if misdirected {
            misdirection(call)
        } else {
            Failure::Refused
        });
    }
    if head.status.as_u16() == 421 {
        return Err(misdirection(call));
    }
    let has_seal = head.headers.contains_key(headers::RESPONSE_SEAL);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if attempt.is_none() || encoded || (head.status.is_success() && !has_seal) {
        return Err(Failure::Broken);
    }
    Ok(())
}

/// Returns what status 421 says of the server that answered.
///
/// Of a request that names the version of the weights it needs, the status does not tell whether that or the
/// server is another one; the server may be sound then.
fn misdirection(call: &CallerRequest) -> Failure {
    if call.headers.contains_key(headers::EXPECTED_WEIGHTS) {
        Failure::OtherWeights
    } else {
        Failure::Replaced
    }
}

/// Whether a status code ends a request in HTTP; the HTTP library lets others up to 999 pass.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns `HelperFailed` in place of a refusal that names a helper, which is then left out.
pub(super) fn blame_helper(
    context: AttemptContext<'_>,
    helpers: &[EngineEndpoint],
    head: &Parts,
    failure: Failure,
) -> Failure {
    let named = text_header(&head.headers, headers::AT_SERVER).unwrap_or_default();
    let is_named = |helper: &&EngineEndpoint| {
        helper.server.as_str() == named || helper.address.to_string() == named
    };
    match helpers.iter().find(is_named) {
        Some(helper) if failure == Failure::Refused => {
            let AttemptContext { gateway, tally, .. } = context;
            tally.exclude_server(&helper.server);
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.record_outcome(gateway.now(), &helper.server, ServerOutcome::Failed);
            Failure::HelperFailed
        }
        _ => failure,
    }
}

/// Records what the head of an answer shows of its server.
pub(super) fn record_head(
    gateway: &Gateway,
    call: &CallerRequest,
    incarnation: &Incarnation,
    connection: &Connection,
    requested_at: Moment,
    head: &Parts,
    check: Result<(), Failure>,
) {
    if connection.is_new {
        gateway.reach.borrow_mut().record_answer(&call.service);
    }
    let is_success = head.status.is_success();
    if !is_success || head.headers.contains_key(headers::RESPONSE_SEAL) {
        server_notices::record(gateway, incarnation, head);
    }
    let is_refusal = check == Err(Failure::Refused);
    if check.is_ok() || is_refusal {
        let answer = AnswerHead {
            incarnation,
            requested_at,
            headers: &head.headers,
            is_refusal,
        };
        rate_limits::record_answer(gateway, call, &answer);
    }
    if check.is_ok() {
        crash_watch::record_alive(gateway, incarnation);
        record_reported_load(gateway, &incarnation.server, &head.headers);
    }
}

/// Records the running and waiting requests that a server reports with its response.
fn record_reported_load(gateway: &Gateway, server: &ServerId, head: &HeaderMap) {
    let load = text_header(head, headers::LOAD).and_then(headers::parse_load);
    if let Some(load) = load {
        let mut fleet = gateway.fleet.borrow_mut();
        let requests = load.running.saturating_add(load.waiting);
        fleet.record_load(gateway.now(), server, requests);
    }
}

/// Whether a response has a length or chunks, so that its end is told from a cut.
pub(super) fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Pools the connection of a completed response, unless the server closes it.
pub(super) fn return_to_pool(gateway: &Gateway, connection: Connection, head: &Parts) {
    let closes = text_header(&head.headers, CONNECTION.as_str())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes || !is_framed(head) {
        return;
    }
    let server_timeout = text_header(&head.headers, "keep-alive")
        .and_then(headers::parse_keep_alive)
        .map(Duration::from_secs);
    gateway.pool.put_back(connection, server_timeout);
}

/// Builds the response to the caller from a server's response head, without hop-by-hop headers.
pub(super) fn forwarded_response<B>(target: &Target, head: &Parts, body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    if let Target::Server(incarnation) = target {
        let origin = Origin::Server(incarnation.server.to_string());
        response.extensions_mut().insert(origin);
    }
    let mut kept_headers = head.headers.clone();
    strip_hop_by_hop(&mut kept_headers);
    relay::remove_headers(&mut kept_headers);
    kept_headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = kept_headers;
    response
}
