//! What must hold of a control log, whatever happens to its replicas.

use std::collections::BTreeMap;
use std::sync::Arc;

use merlinrudder_core::claims::{ClaimKey, ClaimOutcome};
use merlinrudder_core::consensus::message::{Entry, Index, ReplicaId, Term};
use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::units::RequestId;

/// What must hold, looked at after every step.
#[derive(Default)]
pub struct Oracle {
    /// Entry applied at each position, by whichever replica was first.
    pub applied: BTreeMap<Index, Entry>,
    /// Leader of each term.
    pub leaders: BTreeMap<Term, ReplicaId>,
    /// Bytes accepted under each number.
    pub accepted: BTreeMap<u64, Arc<[u8]>>,
    /// Owner that won each claim.
    pub claimed: BTreeMap<ClaimKey, RequestId>,
}

impl Oracle {
    pub fn check_answer(&mut self, command: &Command, answer: &Answer) -> Result<(), String> {
        match (command, answer) {
            (Command::Publish(published), Answer::Accepted(_)) => {
                let number = published.number.0;
                let known = self
                    .accepted
                    .entry(number)
                    .or_insert_with(|| Arc::clone(&published.bytes));
                if *known != published.bytes {
                    return Err(format!("number {number} was accepted with two contents"));
                }
            }
            (Command::Claim { key, owner, .. }, Answer::Claim(ClaimOutcome::Acquired)) => {
                let known = self.claimed.entry(key.clone()).or_insert(*owner);
                if known != owner {
                    return Err(format!("two requests won the claim {}", key.key));
                }
            }
            _ => {}
        }
        Ok(())
    }
}
