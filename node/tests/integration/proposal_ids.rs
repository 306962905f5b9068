//! Ids of proposals, across processes of one VM.

use std::collections::BTreeSet;

use merlinrudder_node::proposal_ids::ProposalIds;

/// Proposals that may wait for an answer when a process ends.
const WAITING: usize = 1000;

fn first_ids() -> BTreeSet<u64> {
    let mut ids = ProposalIds::start();
    (0..WAITING).map(|_| ids.allocate()).collect()
}

/// Guards against a late answer to an earlier process, such as an acquired claim, that answers a proposal of this one.
#[test]
fn a_process_does_not_use_the_ids_of_an_earlier_one() {
    let (earlier, next) = (first_ids(), first_ids());
    assert!(earlier.is_disjoint(&next));
    assert!(!next.contains(&0), "0 stands for proposals without a call");
}
