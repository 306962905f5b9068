//! Safety invariants of the control log.

use std::collections::BTreeMap;
use std::sync::Arc;

use merlinrudder_core::claims::{ClaimKey, ClaimOutcome};
use merlinrudder_core::consensus::message::{Entry, Index, ReplicaId, Term};
use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::units::RequestId;

/// History of a simulation, against which every step is checked.
#[derive(Default)]
pub struct Oracle {
    /// First entry that any replica applied at each position.
    pub applied: BTreeMap<Index, Entry>,
    /// First leader observed in each term.
    pub leaders: BTreeMap<Term, ReplicaId>,
    /// Content of each accepted manifest, by manifest number.
    pub accepted: BTreeMap<u64, Arc<[u8]>>,
    /// Request that won each claim.
    pub claimed: BTreeMap<ClaimKey, RequestId>,
}

impl Oracle {
    /// Checks that no manifest number has two contents and no claim two owners.
    pub fn check_answer(&mut self, command: &Command, answer: &Answer) -> Result<(), String> {
        match (command, answer) {
            (Command::Publish(published), Answer::Accepted(_)) => {
                let number = published.number.0;
                let known = self
                    .accepted
                    .entry(number)
                    .or_insert_with(|| Arc::clone(&published.bytes));
                if *known != published.bytes {
                    return Err(format!("manifest {number} was accepted with two contents"));
                }
            }
            (Command::Claim { key, owner, .. }, Answer::Claim(ClaimOutcome::Acquired)) => {
                let known = self.claimed.entry(key.clone()).or_insert(*owner);
                if known != owner {
                    return Err(format!("two requests won the claim on key {}", key.key));
                }
            }
            _ => {}
        }
        Ok(())
    }
}
