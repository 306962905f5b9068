//! Table of the open links by VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use merlinrudder_core::names::VmId;
use merlinrudder_wire::mesh::WireFeatures;
use merlinrudder_wire::peers::WirePeer;
use tokio::sync::{Notify, mpsc};

/// Sending end of the frame queue of one link.
#[derive(Debug)]
pub(super) struct FrameQueue(mpsc::Sender<Vec<u8>>);

impl FrameQueue {
    pub(super) fn new(sender: mpsc::Sender<Vec<u8>>) -> Self {
        Self(sender)
    }
}

/// Open links to all VMs, and the addresses being dialled.
#[derive(Debug, Default)]
pub(super) struct LinkTable {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Id of the newest link.
    last_id: u64,
    /// VMs with at least one open link.
    connected: BTreeMap<VmId, ConnectedPeer>,
    /// Addresses that a task keeps connecting to; each is notified when its VM loses its last link.
    dialled: BTreeMap<SocketAddr, Arc<Notify>>,
}

#[derive(Debug)]
struct ConnectedPeer {
    /// The VM as its newest link introduced it.
    peer: WirePeer,
    /// Its features, as that link told them.
    features: WireFeatures,
    /// Frame queues by link id; two VMs may dial each other at the same time.
    links: BTreeMap<u64, FrameQueue>,
}

impl LinkTable {
    /// Adds a link; returns its id and whether it is the VM's only one.
    pub(super) fn open(
        &self,
        peer: &WirePeer,
        features: WireFeatures,
        queue: FrameQueue,
    ) -> (u64, bool) {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let connected = state
            .connected
            .entry(peer.vm_id())
            .or_insert_with(|| ConnectedPeer {
                peer: peer.clone(),
                features: WireFeatures::default(),
                links: BTreeMap::new(),
            });
        let is_first = connected.links.is_empty();
        connected.peer = peer.clone();
        connected.features = features;
        connected.links.insert(id, queue);
        (id, is_first)
    }

    /// Removes a link; returns whether it was the VM's last.
    pub(super) fn close(&self, vm: &VmId, id: u64) -> bool {
        let mut state = self.state();
        let Some(connected) = state.connected.get_mut(vm) else {
            return false;
        };
        connected.links.remove(&id);
        if !connected.links.is_empty() {
            return false;
        }
        let address = connected.peer.address;
        state.connected.remove(vm);
        if let Some(lost) = state.dialled.get(&address) {
            lost.notify_one();
        }
        true
    }

    /// Queues a frame on the newest link with room; returns false if there is none.
    pub(super) fn send(&self, to: &VmId, frame: Vec<u8>) -> bool {
        let state = self.state();
        let links = state.connected.get(to).map(|connected| &connected.links);
        let mut frame = frame;
        for queue in links.into_iter().flat_map(|links| links.values().rev()) {
            match queue.0.try_send(frame) {
                Ok(()) => return true,
                Err(error) => frame = error.into_inner(),
            }
        }
        false
    }

    /// Returns the VMs whose features match.
    pub(super) fn vms_with(&self, matches: impl Fn(&WireFeatures) -> bool) -> Vec<VmId> {
        let state = self.state();
        let matching = state.connected.iter().filter(|(_, c)| matches(&c.features));
        matching.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the features of a VM with an open link.
    pub(super) fn features(&self, vm: &VmId) -> Option<WireFeatures> {
        let state = self.state();
        state.connected.get(vm).map(|c| c.features.clone())
    }

    pub(super) fn peers(&self) -> Vec<WirePeer> {
        let state = self.state();
        state
            .connected
            .values()
            .map(|connected| connected.peer.clone())
            .collect()
    }

    pub(super) fn count(&self) -> usize {
        let state = self.state();
        let connected = state.connected.values();
        connected.map(|connected| connected.links.len()).sum()
    }

    /// Whether a link is open to the VM that accepts links at an address.
    pub(super) fn is_linked(&self, address: SocketAddr) -> bool {
        let state = self.state();
        let mut connected = state.connected.values();
        connected.any(|connected| connected.peer.address == address)
    }

    /// Marks an address as being dialled; `None` if it already was.
    ///
    /// Returns what is notified when the VM at that address loses its last link.
    pub(super) fn start_dialling(&self, address: SocketAddr) -> Option<Arc<Notify>> {
        let mut state = self.state();
        if state.dialled.contains_key(&address) {
            return None;
        }
        let lost = Arc::new(Notify::new());
        state.dialled.insert(address, Arc::clone(&lost));
        Some(lost)
    }

    pub(super) fn stop_dialling(&self, address: SocketAddr) {
        self.state().dialled.remove(&address);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
