//! Contact with the control VMs that know the newest manifest: when it is lost, what is known then, and
//! whom this VM asks for others.

use std::rc::Rc;
use std::time::Duration;

use hyper::http::request::Parts;
use merlinrudder_core::control_contact::Confirmation;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::VmId;
use merlinrudder_core::outcome::Refusal;
use merlinrudder_platform::headers;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WirePeer;
use slog::{debug, info, warn};
use tokio::time::sleep;

use super::header_fields::text_header;
use super::state::Gateway;
use crate::links::AddressSource;
use crate::metrics;

/// Interval at which the contact is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Records that a control VM in contact with the leader told the number of the newest manifest.
pub(super) fn confirmed(gateway: &Gateway, from: &VmId, number: ManifestNumber) {
    let confirmation = Confirmation {
        from: from.clone(),
        number,
        at: gateway.now(),
    };
    let mut contact = gateway.manifests.contact.borrow_mut();
    if !contact.is_recent(confirmation.at) {
        gateway.manifests.changed.notify_waiters();
    }
    if let Some(lost_for) = contact.confirmed(confirmation) {
        info!(gateway.log, "Newest manifest told again"; "from" => %from, "number" => number.0,
            "after_ms" => lost_for.as_millis());
    }
}

/// Measures the contact, and asks other entry VMs for control VMs while there is none.
///
/// Ends with the process.
pub(super) async fn run(gateway: Rc<Gateway>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        check(&gateway);
    }
}

fn check(gateway: &Gateway) {
    let now = gateway.now();
    let mut contact = gateway.manifests.contact.borrow_mut();
    let age = contact.age(now);
    metrics::set_manifest_confirmation_age(age);
    if contact.newly_lost(now) {
        let last = contact.last().map(|last| last.from.to_string());
        warn!(gateway.log, "No control VM tells the newest manifest";
            "age_ms" => age.as_millis(), "last" => last, "linked" => linked_control_vms(gateway),
            "manifest" => gateway.manifest_number().0);
    }
    if contact.is_recent(now) {
        return;
    }
    let entry_vms = gateway.links.vms_with(|features| features.control_lists);
    let asked = contact.asks(now, &entry_vms);
    gateway.links.send_all(&asked, &MeshMessage::PullControlVms);
}

/// Tells another entry VM the control VMs with which this one has a link.
pub(super) fn answer(gateway: &Gateway, from: &VmId) {
    let mut peers = gateway.links.peers();
    peers.retain(|peer| peer.control);
    if peers.is_empty() {
        return;
    }
    debug!(gateway.log, "Control VMs listed for an entry VM"; "to" => %from, "vms" => peers.len());
    gateway.links.send(from, &MeshMessage::Peers(peers));
}

/// Connects to the control VMs that another entry VM has listed.
pub(super) fn receive(gateway: &Gateway, listed: &[WirePeer]) {
    for peer in listed.iter().filter(|peer| peer.control) {
        gateway.links.dial(peer.address, AddressSource::EntryVm);
    }
}

/// Logs that a request has no route or key, with what is known of the newest manifest.
pub(super) fn log_denial(gateway: &Gateway, head: &Parts, denial: &Refusal) {
    let contact = gateway.manifests.contact.borrow();
    let last = contact.last();
    let pull = gateway.manifests.pull.borrow();
    let source = pull.newest_source();
    info!(gateway.log, "Request not allowed by the manifest";
        "request" => text_header(&head.headers, headers::ATTEMPT), "reason" => denial.reason.code(),
        "manifest" => gateway.manifest_number().0,
        "told" => last.map(|last| last.number.0), "told_by" => last.map(|last| last.from.to_string()),
        "told_ms" => contact.age(gateway.now()).as_millis(),
        "heard" => source.map(|(_, number)| number.0),
        "heard_from" => source.map(|(vm, _)| vm.to_string()));
}

/// Describes the control VMs with an open link for the log, as in `core-1 core-2`.
fn linked_control_vms(gateway: &Gateway) -> String {
    let peers = gateway.links.peers().into_iter();
    let control = peers.filter(|peer| peer.control);
    let names: Vec<_> = control.map(|peer: WirePeer| peer.vm).collect();
    names.join(" ")
}
