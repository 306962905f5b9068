//! How replicas find each other: a first start, a return, a new disk.

use std::collections::BTreeMap;

use merlinrudder_core::consensus::message::{Index, ReplicaId};
use merlinrudder_core::membership::ListedVm;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::{MeshMessage, WireHello};
use slog::info;

use super::ControlThread;
use crate::constants::HELLO_PERIOD;

/// What the listed replicas said of themselves.
#[derive(Debug)]
pub(super) struct Formation {
    own: VmId,
    /// All other VMs with a disk.
    peers: Vec<VmId>,
    /// Peers whose folder is empty, by their last word.
    empty: BTreeMap<VmId, ReplicaId>,
    due: Moment,
}

impl Formation {
    pub(super) fn open(own: &VmId, peers: &[ListedVm]) -> Self {
        let peers = peers.iter().map(|peer| peer.vm.clone()).collect();
        Self {
            own: own.clone(),
            peers,
            empty: BTreeMap::new(),
            due: Moment::default(),
        }
    }

    /// Returns the first voters once every listed VM said that its folder is empty.
    ///
    /// Only the first VM in order forms, so that there is one cluster.
    fn first_voters(&self, own: &ReplicaId) -> Option<Vec<ReplicaId>> {
        let first = self.peers.iter().all(|peer| self.own < *peer);
        let all_empty = self.peers.iter().all(|peer| self.empty.contains_key(peer));
        if !first || !all_empty {
            return None;
        }
        let mut voters: Vec<_> = self.empty.values().cloned().collect();
        voters.push(own.clone());
        voters.sort_unstable();
        Some(voters)
    }
}

impl ControlThread {
    /// Introduces this replica for as long as it is no voter.
    pub(super) fn tick_formation(&mut self, now: Moment) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        let own = replica.consensus.own().clone();
        let voters = replica.consensus.voters().to_vec();
        if replica.consensus.is_settled_voter() || now < formation.due {
            return;
        }
        formation.due = now + HELLO_PERIOD;
        for peer in &formation.peers {
            let hello = WireHello::new(own.clone(), voters.clone(), true);
            self.mesh.send(peer, MeshMessage::Hello(hello));
        }
        if voters.is_empty()
            && let Some(voters) = formation.first_voters(&own)
        {
            info!(self.log, "All folders are empty; forming the control log"; "voters" => voters.len());
            replica.consensus.form(voters);
        }
    }

    pub(super) fn take_hello(&mut self, now: Moment, from: &VmId, hello: &WireHello) {
        let (Some(replica), Some(formation)) = (&mut self.replica, &mut self.formation) else {
            return;
        };
        let introduced = hello.replica();
        if introduced.vm != *from || !formation.peers.contains(from) {
            return;
        }
        let consensus = &mut replica.consensus;
        let own = consensus.own().clone();
        let known = consensus.voters().to_vec();
        let theirs = hello.voters();
        if theirs.is_empty() {
            formation.empty.insert(from.clone(), introduced.clone());
        } else {
            formation.empty.remove(from);
        }
        let empty = known.is_empty() && consensus.log().last_index() == Index(0);
        if empty && theirs.contains(&own) {
            // The others formed the cluster with this very folder.
            consensus.form(theirs);
        } else if !known.contains(&introduced) {
            consensus.add_learner(now, introduced);
        }
        if hello.answer {
            let voters = replica.consensus.voters().to_vec();
            let answer = WireHello::new(own, voters, false);
            self.mesh.send(from, MeshMessage::Hello(answer));
        }
    }
}
