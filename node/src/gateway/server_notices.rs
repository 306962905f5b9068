//! What backend servers say of themselves in their answers: that they leave, or take no requests.
//!
//! A server that leaves counts as draining here at once, and the linked VMs are told by a record of
//! it. A server that answers 503 with a `Retry-After` is held back by this VM alone, to which it
//! said so; `merlinrudder_core::hold_off` keeps until when.

use std::time::Duration;

use hyper::http::response::Parts;
use merlinrudder_core::directory::{Incarnation, Merged, ServerRecord, ServerStage};
use merlinrudder_core::hold_off::MAX_HOLD_OFF;
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_platform::headers;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WirePeer, WireServer};
use slog::{info, warn};

use super::header_fields::text_header;
use super::state::Gateway;
use crate::metrics;

/// Status with which another server answers at the address of the one that was meant.
const MISDIRECTED: u16 = 421;
/// Status of a server that takes no requests.
const UNAVAILABLE: u16 = 503;

/// Returns the lifetime of a server that is known now.
pub(super) fn incarnation(gateway: &Gateway, server: &ServerId) -> Option<Incarnation> {
    let fleet = gateway.fleet.borrow();
    fleet.directory.get(server).map(ServerRecord::incarnation)
}

/// Whether a server wants no requests of this VM now.
pub(super) fn is_held_back(gateway: &Gateway, server: &ServerId) -> bool {
    let fleet = gateway.fleet.borrow();
    fleet.hold_offs.time_left(gateway.now(), server).is_some()
}

/// Whether a server takes no requests any more by what it answered to this VM.
///
/// A request that was placed on it but not sent then goes elsewhere.
pub(super) fn is_withdrawn(gateway: &Gateway, incarnation: &Incarnation) -> bool {
    gateway.leaving.borrow().contains(incarnation) || is_held_back(gateway, &incarnation.server)
}

/// Records what the head of an answer to this VM says of its server.
pub(super) fn record(gateway: &Gateway, incarnation: &Incarnation, head: &Parts) {
    let named = text_header(&head.headers, headers::SERVER);
    let is_other = named.is_some_and(|named| named != incarnation.server.as_str());
    if is_other || head.status.as_u16() == MISDIRECTED {
        return;
    }
    if says_leaving(head) {
        record_leaving(gateway, incarnation);
    }
    if head.status.as_u16() == UNAVAILABLE
        && !blames_other(gateway, incarnation, head)
        && let Some(time) = retry_after(gateway, incarnation, head)
    {
        hold_back(gateway, incarnation, time);
    }
}

/// Whether a refusal names another server as its cause, by id or address.
fn blames_other(gateway: &Gateway, incarnation: &Incarnation, head: &Parts) -> bool {
    let Some(named) = text_header(&head.headers, headers::AT_SERVER) else {
        return false;
    };
    let fleet = gateway.fleet.borrow();
    let address = fleet.directory.get(&incarnation.server).map(|r| r.address);
    let is_itself = named == incarnation.server.as_str()
        || address.is_some_and(|address| named == address.to_string());
    !is_itself
}

/// Tells a VM that has just linked which servers leave by their answers to this VM.
///
/// Records that were sent while the link was down were lost.
pub(super) fn link_up(gateway: &Gateway, vm: &VmId) {
    forget_gone(gateway);
    let (fleet, leaving) = (gateway.fleet.borrow(), gateway.leaving.borrow());
    let records = leaving.iter();
    let records = records.filter_map(|incarnation| fleet.directory.get(&incarnation.server));
    let now = gateway.now();
    let records: Vec<_> = records
        .map(|record| WireServer::new(now, now, record))
        .collect();
    if !records.is_empty() {
        gateway.links.send(vm, &MeshMessage::Servers(records));
    }
}

/// Forgets the leaving lifetimes that have ended.
fn forget_gone(gateway: &Gateway) {
    let fleet = gateway.fleet.borrow();
    gateway.leaving.borrow_mut().retain(|incarnation| {
        let record = fleet.directory.get(&incarnation.server);
        record.is_some_and(|record| {
            record.born == incarnation.born && record.stage == ServerStage::Draining
        })
    });
}

fn says_leaving(head: &Parts) -> bool {
    let mut values = head.headers.get_all(headers::SERVER_LEAVING).iter();
    values.any(|value| value.as_bytes().trim_ascii() == headers::LEAVING_VALUE.as_bytes())
}

/// Marks a lifetime of a server as draining, and tells all linked VMs when that is new.
fn record_leaving(gateway: &Gateway, incarnation: &Incarnation) {
    metrics::count_leaving_answer();
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.directory.drain(now, incarnation) != Merged::Changed {
        return;
    }
    let record = fleet.directory.get(&incarnation.server);
    let record = record.map(|record| WireServer::new(now, now, record));
    drop(fleet);
    info!(gateway.log, "Backend server leaves by its answer"; "server" => %incarnation.server,
        "born" => incarnation.born);
    forget_gone(gateway);
    gateway.leaving.borrow_mut().insert(incarnation.clone());
    let message = MeshMessage::Servers(record.into_iter().collect());
    let peers = gateway.links.peers();
    let vms: Vec<_> = peers.iter().map(WirePeer::vm_id).collect();
    gateway.links.send_all(&vms, &message);
}

/// Returns the longest time that an answer names; values that are none are logged.
fn retry_after(gateway: &Gateway, incarnation: &Incarnation, head: &Parts) -> Option<Duration> {
    let values = head.headers.get_all(headers::RETRY_AFTER).iter();
    let times = values.filter_map(|value| {
        let value = value.to_str().unwrap_or("unreadable");
        let parsed = headers::parse_retry_after(value);
        parsed
            .inspect_err(|error| {
                warn!(gateway.log, "Retry-After of a backend server ignored";
                    "server" => %incarnation.server, "error" => %error);
            })
            .ok()
    });
    times.max()
}

/// Holds a server back from all further requests of this VM.
fn hold_back(gateway: &Gateway, incarnation: &Incarnation, time: Duration) {
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    let extends = fleet.hold_back(now, incarnation, time);
    metrics::count_retry_after_answer(fleet.hold_offs.count(now));
    if extends {
        info!(gateway.log, "Backend server held back by its answer";
            "server" => %incarnation.server, "born" => incarnation.born,
            "for_ms" => time.min(MAX_HOLD_OFF).as_millis());
    }
}
