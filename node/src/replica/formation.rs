//! Cluster formation: how replicas find each other and become voters.
//!
//! A replica that is not a committed voter sends hello messages to the other VMs with a replica.
//! This covers the first start of a cluster, a restart, and a VM with a new disk.
//!
//! All initial VMs form a new cluster together. If one of them is lost before that, the others form it without
//! it after [`FORMATION_TIMEOUT`], if each majority of them has a VM in common with each majority of any other such
//! set. So two sets that formed at the same time, each without a VM of the other, still elect one leader a term,
//! and its log takes the others in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use merlinrudder_core::consensus::message::{Index, ReplicaId};
use merlinrudder_core::consensus::{Consensus, quorum_size};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::WireHello;

use crate::constants::HELLO_PERIOD;

/// Time after the first hello from which on a cluster may be formed without some of the initial VMs.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the hello exchange of a replica.
#[derive(Debug, Default)]
pub(crate) struct ClusterFormation {
    /// VMs that form a new cluster, including this one, as far as they are known.
    ///
    /// Empty if no cluster may be formed, or not yet.
    pub(crate) initial_vms: Vec<VmId>,
    /// How many VMs form a new cluster.
    initial_count: usize,
    /// Those of the initial VMs that are linked and known to have been started to form a new cluster.
    ///
    /// A VM that comes back with an empty disk may have been a voter before, and is none of them.
    pub(crate) founders: BTreeSet<VmId>,
    /// Replicas that reported no voters in their last hello, by VM.
    empty_peers: BTreeMap<VmId, ReplicaId>,
    /// Whether another replica reported voters, so that there is a cluster.
    cluster_exists: bool,
    /// When the first hello was sent.
    started_at: Option<Moment>,
    next_hello: Moment,
}

impl ClusterFormation {
    /// Begins the exchange of a VM that knows all initial VMs; `initial_vms` is empty if it may form no cluster.
    pub(crate) fn new(initial_vms: Vec<VmId>) -> Self {
        Self {
            initial_count: initial_vms.len(),
            initial_vms,
            ..Self::default()
        }
    }

    /// Begins the exchange of a VM that forms a cluster with others which it does not know yet.
    pub(crate) fn awaiting(initial_count: usize) -> Self {
        Self {
            initial_count,
            ..Self::default()
        }
    }

    /// Returns the hello that is due for all peers, if any.
    ///
    /// The initial VM with the lowest id bootstraps the cluster, once the others reported that their folders are
    /// empty. A VM introduces itself until something was committed: the others may have formed the cluster without it.
    pub(crate) fn tick(&mut self, now: Moment, consensus: &mut Consensus) -> Option<WireHello> {
        let is_member = consensus.is_committed_voter() && consensus.commit_index() > Index(0);
        if is_member || now < self.next_hello {
            return None;
        }
        self.next_hello = now + HELLO_PERIOD;
        let own = consensus.id().clone();
        let started_at = *self.started_at.get_or_insert(now);
        let is_overdue = now.since(started_at) >= FORMATION_TIMEOUT;
        if consensus.voters().is_empty()
            && let Some(voters) = self.initial_voters(&own, is_overdue)
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
            self.cluster_exists = true;
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
    fn initial_voters(&self, own: &ReplicaId, is_overdue: bool) -> Option<Vec<ReplicaId>> {
        if self.cluster_exists || !self.initial_vms.contains(&own.vm) {
            return None;
        }
        let all = self.empty_replicas(own, |_| true);
        if all.len() == self.initial_count && is_lowest(own, &all) {
            return Some(all);
        }
        let founders = self.empty_replicas(own, |vm| self.founders.contains(vm));
        let is_enough = is_overdue && self.quorums_overlap(founders.len());
        (is_enough && is_lowest(own, &founders)).then_some(founders)
    }

    /// Returns this replica and those of the initial VMs that are empty and `counts` accepts.
    fn empty_replicas(&self, own: &ReplicaId, counts: impl Fn(&VmId) -> bool) -> Vec<ReplicaId> {
        let others = self.initial_vms.iter().filter(|vm| **vm != own.vm);
        let empty = others.filter_map(|vm| self.empty_peers.get(vm));
        let counted = empty.filter(|peer| counts(&peer.vm)).cloned();
        let mut replicas: Vec<_> = counted.chain([own.clone()]).collect();
        replicas.sort_unstable();
        replicas
    }

    /// Whether any two majorities of sets of at least `voters` initial VMs have a VM in common.
    fn quorums_overlap(&self, voters: usize) -> bool {
        2 * quorum_size(voters) > self.initial_count
    }
}

fn is_lowest(own: &ReplicaId, replicas: &[ReplicaId]) -> bool {
    replicas.iter().all(|replica| own.vm <= replica.vm)
}
