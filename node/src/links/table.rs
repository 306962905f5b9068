//! Table of the open links by VM.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use merlinrudder_core::link_policy::{IdleAction, IdleLimits, LinkIdle};
use merlinrudder_core::names::VmId;
use merlinrudder_wire::mesh::WireFeatures;
use merlinrudder_wire::peers::WirePeer;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{Notify, mpsc};

/// What the tasks of one link share with the check for idle links.
#[derive(Debug, Default)]
pub(super) struct LinkSignals {
    /// Whether a byte arrived since the last check.
    pub(super) received: AtomicBool,
    /// Ends the link, as nothing arrives.
    pub(super) silent: Notify,
}

/// One open link.
#[derive(Debug)]
pub(super) struct OpenLink {
    /// Sending end of its frame queue.
    frames: mpsc::Sender<Vec<u8>>,
    signals: Arc<LinkSignals>,
    limits: IdleLimits,
    idle: LinkIdle,
    /// Whether a frame was queued since the last check.
    sent: bool,
}

impl OpenLink {
    pub(super) fn new(
        frames: mpsc::Sender<Vec<u8>>,
        signals: Arc<LinkSignals>,
        limits: IdleLimits,
    ) -> Self {
        Self {
            frames,
            signals,
            limits,
            idle: LinkIdle::default(),
            sent: true,
        }
    }

    /// Queues a frame; gives it back if there is no room.
    fn send(&mut self, frame: Vec<u8>) -> Result<(), Vec<u8>> {
        self.frames
            .try_send(frame)
            .map_err(TrySendError::into_inner)?;
        self.sent = true;
        Ok(())
    }

    /// Sends a heartbeat or closes the link, if it is idle for too long.
    fn check(&mut self, elapsed: Duration) {
        let sent = std::mem::take(&mut self.sent);
        let received = self.signals.received.swap(false, Ordering::Relaxed);
        match self.idle.check(elapsed, sent, received, &self.limits) {
            IdleAction::Wait => {}
            // A full queue needs no heartbeat.
            IdleAction::Heartbeat => drop(self.frames.try_send(Vec::new())),
            IdleAction::Close => self.signals.silent.notify_one(),
        }
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
    /// Its links by id; two VMs may dial each other at the same time.
    links: BTreeMap<u64, OpenLink>,
}

impl ConnectedPeer {
    /// Queues a frame on the newest link with room; returns false if there is none.
    fn send(&mut self, mut frame: Vec<u8>) -> bool {
        for link in self.links.values_mut().rev() {
            match link.send(frame) {
                Ok(()) => return true,
                Err(unsent) => frame = unsent,
            }
        }
        false
    }
}

impl LinkTable {
    /// Adds a link; returns its id and whether it is the VM's only one.
    pub(super) fn open(
        &self,
        peer: &WirePeer,
        features: WireFeatures,
        link: OpenLink,
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
        connected.links.insert(id, link);
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
        let mut state = self.state();
        let connected = state.connected.get_mut(to);
        connected.is_some_and(|connected| connected.send(frame))
    }

    /// Sends heartbeats on idle links and closes silent ones, `elapsed` after the previous check.
    pub(super) fn check_idle(&self, elapsed: Duration) {
        let mut state = self.state();
        for connected in state.connected.values_mut() {
            for link in connected.links.values_mut() {
                link.check(elapsed);
            }
        }
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
