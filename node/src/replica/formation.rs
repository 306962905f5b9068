//! How replicas find each other: a first start, a return, a new disk.

use std::collections::BTreeMap;

use merlinrudder_core::consensus::Consensus;
use merlinrudder_core::consensus::message::{Index, ReplicaId};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::WireHello;

use crate::constants::HELLO_PERIOD;

/// What other replicas said of themselves, for as long as this one is no voter.
#[derive(Debug, Default)]
pub(crate) struct Formation {
    /// All VMs that form a new cluster together, this one included; empty where none may form.
    pub(crate) founders: Vec<VmId>,
    /// Peers whose folder is empty, by their last word.
    empty: BTreeMap<VmId, ReplicaId>,
    due: Moment,
}

impl Formation {
    pub(crate) fn open(founders: Vec<VmId>) -> Self {
        Self {
            founders,
            ..Self::default()
        }
    }

    /// Lets time pass; returns an introduction that is due for every peer.
    ///
    /// The first founder in order forms the cluster once all of them said that their folders are
    /// empty, so that there is one cluster.
    pub(crate) fn tick(&mut self, now: Moment, consensus: &mut Consensus) -> Option<WireHello> {
        if consensus.is_committed_voter() || now < self.due {
            return None;
        }
        self.due = now + HELLO_PERIOD;
        let own = consensus.id().clone();
        let voters = consensus.voters().to_vec();
        if voters.is_empty()
            && let Some(voters) = self.first_voters(&own)
        {
            consensus.bootstrap(voters);
        }
        Some(WireHello::new(own, voters, true))
    }

    /// Takes an introduction in; returns the answer that it asks for.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        consensus: &mut Consensus,
        hello: &WireHello,
    ) -> Option<WireHello> {
        let introduced = hello.replica();
        let own = consensus.id().clone();
        let known = consensus.voters().to_vec();
        let theirs = hello.voters();
        if theirs.is_empty() {
            self.empty.insert(introduced.vm.clone(), introduced.clone());
        } else {
            self.empty.remove(&introduced.vm);
        }
        let empty = known.is_empty() && consensus.log().last_index() == Index(0);
        if empty && theirs.contains(&own) {
            // The others formed the cluster with this very folder.
            consensus.bootstrap(theirs);
        } else if !known.contains(&introduced) {
            consensus.add_learner(now, introduced);
        }
        let voters = consensus.voters().to_vec();
        hello
            .wants_reply
            .then(|| WireHello::new(own, voters, false))
    }

    fn first_voters(&self, own: &ReplicaId) -> Option<Vec<ReplicaId>> {
        if self.founders.iter().min() != Some(&own.vm) {
            return None;
        }
        let others = self.founders.iter().filter(|founder| **founder != own.vm);
        let others = others.map(|founder| self.empty.get(founder).cloned());
        let mut voters = others.collect::<Option<Vec<_>>>()?;
        voters.push(own.clone());
        voters.sort_unstable();
        Some(voters)
    }
}
