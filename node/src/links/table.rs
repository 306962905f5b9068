//! Which links are open to whom.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use merlinrudder_core::names::VmId;
use merlinrudder_wire::peers::WirePeer;
use tokio::sync::mpsc;

/// Frames on their way to one link.
#[derive(Debug)]
pub(super) struct Queue(mpsc::Sender<Vec<u8>>);

impl Queue {
    pub(super) fn new(frames: mpsc::Sender<Vec<u8>>) -> Self {
        Self(frames)
    }
}

/// All open links, and the addresses that are dialled.
#[derive(Debug, Default)]
pub(super) struct Table {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Grows with each link.
    next: u64,
    /// Open links by VM; no entry is without a link.
    open: BTreeMap<VmId, OpenPeer>,
    dialled: BTreeSet<SocketAddr>,
}

#[derive(Debug)]
struct OpenPeer {
    peer: WirePeer,
    links: BTreeMap<u64, Queue>,
}

impl Table {
    /// Adds a link; returns its number and whether it is the VM's first.
    pub(super) fn open(&self, peer: &WirePeer, queue: Queue) -> (u64, bool) {
        let mut state = self.state();
        state.next += 1;
        let id = state.next;
        let open = state.open.entry(peer.vm_id()).or_insert_with(|| OpenPeer {
            peer: peer.clone(),
            links: BTreeMap::new(),
        });
        let first = open.links.is_empty();
        open.peer = peer.clone();
        open.links.insert(id, queue);
        (id, first)
    }

    /// Removes a link; returns whether it was the VM's last.
    pub(super) fn close(&self, vm: &VmId, id: u64) -> bool {
        let mut state = self.state();
        let Some(open) = state.open.get_mut(vm) else {
            return false;
        };
        open.links.remove(&id);
        let last = open.links.is_empty();
        if last {
            state.open.remove(vm);
        }
        last
    }

    /// Hands a frame to the newest link that takes it.
    pub(super) fn send(&self, to: &VmId, frame: Vec<u8>) -> bool {
        let state = self.state();
        let links = state.open.get(to).map(|open| &open.links);
        let mut frame = frame;
        for queue in links.into_iter().flat_map(|links| links.values().rev()) {
            match queue.0.try_send(frame) {
                Ok(()) => return true,
                Err(error) => frame = error.into_inner(),
            }
        }
        false
    }

    pub(super) fn peers(&self) -> Vec<WirePeer> {
        let state = self.state();
        state.open.values().map(|open| open.peer.clone()).collect()
    }

    /// Notes that an address is dialled; returns false where it was already.
    pub(super) fn start_dialling(&self, address: SocketAddr) -> bool {
        self.state().dialled.insert(address)
    }

    pub(super) fn stop_dialling(&self, address: SocketAddr) {
        self.state().dialled.remove(&address);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
