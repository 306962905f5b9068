//! Attempts by way of another VM: how they are sent, and what the answer of that VM means.

use std::rc::Rc;

use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::outcome::{RefusalReason, RunState};
use merlinrudder_wire::relay::{self, WireRelay};

use super::failure::Failure;
use super::header_fields::{set_header, text_header};
use super::request::CallerRequest;
use super::selection::SelectedServers;
use super::state::Gateway;
use super::target::{Excluded, Target};

/// Reasons for which a VM refuses requests without having asked a server.
const NO_SERVER_REASONS: [RefusalReason; 8] = [
    RefusalReason::NoManifest,
    RefusalReason::NoPath,
    RefusalReason::NoServer,
    RefusalReason::ServiceNotAllowed,
    RefusalReason::Stopping,
    RefusalReason::UnknownCustomer,
    RefusalReason::UnknownPath,
    RefusalReason::UnknownService,
];

/// Counts a request as in progress by way of a VM until this is dropped.
#[derive(Debug)]
pub(super) struct RelayGuard {
    gateway: Rc<Gateway>,
    vm: VmId,
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        self.gateway.relays.borrow_mut().ended(&self.vm);
    }
}

/// Selects another VM for an attempt; `None` if there is none.
pub(super) fn select(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    excluded: &Excluded,
) -> Option<SelectedServers> {
    let (now, seed) = (gateway.now(), fastrand::u64(..));
    let mut relays = gateway.relays.borrow_mut();
    let vm = relays.choose(now, &call.service, &gateway.zone, &excluded.vms, seed)?;
    let address = gateway.links.relay(&vm)?.address;
    relays.began(&vm);
    drop(relays);
    let guard = RelayGuard {
        gateway: Rc::clone(gateway),
        vm: vm.clone(),
    };
    let target = Target::Vm { vm, server: None };
    Some(SelectedServers::by_way_of(gateway, target, address, guard))
}

/// Adds the headers of a request to another VM; `None` if its link was lost.
pub(super) fn add_headers<B>(
    gateway: &Gateway,
    call: &CallerRequest,
    vm: &VmId,
    excluded: &Excluded,
    on_trial: bool,
    request: &mut Request<B>,
) -> Option<()> {
    let WireRelay { token, .. } = gateway.links.relay(vm)?;
    let headers = request.headers_mut();
    remove_headers(headers);
    set_header(headers, relay::TOKEN, &format!("{token:032x}"));
    set_header(headers, relay::SERVICE, call.service.as_str());
    let manifest = call.manifest_number.to_string();
    set_header(headers, relay::MANIFEST, &manifest);
    let servers: Vec<_> = excluded.servers.iter().map(ServerId::as_str).collect();
    set_header(headers, relay::EXCLUDED, &servers.join(","));
    if on_trial {
        set_header(headers, relay::TRIAL, "1");
    }
    Some(())
}

/// Records that an attempt by way of a VM failed.
///
/// A failure that the VM's answer tells of says nothing of the VM.
pub(super) fn record_failure(gateway: &Gateway, call: &CallerRequest, vm: &VmId, failure: Failure) {
    let now = gateway.now();
    let mut relays = gateway.relays.borrow_mut();
    match failure {
        Failure::NoPath => relays.record_refusal(now, vm, &call.service),
        Failure::Unreachable => relays.record_failure(now, vm),
        _ => {}
    }
}

/// Removes the headers of the hop, which come from nobody but VMs.
pub(super) fn remove_headers(headers: &mut HeaderMap) {
    for name in relay::ALL {
        headers.remove(name);
    }
}

/// Takes the server that answered from the head of an answer.
pub(super) fn take_server(head: &mut Parts) -> Option<ServerId> {
    let server = text_header(&head.headers, relay::SERVER).map(ServerId::from);
    remove_headers(&mut head.headers);
    server
}

/// Checks whether another VM answered itself, instead of a server.
///
/// # Errors
/// Returns how the attempt failed if it did.
pub(super) fn check_answer(head: &HeaderMap) -> Result<(), Failure> {
    let Some(reason) = text_header(head, relay::REASON) else {
        return Ok(());
    };
    if text_header(head, relay::RUN) != Some(RunState::NotRun.as_str()) {
        return Err(Failure::Broken);
    }
    let reason = RefusalReason::from_code(reason);
    let reached_none = reason.is_some_and(|reason| NO_SERVER_REASONS.contains(&reason));
    Err(if reached_none {
        Failure::NoPath
    } else {
        Failure::Refused
    })
}
