//! Memory reservations at engines for prompts that are larger than one engine's memory.
//!
//! A reservation is a short lease that is renewed while its request runs, so it expires soon after
//! this process dies. Its id is random, so that no later process uses the same id by chance.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::ServerId;
use merlinrudder_platform::{headers, orders};
use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::server_notices;
use super::state::Gateway;

/// Lease of a reservation.
///
/// An engine must have its memory back within four seconds of the last use.
const LEASE_DURATION: Duration = Duration::from_millis(3200);
/// Time between two renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);
/// Timeout for a reserve or release order, including the connection.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest response to an order.
const MAX_ORDER_RESPONSE_BYTES: usize = 64 * 1024;
/// Attempts to release memory; after that the lease expires on its own.
const RELEASE_ATTEMPTS: u32 = 3;

/// An engine and the address that it accepts requests at.
#[derive(Clone, Debug)]
pub(super) struct EngineEndpoint {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
}

/// Memory reserved at several engines; dropping it releases the memory.
#[derive(Debug)]
pub(super) struct Reservation {
    /// 128 random bits in hexadecimal; the same at every engine.
    pub(super) id: String,
    /// Dropping it ends the renewal task, which then releases the memory.
    _drop_signal: oneshot::Sender<()>,
}

impl Reservation {
    /// Reserves memory for `tokens` tokens at each endpoint.
    ///
    /// # Errors
    /// Returns how each server failed that refused or did not answer; memory reserved at the others
    /// is released.
    pub(super) async fn open(
        gateway: &Rc<Gateway>,
        endpoints: Vec<EngineEndpoint>,
        tokens: u64,
    ) -> Result<Self, Vec<HelperFailure>> {
        let id = format!("{:032x}", fastrand::u128(..));
        let (sender, dropped) = oneshot::channel();
        let orders: Vec<_> = endpoints
            .iter()
            .map(|endpoint| {
                let (gateway, endpoint) = (Rc::clone(gateway), endpoint.clone());
                let body = orders::reserve(&id, tokens, LEASE_DURATION);
                spawn_local(async move { send_order(&gateway, &endpoint, body).await })
            })
            .collect();
        let renewal = renew_until_dropped(
            Rc::clone(gateway),
            endpoints.clone(),
            id.clone(),
            tokens,
            dropped,
        );
        spawn_local(renewal);
        let mut failures = Vec::new();
        for (endpoint, order) in endpoints.iter().zip(orders) {
            let outcome = match order.await {
                Ok(Ok(())) => continue,
                Ok(Err(failure)) => failure.outcome(),
                Err(_ended) => ServerOutcome::Failed,
            };
            let server = endpoint.server.clone();
            failures.push(HelperFailure { server, outcome });
        }
        let failed: Vec<_> = failures.iter().map(ToString::to_string).collect();
        info!(gateway.log, "Memory reservation requested"; "ticket" => &id, "tokens" => tokens,
            "holders" => join_names(&endpoints), "failed" => failed.join(" "));
        if !failures.is_empty() {
            // Dropping the sender releases the memory at the other engines.
            return Err(failures);
        }
        Ok(Self {
            id,
            _drop_signal: sender,
        })
    }
}

/// A helper at which no memory could be reserved.
#[derive(Debug)]
pub(super) struct HelperFailure {
    pub(super) server: ServerId,
    /// What it shows of the health of the server.
    pub(super) outcome: ServerOutcome,
}

impl fmt::Display for HelperFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:?}", self.server, self.outcome)
    }
}

/// Why an order was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderFailure {
    /// No connection to the engine could be opened.
    Unreachable,
    /// The engine refused the order.
    Refused,
    /// The engine did not answer within `ORDER_TIMEOUT`, or broke off.
    Silent,
}

