//! The other VMs as a control VM last knew them, kept in its data folder.
//!
//! All control VMs that the settings name may have been replaced. After a restart a control VM then
//! finds the others, and is found by the entry VMs, by the addresses that it has kept.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_store::{Disk, SideFile};
use merlinrudder_wire::mesh::{decode, encode};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info, warn};

/// Name of the file in the data folder.
const FILE_NAME: &str = "peers";
/// Shortest time between two writes.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a list is written again that could not be written.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a link after which a VM that is no voter is forgotten.
const MAX_UNLINKED_TIME: Duration = Duration::from_mins(10);

/// VMs with which this one has or had a link.
#[derive(Debug)]
pub(super) struct KnownPeers {
    known: BTreeMap<VmId, KnownPeer>,
    /// What was last passed to the thread that writes.
    saved: Vec<WirePeer>,
    next_save: Moment,
    writer: Sender<Vec<WirePeer>>,
}

#[derive(Debug)]
struct KnownPeer {
    peer: WirePeer,
    /// When a link to it was last seen open.
    linked_at: Moment,
}

impl KnownPeers {
    /// Reads what was kept in the data folder, and starts the thread that writes it.
    ///
    /// # Errors
    /// Fails if the thread cannot be spawned.
    pub(super) fn open(now: Moment, folder: &Path, log: &Logger) -> Result<Self> {
        let file = SideFile::new(&Disk::default(), folder, FILE_NAME);
        let saved: Vec<WirePeer> = file
            .read()
            .and_then(|bytes| decode(&bytes).ok())
            .unwrap_or_default();
        info!(log, "Opened the list of known VMs"; "vms" => saved.len(),
            "control" => saved.iter().filter(|peer| peer.control).count());
        let known = saved.iter().map(|peer| {
            let peer = peer.clone();
            let linked_at = now;
            (peer.vm_id(), KnownPeer { peer, linked_at })
        });
        let (writer, lists) = unbounded();
        let log = log.clone();
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || write_lists(&file, &lists, &log))?;
        Ok(Self {
            known: known.collect(),
            saved,
            next_save: now,
            writer,
        })
    }

    /// Returns the VMs that were kept.
    pub(super) fn kept(&self) -> &[WirePeer] {
        &self.saved
    }

    /// Records a VM with a new link, under its present address.
    pub(super) fn linked(&mut self, now: Moment, peer: &WirePeer) {
        let known = KnownPeer {
            peer: peer.clone(),
            linked_at: now,
        };
        self.known.insert(peer.vm_id(), known);
    }

    /// Whether it is time to look for changes.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        now >= self.next_save
    }

    /// Writes the list if it has changed; voters stay in it also without a link.
    pub(super) fn save(&mut self, now: Moment, linked: &[WirePeer], voters: &[VmId]) {
        self.next_save = now + SAVE_INTERVAL;
        for peer in linked {
            self.linked(now, peer);
        }
        self.known.retain(|vm, known| {
            voters.contains(vm) || now.since(known.linked_at) < MAX_UNLINKED_TIME
        });
        let peers = self.known.values().map(|known| known.peer.clone());
        let peers: Vec<_> = peers.collect();
        if peers != self.saved {
            self.saved.clone_from(&peers);
            // The thread runs as long as this handle exists, so the list is always received.
            drop(self.writer.send(peers));
        }
    }
}

/// Writes the newest list, on a thread of its own as the disk may be slow.
///
/// A list that cannot be written is tried again until a newer one comes.
fn write_lists(file: &SideFile, lists: &Receiver<Vec<WirePeer>>, log: &Logger) {
    while let Ok(list) = lists.recv() {
        let mut newest = lists.try_iter().last().unwrap_or(list);
        while let Err(error) = file.replace(&encode(&newest)) {
            warn!(log, "Cannot write the list of known VMs"; "error" => %error, "vms" => newest.len());
            match lists.recv_timeout(RETRY_INTERVAL) {
                Ok(list) => newest = list,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}
