//! Cluster formation: how replicas find each other and become voters.
//!
//! A replica that is not a committed voter sends hello messages to the other VMs with a replica.
//! This covers the first start of a cluster, a restart, and a VM with a new disk.

use std::collections::BTreeMap;

use merlinrudder_core::consensus::Consensus;
use merlinrudder_core::consensus::message::{Index, ReplicaId};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::WireHello;

use crate::constants::HELLO_PERIOD;

/// State of the hello exchange of a replica.
#[derive(Debug, Default)]
pub(crate) struct ClusterFormation {
    /// VMs that form a new cluster, including this one.
    ///
    /// Empty if no cluster may be formed, or not yet.
    pub(crate) initial_vms: Vec<VmId>,
    /// Replicas that reported no voters in their last hello, by VM.
    empty_peers: BTreeMap<VmId, ReplicaId>,
    next_hello: Moment,
}

impl ClusterFormation {
    pub(crate) fn new(initial_vms: Vec<VmId>) -> Self {
        Self {
            initial_vms,
            ..Self::default()
        }
    }

    /// Returns the hello that is due for all peers, if any.
    ///
    /// The initial VM with the lowest id bootstraps the cluster, once all others reported that
    /// their folders are empty. So only one cluster is formed.
    pub(crate) fn tick(&mut self, now: Moment, consensus: &mut Consensus) -> Option<WireHello> {
        if consensus.is_committed_voter() || now < self.next_hello {
            return None;
        }
        self.next_hello = now + HELLO_PERIOD;
        let own = consensus.id().clone();
        if consensus.voters().is_empty()
            && let Some(voters) = self.initial_voters(&own)
        {
            consensus.bootstrap(voters);
        }
        let voters = consensus.voters().to_vec();
        Some(WireHello::new(own, voters, true))
    }

    /// Handles the hello of a peer; returns the reply that it asks for.
    ///
    /// A leader adds an unknown peer as a learner.
    pub(crate) fn receive_hello(
        &mut self,
        now: Moment,
        consensus: &mut Consensus,
        hello: &WireHello,
    ) -> Option<WireHello> {
        let peer = hello.replica();
        let own = consensus.id().clone();
        let known_voters = consensus.voters().to_vec();
        let peer_voters = hello.voters();
        if peer_voters.is_empty() {
            self.empty_peers.insert(peer.vm.clone(), peer.clone());
        } else {
            self.empty_peers.remove(&peer.vm);
        }
        let own_empty = known_voters.is_empty() && consensus.log().last_index() == Index(0);
        if own_empty && peer_voters.contains(&own) {
            // The cluster was bootstrapped with this folder's incarnation as a voter.
            consensus.bootstrap(peer_voters);
        } else if !known_voters.contains(&peer) {
            consensus.add_learner(now, peer);
        }
        let voters = consensus.voters().to_vec();
        hello
            .wants_reply
            .then(|| WireHello::new(own, voters, false))
    }

    /// Returns the voters to bootstrap with, if this VM may do so now.
    fn initial_voters(&self, own: &ReplicaId) -> Option<Vec<ReplicaId>> {
        if self.initial_vms.iter().min() != Some(&own.vm) {
            return None;
        }
        let others = self.initial_vms.iter().filter(|vm| **vm != own.vm);
        let others = others.map(|vm| self.empty_peers.get(vm).cloned());
        let mut voters = others.collect::<Option<Vec<_>>>()?;
        voters.push(own.clone());
        voters.sort_unstable();
        Some(voters)
    }
}
