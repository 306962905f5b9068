//! Memory set aside at engines for the parts of a prompt that is larger than one engine's memory.
//!
//! A reservation is a short lease that is renewed while its request runs, so that it ends by itself
//! soon after this process does. Its id is random: no later process can name it by chance.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use merlinrudder_core::names::ServerId;
use merlinrudder_platform::{headers, orders};
use slog::{info, warn};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::state::Gateway;
use crate::constants::PLAIN_ANSWER_BYTES;

/// Lease of a reservation; an engine must have its memory back within four seconds of a last use.
const LEASE: Duration = Duration::from_millis(3200);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(1200);
/// Time in which an engine must answer an order.
const ORDER_TIME: Duration = Duration::from_millis(600);
/// Tries to give memory back; its lease ends soon in any case.
const RELEASE_TRIES: u32 = 3;

/// A place at which memory is set aside.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
}

/// Memory set aside at several engines; given back when this is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) ticket: String,
    _ended: oneshot::Sender<()>,
}

impl Reservation {
    /// Sets `tokens` of memory aside at each holder; returns a holder that refused where one did.
    pub(super) async fn open(
        gateway: &Rc<Gateway>,
        holders: Vec<Holder>,
        tokens: u64,
    ) -> Result<Self, ServerId> {
        let ticket = format!("{:032x}", fastrand::u128(..));
        let (sender, ended) = oneshot::channel();
        let orders: Vec<_> = holders
            .iter()
            .map(|holder| {
                let (gateway, holder) = (Rc::clone(gateway), holder.clone());
                let body = orders::reserve(&ticket, tokens, LEASE);
                spawn_local(async move { order(&gateway, &holder, body).await })
            })
            .collect();
        let keeping = keep(
            Rc::clone(gateway),
            holders.clone(),
            ticket.clone(),
            tokens,
            ended,
        );
        spawn_local(keeping);
        let mut refused = None;
        for (holder, order) in holders.iter().zip(orders) {
            if !order.await.unwrap_or(false) {
                refused = Some(holder.server.clone());
            }
        }
        info!(gateway.log, "Memory set aside"; "ticket" => &ticket, "tokens" => tokens,
            "holders" => names(&holders), "refused" => refused.as_ref().map(ToString::to_string));
        match refused {
            // Dropping the sender gives back what the others set aside.
            Some(refused) => Err(refused),
            None => Ok(Self {
                ticket,
                _ended: sender,
            }),
        }
    }
}

fn names(holders: &[Holder]) -> String {
    let names: Vec<_> = holders
        .iter()
        .map(|holder| holder.server.as_str())
        .collect();
    names.join(" ")
}

/// Renews a reservation until it is dropped, then gives the memory back.
async fn keep(
    gateway: Rc<Gateway>,
    holders: Vec<Holder>,
    ticket: String,
    tokens: u64,
    mut ended: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            _dropped = &mut ended => break,
            () = sleep(RENEWAL) => {}
        }
        for holder in holders.clone() {
            let gateway = Rc::clone(&gateway);
            let body = orders::reserve(&ticket, tokens, LEASE);
            spawn_local(async move { order(&gateway, &holder, body).await });
        }
    }
    for holder in holders {
        spawn_local(release(Rc::clone(&gateway), holder, ticket.clone()));
    }
}

async fn release(gateway: Rc<Gateway>, holder: Holder, ticket: String) {
    for _ in 0..RELEASE_TRIES {
        if order(&gateway, &holder, orders::release(&ticket)).await {
            return;
        }
    }
    warn!(gateway.log, "Memory not given back; its lease ends it"; "server" => %holder.server);
}

/// Gives an order; returns whether the engine took it.
async fn order(gateway: &Rc<Gateway>, holder: &Holder, body: String) -> bool {
    let given = timeout(ORDER_TIME, try_order(gateway, holder, body)).await;
    given.ok().flatten().unwrap_or(false)
}

async fn try_order(gateway: &Rc<Gateway>, holder: &Holder, body: String) -> Option<bool> {
    let mut connection = gateway.pool.connect(holder.address, false).await.ok()?;
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(orders::ORDER_PATH);
    let sent = request.headers_mut();
    sent.insert(
        HOST,
        HeaderValue::try_from(holder.address.to_string()).ok()?,
    );
    sent.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let target = HeaderValue::try_from(holder.server.as_str()).ok()?;
    sent.insert(headers::TARGET, target);
    let (head, answer) = connection.send(request).await.ok()?.into_parts();
    Limited::new(answer, PLAIN_ANSWER_BYTES)
        .collect()
        .await
        .ok()?;
    super::exchange::keep_connection(gateway, connection, &head.headers);
    Some(head.status.is_success())
}
