//! Attempts that this VM makes for other VMs.

use std::rc::Rc;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use merlinrudder_core::deployment::{CustomerRule, Deployment, RouteRule};
use merlinrudder_core::names::{ServerId, ServiceName};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_platform::headers;
use merlinrudder_wire::relay;
use slog::info;

use super::admission::{self, Admission};
use super::body::ResponseBody;
use super::header_fields::{parse_header, set_header, text_header};
use super::ingress;
use super::lookup;
use super::refusal::{self, Origin, retryable};
use super::request::CallerRequest;
use super::state::Gateway;

/// What another VM says of a request that it sends by way of this one.
#[derive(Clone, Debug)]
pub(super) struct Relayed {
    /// Servers that must not get the request.
    pub(super) excluded: Vec<ServerId>,
    /// Whether the request is a trial of a content that crashed servers.
    pub(super) on_trial: bool,
}

/// Makes an attempt for another VM and returns its response, with the headers of the hop.
pub(super) async fn respond(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match admit(gateway, request).await {
        Ok(call) => ingress::serve_until_exit(gateway, call).await,
        Err(refusal) => {
            info!(gateway.log, "Request of another VM refused"; "reason" => refusal.reason.code());
            refusal::response(&refusal)
        }
    };
    let origin = response.extensions_mut().remove::<Origin>();
    let headers = response.headers_mut();
    super::relay::remove_headers(headers);
    match origin {
        Some(Origin::Server(server)) => set_header(headers, relay::SERVER, &server),
        Some(Origin::Refusal(reason, run)) => {
            set_header(headers, relay::REASON, reason.code());
            set_header(headers, relay::RUN, run.as_str());
        }
        None => {}
    }
    response
}

/// Admits a request that another VM has read and checked.
///
/// # Errors
/// Returns the refusal; the request has not run in any of these cases.
async fn admit(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let received_at = gateway.now();
    let (head, body) = request.into_parts();
    let token = format!("{:032x}", gateway.relay_token);
    if text_header(&head.headers, relay::TOKEN) != Some(token.as_str()) {
        return Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, None));
    }
    let deployment = gateway.deployment();
    let deployment = deployment.ok_or_else(|| retryable(RefusalReason::NoManifest))?;
    let manifest = parse_header::<u64>(&head.headers, relay::MANIFEST).unwrap_or(u64::MAX);
    if deployment.number.0 < manifest {
        return Err(retryable(RefusalReason::NoManifest));
    }
    let route = find_route(&deployment, &head)?;
    let customer = find_customer(&deployment, &route, &head)?;
    let service = find_service(&route, &head)?;
    let excluded = text_header(&head.headers, relay::EXCLUDED).unwrap_or_default();
    let excluded = excluded.split(',').filter(|id| !id.is_empty());
    let relayed = Relayed {
        excluded: excluded.map(ServerId::from).collect(),
        on_trial: head.headers.contains_key(relay::TRIAL),
    };
    let admission = Admission {
        received_at,
        deployment: &deployment,
        route: &route,
        customer,
        service: Some(service),
        relayed: Some(relayed),
    };
    admission::admit_body(gateway, head, body, admission).await
}

/// Finds the route by this VM's configuration; it allows one attempt, as the other VM counts them.
fn find_route(deployment: &Deployment, head: &Parts) -> Result<Arc<RouteRule>, Refusal> {
    let route = lookup::find_route(deployment, head)?;
    Ok(Arc::new(RouteRule {
        max_attempts: 1,
        ..RouteRule::clone(route)
    }))
}

/// Finds the customer whose key the other VM has checked.
fn find_customer(
    deployment: &Deployment,
    route: &RouteRule,
    head: &Parts,
) -> Result<Option<Arc<CustomerRule>>, Refusal> {
    let name = text_header(&head.headers, headers::CUSTOMER);
    let customer = name.and_then(|name| deployment.customer_named(name));
    if !deployment.admits(route, customer) {
        return Err(Refusal::not_run(RefusalReason::UnknownCustomer, None));
    }
    Ok(customer.cloned())
}

/// Returns the service that the other VM has drawn, if the route has it.
fn find_service(route: &RouteRule, head: &Parts) -> Result<ServiceName, Refusal> {
    let drawn = text_header(&head.headers, relay::SERVICE);
    let targets = route.targets.iter().filter(|(_, weight)| *weight > 0);
    let mut named = targets.filter(|(service, _)| Some(service.as_str()) == drawn);
    let service = named.next().map(|(service, _)| service.clone());
    service.ok_or_else(|| retryable(RefusalReason::UnknownService))
}
