//! Finds the route and the customer of a request.
//!
//! A manifest denies a request only if it is known to be the newest: a request for which it has no
//! route or key waits a short time for a newer one, or until a control VM confirms the manifest again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::http::request::Parts;
use merlinrudder_core::deployment::{CustomerRule, Deployment, RouteRule};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_platform::headers;
use slog::info;
use tokio::time::{Instant, timeout_at};

use super::control_contact;
use super::header_fields::text_header;
use super::refusal::retryable;
use super::state::Gateway;

/// Longest time for which a request waits for a newer manifest.
const NEWER_MANIFEST_WAIT: Duration = Duration::from_millis(500);

/// What a manifest says of a request that it allows.
pub(super) struct Allowed {
    pub(super) deployment: Arc<Deployment>,
    pub(super) route: Arc<RouteRule>,
    /// Customer of the API key; `None` where no key was needed or known.
    pub(super) customer: Option<Arc<CustomerRule>>,
}

/// Finds the route and the customer of a request, by a newer manifest if one is on its way.
///
/// # Errors
/// Refuses a request without a route or a known key: for good if the manifest is the newest, else
/// for a short time.
pub(super) async fn find(
    gateway: &Rc<Gateway>,
    deployment: Arc<Deployment>,
    head: &Parts,
) -> Result<Allowed, Refusal> {
    let give_up_at = Instant::now() + NEWER_MANIFEST_WAIT;
    let mut found = find_in(deployment, head);
    while let Err(denial) = &found
        && !gateway.has_newest_manifest()
    {
        let changed = gateway.manifests.changed.notified();
        if timeout_at(give_up_at, changed).await.is_err() {
            control_contact::log_denial(gateway, head, denial);
            info!(gateway.log, "Not denied, as the manifest may be outdated"; "reason" => denial.reason.code());
            return Err(retryable(RefusalReason::NoManifest));
        }
        if let Some(deployment) = gateway.deployment() {
            found = find_in(deployment, head);
        }
    }
    if let Err(denial) = &found {
        control_contact::log_denial(gateway, head, denial);
    }
    found
}

fn find_in(deployment: Arc<Deployment>, head: &Parts) -> Result<Allowed, Refusal> {
    let route = Arc::clone(find_route(&deployment, head)?);
    let customer = find_customer(&deployment, &route, &head.headers)?;
    Ok(Allowed {
        deployment,
        route,
        customer,
    })
}

/// Finds the route of a request by its host and path.
///
/// # Errors
/// Refuses a request without a route.
pub(super) fn find_route<'a>(
    deployment: &'a Deployment,
    head: &Parts,
) -> Result<&'a Arc<RouteRule>, Refusal> {
    let host = text_header(&head.headers, HOST.as_str());
    let host = host.map(|host| host.split(':').next().unwrap_or(host));
    let route = host.and_then(|host| deployment.route(host, head.uri.path()));
    route.ok_or(Refusal::not_run(RefusalReason::UnknownPath, None))
}

/// Finds the customer by the API key in the `Authorization` header.
///
/// # Errors
/// Refuses a missing or unknown key, unless the route is public or the deployment requires no keys.
fn find_customer(
    deployment: &Deployment,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<Arc<CustomerRule>>, Refusal> {
    let key = text_header(headers, AUTHORIZATION.as_str()).and_then(headers::bearer_key);
    let customer = key.and_then(|key| deployment.customer(key)).cloned();
    if !deployment.admits(route, customer.as_ref()) {
        return Err(Refusal::not_run(RefusalReason::UnknownCustomer, None));
    }
    Ok(customer)
}
