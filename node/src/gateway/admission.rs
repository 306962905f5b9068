//! Admission of callers' requests.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use merlinrudder_core::deployment::{CustomerRule, Deployment, RouteRule};
use merlinrudder_core::names::ServiceName;
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::planned_stop::LateRequest;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_platform::headers;
use slog::info;
use tokio::time::sleep;

use super::header_fields::{parse_header, strip_hop_by_hop, text, text_header};
use super::lookup::{self, Allowed};
use super::open_requests::OpenRequestGuard;
use super::refusal::{no_manifest, retryable};
use super::relay;
use super::relay_ingress::Relayed;
use super::request::{CallerRequest, RequestContent};
use super::request_body;
use super::state::Gateway;

/// Time between two checks whether a starting VM knows its deployment and servers.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Checks after which the wait is given up; 750 ms in total.
const STARTUP_POLL_COUNT: u32 = 30;

/// Maximum number of parts of a prompt that are told apart in the search for crashing ones.
const MAX_PROMPT_PARTS: usize = 64;

/// What is known of a request whose body has not been read.
pub(super) struct Admission<'a> {
    /// When its head had arrived.
    pub(super) received_at: Moment,
    pub(super) deployment: &'a Deployment,
    pub(super) route: &'a Arc<RouteRule>,
    /// Customer of the API key; `None` where no key was needed or known.
    pub(super) customer: Option<Arc<CustomerRule>>,
    /// Service that another VM has drawn; `None` to draw one.
    pub(super) service: Option<ServiceName>,
    /// What another VM says of the request; `None` if a caller sent it.
    pub(super) relayed: Option<Relayed>,
}

/// Reads a request completely and checks whether it is admitted.
///
/// # Errors
/// Returns the refusal for the caller; the request has not run in any of these cases.
pub(super) async fn admit(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let received_at = gateway.now();
    let (head, body) = request.into_parts();
    let deployment = await_deployment(gateway).await;
    let deployment = deployment.ok_or_else(no_manifest)?;
    let Allowed {
        deployment,
        route,
        customer,
    } = lookup::find(gateway, deployment, &head).await?;
    let admission = Admission {
        received_at,
        deployment: &deployment,
        route: &route,
        customer,
        service: None,
        relayed: None,
    };
    admit_body(gateway, head, body, admission).await
}

/// Reads the body of a request whose head is admitted.
///
/// # Errors
/// Returns the refusal for the caller; the request has not run in any of these cases.
pub(super) async fn admit_body(
    gateway: &Rc<Gateway>,
    head: Parts,
    body: Incoming,
    admission: Admission<'_>,
) -> Result<CallerRequest, Refusal> {
    let Admission {
        received_at,
        deployment,
        route,
        customer,
        ..
    } = admission;
    let attempt_id = head.headers.get(headers::ATTEMPT).cloned();
    let attempt_id = attempt_id.ok_or(Refusal::not_run(RefusalReason::BadRequest, None))?;
    let caller_limit = parse_header::<f64>(&head.headers, headers::DEADLINE)
        .and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
    let time_limit = caller_limit.map_or(route.timeout, |time_limit| time_limit.min(route.timeout));
    let (body, share) =
        request_body::read(gateway, body, deployment.limits.body_bytes, time_limit).await?;
    let service = admission
        .service
        .or_else(|| route.choose_service(fastrand::f64()).cloned());
    let service = service.ok_or(retryable(RefusalReason::UnknownService))?;
    let rule = deployment.services.get(&service);
    let ranks = deployment.ranks(&service);
    let standing = ranks.map(|ranks| ranks.standing_of(route, customer.as_deref()));
    let token_counts =
        text_header(&head.headers, headers::TOKENS).and_then(headers::parse_token_counts);
    let content = RequestContent {
        uri: origin_form(&head.uri),
        customer,
        body,
        _share: share,
        parts: prompt_parts(&head.headers, service.as_str()),
        digest: OnceCell::new(),
    };
    let guard = OpenRequestGuard::new(gateway, text(&attempt_id), received_at);
    let call = CallerRequest {
        attempt_id,
        method: head.method,
        last_event: parse_header(&head.headers, headers::LAST_EVENT),
        token_counts,
        headers: forwarded_headers(&head.headers),
        content: Rc::new(content),
        route: Arc::clone(route),
        service,
        engine_profile: rule.and_then(|rule| rule.engine),
        standing: standing.unwrap_or_default(),
        manifest_number: deployment.number.0,
        received_at,
        deadline: received_at + time_limit,
        tie_breaker: fastrand::u64(..),
        relayed: admission.relayed,
        guard,
    };
    check_fits_stop(gateway, &call)?;
    Ok(call)
}

/// Checks that a request can end before a planned stop cuts it.
///
/// # Errors
/// Returns the refusal of one that cannot; another VM can serve it at once.
fn check_fits_stop(gateway: &Gateway, call: &CallerRequest) -> Result<(), Refusal> {
    let now = gateway.now();
    let Some(exit_at) = gateway.exit_at.get() else {
        return Ok(());
    };
    let tokens = call.token_counts;
    let prompt = call.engine_profile.as_ref().zip(tokens);
    let late = LateRequest {
        is_idempotent: call.route.kind.is_idempotent(),
        time_left: call.time_left(now),
        prompt: prompt.map(|(profile, tokens)| (profile, tokens.prompt, tokens.answer)),
    };
    if late.fits(exit_at.since(now)) {
        return Ok(());
    }
    info!(gateway.log, "Request refused by a planned stop"; "request" => call.attempt_id_text(),
        "time_left_ms" => late.time_left.as_millis(), "prompt_tokens" => call.prompt_tokens(),
        "time_to_exit_ms" => exit_at.since(now).as_millis());
    call.guard.end();
    Err(retryable(RefusalReason::Stopping))
}

/// Returns the digests of the prompt's parts but the last one, at most `MAX_PROMPT_PARTS`.
fn prompt_parts(headers: &HeaderMap, service: &str) -> Vec<ContentDigest> {
    let lines = headers.get_all(headers::PROMPT_PARTS).iter();
    let lines = lines.filter_map(|line| line.to_str().ok());
    let mut ids: Vec<_> = lines.flat_map(headers::prompt_part_ids).collect();
    ids.pop();
    let ids = ids.into_iter().take(MAX_PROMPT_PARTS);
    ids.map(|id| ContentDigest::of_prompt_part(service, &id.to_ascii_lowercase()))
        .collect()
}

/// Returns the deployment in force, and waits for it at startup.
///
/// Waits up to 750 ms until the deployment and a server of one of its services are known.
async fn await_deployment(gateway: &Gateway) -> Option<Arc<Deployment>> {
    for _ in 0..STARTUP_POLL_COUNT {
        let deployment = gateway.deployment();
        let has_servers =
            |deployment: &Arc<Deployment>| gateway.fleet.borrow().has_ready_server(deployment);
        if deployment.as_ref().is_some_and(has_servers) {
            return deployment;
        }
        sleep(STARTUP_POLL_INTERVAL).await;
    }
    gateway.deployment()
}

/// Returns the URI in origin form: path and query only.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

/// Returns the caller's headers that are forwarded unchanged.
///
/// Hop-by-hop headers and the system's own ones, such as the API key, are removed.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    strip_hop_by_hop(&mut forwarded);
    forwarded.remove(CONTENT_LENGTH);
    for name in headers::RESERVED {
        forwarded.remove(name);
    }
    relay::remove_headers(&mut forwarded);
    forwarded
}
