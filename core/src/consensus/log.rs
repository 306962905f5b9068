//! In-memory log: the latest snapshot and the entries after it.

use std::collections::VecDeque;

use super::message::{Entry, HardState, Index, Payload, Record, ReplicaId, Snapshot, Term};

/// Maximum payload bytes of a batch; a single larger entry is still sent.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Maximum number of entries in a batch.
const MAX_BATCH_ENTRIES: usize = 512;

/// Snapshot and the entries after it, at consecutive positions.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    /// Entry `i` has position `snapshot.index + 1 + i`.
    entries: VecDeque<Entry>,
}

impl Log {
    /// Builds a log from a snapshot and entries; later entries replace earlier ones.
    ///
    /// # Panics
    /// Panics if the entries leave a gap.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            log.truncate_and_append(entry);
        }
        log
    }

    /// Returns the snapshot that the entries build on.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the position of the last entry, or else of the snapshot.
    #[must_use]
    pub fn last_index(&self) -> Index {
        Index(self.snapshot.index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry, or else of the snapshot.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term at a position, unless compacted or past the end.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at a position, unless compacted or past the end.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the voters of the latest membership change, even if it is not committed.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.last_voters_entry()
            .map_or(&self.snapshot.voters, |(_, voters)| voters)
    }

    /// Returns the position of the latest membership change, or else of the snapshot.
    #[must_use]
    pub fn voters_index(&self) -> Index {
        self.last_voters_entry()
            .map_or(self.snapshot.index, |(index, _)| index)
    }

    /// Returns the voters in force at a position, which must not be compacted.
    #[must_use]
    pub fn voters_at(&self, index: Index) -> Vec<ReplicaId> {
        let earlier = self
            .entries
            .iter()
            .rev()
            .skip_while(|entry| entry.index > index);
        let mut found = earlier.filter_map(|entry| match &entry.payload {
            Payload::Voters(voters) => Some(voters.clone()),
            Payload::Noop | Payload::Command(_) => None,
        });
        found.next().unwrap_or_else(|| self.snapshot.voters.clone())
    }

    /// Truncates the log from the entry's position on and appends the entry.
    ///
    /// An entry that the snapshot covers is ignored.
    ///
    /// # Panics
    /// Panics if the entry would leave a gap.
    pub fn truncate_and_append(&mut self, entry: Entry) {
        let Some(offset) = entry.index.0.checked_sub(self.snapshot.index.0 + 1) else {
            return;
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        assert!(
            offset <= self.entries.len(),
            "an entry must not leave a gap in the log"
        );
        self.entries.truncate(offset);
        self.entries.push_back(entry);
    }

    /// Returns all entries after the snapshot, in order of position.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the entries from `first` on, within the limits of one message.
    #[must_use]
    pub fn batch_from(&self, first: Index) -> Vec<Entry> {
        let skip = usize::try_from(first.0.saturating_sub(self.snapshot.index.0 + 1));
        let rest = self.entries.iter().skip(skip.unwrap_or(usize::MAX));
        let mut batch = Vec::new();
        let mut bytes = 0;
        for entry in rest.take(MAX_BATCH_ENTRIES) {
            bytes += payload_bytes(&entry.payload);
            if bytes > MAX_BATCH_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Replaces the whole log with a snapshot and drops all entries.
    pub fn reset_to_snapshot(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Drops the entries that a newer snapshot covers and keeps later ones.
    pub fn compact(&mut self, snapshot: Snapshot) {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index <= snapshot.index)
        {
            self.entries.pop_front();
        }
        self.snapshot = snapshot;
    }

    fn last_voters_entry(&self) -> Option<(Index, &Vec<ReplicaId>)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some((entry.index, voters)),
                Payload::Noop | Payload::Command(_) => None,
            })
    }
}

fn payload_bytes(payload: &Payload) -> usize {
    match payload {
        Payload::Noop => 0,
        Payload::Command(bytes) => bytes.len(),
        Payload::Voters(voters) => voters.len() * size_of::<ReplicaId>(),
    }
}

/// Replays the journal records of a replica, in order, into its state.
#[must_use]
pub fn recover(records: Vec<Record>) -> (HardState, Log) {
    let mut hard_state = HardState::default();
    let mut log = Log::default();
    for record in records {
        match record {
            Record::HardState(state) => hard_state = state,
            Record::Snapshot(snapshot) => log.reset_to_snapshot(snapshot),
            Record::Entry(entry) => log.truncate_and_append(entry),
        }
    }
    (hard_state, log)
}