impl OrderFailure {
    /// Returns the outcome to record for the health of the engine.
    const fn outcome(self) -> ServerOutcome {
        match self {
            Self::Unreachable => ServerOutcome::Unreachable,
            Self::Refused => ServerOutcome::Full,
            Self::Silent => ServerOutcome::Failed,
        }
    }
}

fn join_names(endpoints: &[EngineEndpoint]) -> String {
    let names: Vec<_> = endpoints
        .iter()
        .map(|endpoint| endpoint.server.as_str())
        .collect();
    names.join(" ")
}

/// Renews the leases until the reservation is dropped, then releases the memory.
async fn renew_until_dropped(
    gateway: Rc<Gateway>,
    endpoints: Vec<EngineEndpoint>,
    id: String,
    tokens: u64,
    mut dropped: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            _dropped = &mut dropped => break,
            () = sleep(RENEWAL_INTERVAL) => {}
        }
        for endpoint in endpoints.clone() {
            let gateway = Rc::clone(&gateway);
            let body = orders::reserve(&id, tokens, LEASE_DURATION);
            spawn_local(async move { send_order(&gateway, &endpoint, body).await });
        }
    }
    for endpoint in endpoints {
        spawn_local(release(Rc::clone(&gateway), endpoint, id.clone()));
    }
}

/// Releases the memory at one engine, with up to `RELEASE_ATTEMPTS` attempts.
async fn release(gateway: Rc<Gateway>, endpoint: EngineEndpoint, id: String) {
    for _ in 0..RELEASE_ATTEMPTS {
        if server_notices::is_held_back(&gateway, &endpoint.server) {
            // The lease ends without an order.
            return;
        }
        let released = send_order(&gateway, &endpoint, orders::release(&id)).await;
        if matches!(released, Ok(()) | Err(OrderFailure::Refused)) {
            // An engine refuses to release what it does not hold.
            return;
        }
    }
    warn!(gateway.log, "Failed to release reserved memory; the lease will expire";
        "server" => %endpoint.server);
}

/// Sends an order, and waits at most `ORDER_TIMEOUT` for the answer.
async fn send_order(
    gateway: &Rc<Gateway>,
    endpoint: &EngineEndpoint,
    body: String,
) -> Result<(), OrderFailure> {
    let result = timeout(ORDER_TIMEOUT, try_order(gateway, endpoint, body)).await;
    result.unwrap_or(Err(OrderFailure::Silent))
}

/// Sends an order without a timeout.
async fn try_order(
    gateway: &Rc<Gateway>,
    endpoint: &EngineEndpoint,
    body: String,
) -> Result<(), OrderFailure> {
    let request = order_request(endpoint, body).ok_or(OrderFailure::Refused)?;
    let connecting = gateway.pool.connect(endpoint.address, false).await;
    let mut connection = connecting.map_err(|_error| OrderFailure::Unreachable)?;
    let incarnation = server_notices::incarnation(gateway, &endpoint.server);
    let sent = connection.send(request).await;
    let (head, response_body) = sent.map_err(|_error| OrderFailure::Silent)?.into_parts();
    if let Some(incarnation) = incarnation {
        server_notices::record(gateway, &incarnation, &head);
    }
    let body = Limited::new(response_body, MAX_ORDER_RESPONSE_BYTES);
    let read = body.collect().await;
    read.map_err(|_error| OrderFailure::Silent)?;
    super::answer_head::return_to_pool(gateway, connection, &head);
    if head.status.is_success() {
        Ok(())
    } else {
        Err(OrderFailure::Refused)
    }
}

/// Builds the request of an order; `None` if a header value is invalid.
fn order_request(endpoint: &EngineEndpoint, body: String) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(orders::ORDER_PATH);
    let order_headers = request.headers_mut();
    let host = HeaderValue::try_from(endpoint.address.to_string()).ok()?;
    order_headers.insert(HOST, host);
    order_headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let target = HeaderValue::try_from(endpoint.server.as_str()).ok()?;
    order_headers.insert(headers::TARGET, target);
    Some(request)
}
