//! Decides whether a published manifest needs an entry of its own in the control log.
//!
//! A publish is sent again until it is answered, by other VMs too. An entry for each repeat would
//! carry the whole document to all replicas once more, just while they are slow.

use crate::consensus::message::{Index, Term};
use crate::manifest::ManifestNumber;

/// What the leader does with a published manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishDecision {
    /// Append it.
    Append,
    /// Answer it once the entry at this position is committed: that manifest replaces it.
    Join(Index),
    /// Answer it now: a committed manifest has its number or a higher one.
    Answer,
}

/// A manifest that was appended and may not be committed yet.
#[derive(Clone, Copy, Debug)]
struct Appended {
    number: ManifestNumber,
    term: Term,
    index: Index,
}

/// The newest manifest that this replica has appended as leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct Publishing {
    newest: Option<Appended>,
}

impl Publishing {
    /// Decides about manifest `number`, while manifest `applied` is in force, or none is.
    ///
    /// `term` is the current one, `applied_index` the position up to which the log is applied.
    #[must_use]
    pub fn decide(
        &self,
        number: ManifestNumber,
        applied: Option<ManifestNumber>,
        term: Term,
        applied_index: Index,
    ) -> PublishDecision {
        if applied.is_some_and(|applied| number <= applied) {
            return PublishDecision::Answer;
        }
        let newest = self.newest.filter(|newest| {
            newest.term == term && newest.index > applied_index && newest.number >= number
        });
        newest.map_or(PublishDecision::Append, |newest| {
            PublishDecision::Join(newest.index)
        })
    }

    /// Records that a manifest was appended at `index` in `term`.
    pub fn appended(&mut self, number: ManifestNumber, term: Term, index: Index) {
        self.newest = Some(Appended {
            number,
            term,
            index,
        });
    }
}
