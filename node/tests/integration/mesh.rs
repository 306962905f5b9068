//! Only a VM with a certificate of the authority, made for its own id, is heard.

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

/// Long enough for a message that may come.
const PATIENCE: Duration = Duration::from_secs(10);
/// Long enough for a message that must not come to have come.
const SILENCE: Duration = Duration::from_millis(700);

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address")
}

fn bind(
    vm: &str,
    address: SocketAddr,
    peer: &str,
    peer_address: SocketAddr,
    keys: &TlsSettings,
) -> (Mesh, Receiver<VmId>) {
    let (sender, received) = unbounded();
    let deliver = Arc::new(move |from, _message| drop(sender.send(from)));
    let listed = ConfiguredVm {
        vm: VmId::from(peer),
        zone: ZoneName::from("zone"),
        disk: false,
    };
    let peers = [PeerSettings {
        listed,
        address: peer_address,
    }];
    let keys = MeshKeys::open(keys).expect("keys");
    let mesh = Mesh::bind(&VmId::from(vm), address, &peers, &keys, &discard(), deliver);
    (mesh.expect("a mesh"), received)
}

/// Sends messages from one VM to another, and returns who was heard.
fn heard(
    sender: &str,
    keys: &TlsSettings,
    receiver_keys: &TlsSettings,
    wait: Duration,
) -> Option<VmId> {
    let (one, two) = (free_address(), free_address());
    let (mesh, _) = bind(sender, one, "vm-2", two, keys);
    let (_other, received) = bind("vm-2", two, "vm-1", one, receiver_keys);
    let start = std::time::Instant::now();
    while start.elapsed() < wait {
        mesh.send(&VmId::from("vm-2"), MeshMessage::PullManifest { have: 1 });
        match received.recv_timeout(Duration::from_millis(50)) {
            Ok(from) => return Some(from),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
    }
    None
}

fn folder() -> TempDir {
    tempfile::tempdir().expect("a folder")
}

#[test]
fn a_vm_of_the_authority_is_heard_under_its_name() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-1", &authority);
    let other = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(
        heard("vm-1", &keys, &other, PATIENCE),
        Some(VmId::from("vm-1"))
    );
}

#[test]
fn a_vm_of_another_authority_is_not_heard() {
    let (folder, authority, stranger) = (folder(), Authority::new(), Authority::new());
    let keys = stranger.write(folder.path(), "vm-1", &authority);
    let other = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(heard("vm-1", &keys, &other, SILENCE), None);
}

#[test]
fn a_vm_under_the_name_of_another_is_not_heard() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-3", &authority);
    let other = authority.write(folder.path(), "vm-2", &authority);
    assert_eq!(heard("vm-1", &keys, &other, SILENCE), None);
}

#[test]
fn a_vm_that_answers_under_another_name_is_not_talked_to() {
    let (folder, authority) = (folder(), Authority::new());
    let keys = authority.write(folder.path(), "vm-1", &authority);
    let other = authority.write(folder.path(), "vm-9", &authority);
    assert_eq!(heard("vm-1", &keys, &other, SILENCE), None);
}
