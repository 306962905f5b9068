//! Limits on their request rate that backend servers name in their answers.
//!
//! The decisions are those of `merlinrudder_core::rate_limit`; this module feeds them with answers
//! and messages.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::rate_limit::limits::{LimitChange, Observation, Rate};
use merlinrudder_core::rate_limit::message::{Outgoing, RateMessage, Recipient};
use merlinrudder_core::time::Moment;
use merlinrudder_platform::headers;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::rates::WireRateMessage;
use slog::{info, warn};
use tokio::time::sleep;

use super::request::CallerRequest;
use super::selection::Selection;
use super::state::Gateway;
use crate::metrics;

/// Interval at which loans of shares are renewed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Decides whether a request waits for a permit: one request for each that is expected.
pub(super) fn outlook(
    gateway: &Gateway,
    call: &CallerRequest,
    excluded: &[ServerId],
    is_waiting: bool,
) -> Selection {
    let fleet = gateway.fleet.borrow();
    let promised = fleet.promised_permits(gateway.now(), &call.service, excluded);
    let waiting = gateway.wait_queues.borrow().waiting(&call.service);
    let is_expected = if is_waiting {
        promised > 0
    } else {
        waiting < promised
    };
    if is_expected {
        Selection::AwaitPermit
    } else {
        Selection::RateLimited
    }
}

/// Head of an answer of a server.
pub(super) struct AnswerHead<'a> {
    pub(super) incarnation: &'a Incarnation,
    /// When the request was sent.
    pub(super) requested_at: Moment,
    pub(super) headers: &'a HeaderMap,
    /// Whether the server refused the request.
    pub(super) is_refusal: bool,
}

/// Records what the head of an answer says of its server's limit.
///
/// A refusal that names none does not end a limit.
pub(super) fn record_answer(gateway: &Gateway, call: &CallerRequest, answer: &AnswerHead<'_>) {
    let server = &answer.incarnation.server;
    let lines = answer.headers.get_all(headers::SERVER_LIMIT).iter();
    let lines = lines.map(|line| line.to_str().unwrap_or("unreadable"));
    let limit = match headers::parse_server_limit(lines) {
        Ok(limit) => limit,
        Err(error) => {
            warn!(gateway.log, "Limit ignored"; "request" => call.attempt_id_text(),
                "server" => %server, "error" => %error);
            return;
        }
    };
    if limit.is_some() {
        metrics::count_limited_answer();
    }
    let mut fleet = gateway.fleet.borrow_mut();
    let is_limited = fleet.rates.is_limited(server);
    if limit.is_none() && (answer.is_refusal || !is_limited) {
        return;
    }
    let now = gateway.now();
    let observation = Observation {
        incarnation: answer.incarnation.clone(),
        rate: limit.and_then(Rate::new),
        requested_at: answer.requested_at,
        heard_at: now,
    };
    let change = fleet.rates.observe(now, observation);
    drop(fleet);
    log_change(gateway, &gateway.vm, answer.incarnation, limit, change);
    flush(gateway);
}

/// Handles a message of another entry VM.
pub(super) fn receive(gateway: &Gateway, from: &VmId, message: WireRateMessage) {
    let now = gateway.now();
    let message = message.into_core(now);
    let observed = match &message {
        RateMessage::Limit(observation) | RateMessage::Ask(observation) => {
            Some((observation.incarnation.clone(), observation.rate))
        }
        _ => None,
    };
    let change = gateway.fleet.borrow_mut().rates.receive(now, from, message);
    if let Some((incarnation, rate)) = observed {
        log_change(gateway, from, &incarnation, rate.map(f64::from), change);
    }
    flush(gateway);
}

fn log_change(
    gateway: &Gateway,
    heard_by: &VmId,
    incarnation: &Incarnation,
    rate: Option<f64>,
    change: LimitChange,
) {
    if change != LimitChange::None {
        info!(gateway.log, "Limit of a backend server changed"; "server" => %incarnation.server,
            "born" => incarnation.born, "rate" => rate, "change" => ?change,
            "heard_by" => %heard_by);
    }
}

/// Tells a VM that has just linked the limits that this one coordinates.
pub(super) fn link_up(gateway: &Gateway, vm: &VmId) {
    update_vms(gateway);
    gateway.fleet.borrow_mut().rates.link_up(vm);
    flush(gateway);
}

/// Updates the VMs that share the limits.
pub(super) fn update_vms(gateway: &Gateway) {
    let linked = gateway.links.vms_with(|features| features.rates);
    let sharers = gateway.entry_vms.borrow_mut().sharers(gateway.now());
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.rates.set_vms(linked.into_iter(), sharers);
}

/// Renews loans of shares until the process exits.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let mut fleet = gateway.fleet.borrow_mut();
        if fleet.rates.has_limits() {
            let now = gateway.now();
            fleet.forget_gone_limits(now);
            fleet.rates.tick(now);
            drop(fleet);
            flush(&gateway);
        }
    }
}

/// Sends the messages that wait.
pub(super) fn flush(gateway: &Gateway) {
    let outgoing = gateway.fleet.borrow_mut().rates.take_outgoing();
    let now = gateway.now();
    for Outgoing { to, message } in outgoing {
        let wire = MeshMessage::Rates(WireRateMessage::new(now, &message));
        let receivers = match to {
            Recipient::All => gateway.links.vms_with(|features| features.rates),
            Recipient::Vm(vm) => vec![vm],
        };
        gateway.links.send_all(&receivers, &wire);
    }
}
