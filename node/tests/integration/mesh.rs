//! The mesh only accepts VMs with a certificate of the authority for their own id.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, unbounded};
use merlinrudder_core::membership::ConfiguredVm;
use merlinrudder_core::names::{VmId, ZoneName};
use merlinrudder_node::logging::discard;
use merlinrudder_node::mesh::Mesh;
use merlinrudder_node::mesh::tls::MeshKeys;
use merlinrudder_node::options::settings::{PeerSettings, TlsSettings};
use merlinrudder_wire::mesh::MeshMessage;
use tempfile::TempDir;

use crate::util::Authority;

/// Time limit for a message that must arrive.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a message that must not arrive would have arrived.
const NO_MESSAGE_WAIT: Duration = Duration::from_millis(700);

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .expect("a free UDP port")
        .local_addr()
        .expect("a local address")
}

/// Binds a mesh for `vm` with one peer.
///
/// The channel receives the sender of each message that arrives.
fn bind(
    vm: &str,
    address: SocketAddr,
    peer: &str,
    peer_address: SocketAddr,
    keys: &TlsSettings,
) -> (Mesh, Receiver<VmId>) {
    let (sender, senders) = unbounded();
    let handler = Arc::new(move |from, _message| drop(sender.send(from)));
    let config = ConfiguredVm {
        vm: VmId::from(peer),
        zone: ZoneName::from("zone"),
        disk: false,
    };
    let peers = [PeerSettings {
        config,
        address: peer_address,
    }];
    let keys = MeshKeys::open(keys).expect("valid key files");
    let mesh = Mesh::bind(&VmId::from(vm), address, &peers, &keys, &discard(), handler);
    (mesh.expect("a running mesh"), senders)
}

/// Sends messages from `sender` to vm-2; returns the sender id that vm-2 receives, if any.
fn received_sender(
    sender: &str,
    keys: &TlsSettings,
    receiver_keys: &TlsSettings,
    wait: Duration,
) -> Option<VmId> {
    let (sender_addr, receiver_addr) = (free_address(), free_address());
    let (mesh, _) = bind(sender, sender_addr, "vm-2", receiver_addr, keys);
    let (_receiver, senders) = bind("vm-2", receiver_addr, "vm-1", sender_addr, receiver_keys);
    let start = std::time::Instant::now();
    while start.elapsed() < wait {
        mesh.send(&VmId::from("vm-2"), MeshMessage::PullManifest { have: 1 });
        match senders.recv_timeout(Duration::from_millis(50)) {
            Ok(from) => return Some(from),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
    None
}

fn folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

#[test]
fn a_message_arrives_under_the_id_of_the_certificate() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-1", &authority);
    let receiver_keys = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(
        received_sender("vm-1", &keys, &receiver_keys, RECEIVE_TIMEOUT),
        Some(VmId::from("vm-1"))
    );
}

#[test]
fn a_certificate_of_another_authority_is_rejected() {
    let (folder, authority, other_authority) = (folder(), Authority::new(), Authority::new());
    let keys = other_authority.write(folder.path(), "vm-1", &authority);
    let receiver_keys = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(
        received_sender("vm-1", &keys, &receiver_keys, NO_MESSAGE_WAIT),
        None
    );
}

#[test]
fn a_sender_with_the_certificate_of_another_vm_is_rejected() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-3", &authority);
    let receiver_keys = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(
        received_sender("vm-1", &keys, &receiver_keys, NO_MESSAGE_WAIT),
        None
    );
}

#[test]
fn nothing_is_sent_to_a_receiver_with_the_certificate_of_another_vm() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-1", &authority);
    let receiver_keys = authority.write(folder.path(), "vm-9", &authority);
    assert_eq!(
        received_sender("vm-1", &keys, &receiver_keys, NO_MESSAGE_WAIT),
        None
    );
}
