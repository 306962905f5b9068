//! A caller's request: what it is allowed, where it goes, how long it has.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::{Method, Request, Uri};
use merlinrudder_core::deployment::{CustomerRule, Deployment, RouteRule};
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::names::ServiceName;
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::time::{Moment, duration_millis};
use merlinrudder_platform::headers::{self, TokenCounts};
use tokio::time::{sleep, timeout};

use super::refusal::{SOON, come_back};
use super::state::Gateway;

/// Time between two looks whether a VM that has just started knows its deployment.
const START_POLL: Duration = Duration::from_millis(25);
/// Looks before a request is refused; three quarters of a second.
const START_POLLS: u32 = 30;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// A request that was admitted, with its whole body.
#[derive(Debug)]
pub(super) struct CallerRequest {
    /// The caller's id of this attempt, as it was sent.
    pub(super) id: HeaderValue,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    pub(super) route: Arc<RouteRule>,
    pub(super) service: ServiceName,
    /// How the service's engines work; `None` for a plain service.
    pub(super) profile: Option<EngineProfile>,
    customer: Option<Arc<CustomerRule>>,
    /// Number of the deployment that it was admitted under.
    pub(super) manifest: u64,
    pub(super) began: Moment,
    /// When it must have ended: the caller's own bound or the route's, whichever is earlier.
    pub(super) deadline: Moment,
    /// Sizes of prompt and answer, where the caller tells them.
    pub(super) tokens: Option<TokenCounts>,
    /// The last event that the caller has, where it resumes a stream.
    pub(super) last_event: Option<u64>,
    /// Decides between servers that are nearly as good.
    pub(super) draw: u64,
}

/// What goes to one server.
#[derive(Debug)]
pub(super) struct Outgoing<'a> {
    /// Id of the server.
    pub(super) server: &'a str,
    /// Value of the header that names helpers; empty for none.
    pub(super) helpers: String,
    /// Rank at the engine; 0 is first.
    pub(super) rank: Option<u8>,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
}

impl CallerRequest {
    /// Returns the time that is left.
    pub(super) fn left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the id as text, for logs.
    pub(super) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unreadable")
    }

    /// Makes the request that a server gets.
    pub(super) fn outgoing(&self, now: Moment, outgoing: &Outgoing<'_>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut sent = self.headers.clone();
        let left = duration_millis(self.left(now));
        set(&mut sent, headers::DEADLINE, &left.to_string());
        set(&mut sent, headers::TARGET, outgoing.server);
        if let Some(customer) = &self.customer {
            set(&mut sent, headers::CUSTOMER, customer.name.as_str());
        }
        if let Some(rank) = outgoing.rank {
            set(&mut sent, headers::PRIORITY, &rank.to_string());
        }
        if !outgoing.helpers.is_empty() {
            set(&mut sent, headers::HELPERS, &outgoing.helpers);
        }
        if let Some(event) = outgoing.last_event {
            set(&mut sent, headers::LAST_EVENT, &event.to_string());
        }
        *request.headers_mut() = sent;
        request
    }
}

/// Reads a request whole and decides whether it is let in.
pub(super) async fn admit(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let began = gateway.now();
    let (head, body) = request.into_parts();
    let deployment = await_deployment(gateway).await;
    let deployment = deployment.ok_or_else(|| come_back(RefusalReason::NoManifest))?;
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.map(|host| host.split(':').next().unwrap_or(host));
    let route = host.and_then(|host| deployment.route(host, head.uri.path()));
    let route = route.ok_or(Refusal::not_run(RefusalReason::UnknownPath, None))?;
    let customer = find_customer(&deployment, route, &head.headers)?;
    let id = head.headers.get(headers::ATTEMPT).cloned();
    let id = id.ok_or(Refusal::not_run(RefusalReason::BadRequest, None))?;
    let caller_time = read_header::<f64>(&head.headers, headers::DEADLINE)
        .and_then(|millis| Duration::try_from_secs_f64(millis / 1000.0).ok());
    let time = caller_time.map_or(route.timeout, |time| time.min(route.timeout));
    let body = read_body(body, deployment.limits.body_bytes, time).await?;
    let service = route.choose_service(fastrand::f64());
    let service = service.ok_or(come_back(RefusalReason::UnknownService))?;
    let rule = deployment.services.get(service);
    let tokens = text_header(&head.headers, headers::TOKENS).and_then(headers::parse_token_counts);
    Ok(CallerRequest {
        id,
        method: head.method,
        last_event: read_header(&head.headers, headers::LAST_EVENT),
        tokens,
        uri: origin_form(&head.uri),
        headers: forwarded(&head.headers),
        body,
        route: Arc::clone(route),
        service: service.clone(),
        profile: rule.and_then(|rule| rule.engine),
        customer,
        manifest: deployment.number.0,
        began,
        deadline: began + time,
        draw: fastrand::u64(..),
    })
}

/// Returns the deployment in force; a VM that has just started learns it within moments.
async fn await_deployment(gateway: &Gateway) -> Option<Arc<Deployment>> {
    for _ in 0..START_POLLS {
        let deployment = gateway.deployment();
        let informed =
            |deployment: &Arc<Deployment>| gateway.fleet.borrow().has_ready_server(deployment);
        if deployment.as_ref().is_some_and(informed) {
            return deployment;
        }
        sleep(START_POLL).await;
    }
    gateway.deployment()
}

fn find_customer(
    deployment: &Deployment,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<Arc<CustomerRule>>, Refusal> {
    let key = text_header(headers, AUTHORIZATION.as_str()).and_then(headers::bearer_key);
    let customer = key.and_then(|key| deployment.customer(key)).cloned();
    if customer.is_none() && deployment.has_customers() && !route.public {
        return Err(Refusal::not_run(RefusalReason::UnknownCustomer, None));
    }
    Ok(customer)
}

async fn read_body(body: Incoming, most: usize, time: Duration) -> Result<Bytes, Refusal> {
    let reading = timeout(time, Limited::new(body, most).collect()).await;
    let slow = |_elapsed| Refusal::not_run(RefusalReason::SlowBody, Some(SOON));
    match reading.map_err(slow)? {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(RefusalReason::BodyTooLarge, None))
        }
        Err(_) => Err(Refusal::not_run(RefusalReason::CallerGone, None)),
    }
}

/// Returns path and query alone, as a server expects them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

/// Returns the headers that a server gets as the caller sent them.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    strip_connection(&mut kept);
    kept.remove(CONTENT_LENGTH);
    for name in headers::RESERVED {
        kept.remove(name);
    }
    kept
}

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

pub(super) fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn read_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text_header(headers, name)?.trim().parse().ok()
}
