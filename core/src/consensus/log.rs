//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;

use super::message::{Entry, HardState, Index, Payload, Record, ReplicaId, Snapshot, Term};

/// Most bytes of commands in one message, as far as more than one entry goes in.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Most entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;

/// A snapshot and the entries after it, without gaps.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    /// Entry `i` has position `snapshot.index + 1 + i`.
    entries: VecDeque<Entry>,
}

impl Log {
    /// Builds a log from what the data folder kept.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            log.put(entry);
        }
        log
    }

    /// Returns the snapshot before the first entry.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the last position.
    #[must_use]
    pub fn last_index(&self) -> Index {
        Index(self.snapshot.index.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last position.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term at a position, if the log still has it.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at a position.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the voters of the last voter entry, committed or not.
    #[must_use]
    pub fn voters(&self) -> &[ReplicaId] {
        self.voters_entry()
            .map_or(&self.snapshot.voters, |(_, voters)| voters)
    }

    /// Returns the position of the last voter entry, or of the snapshot.
    #[must_use]
    pub fn voters_index(&self) -> Index {
        self.voters_entry()
            .map_or(self.snapshot.index, |(index, _)| index)
    }

    /// Returns the voters as of a position.
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

    /// Puts an entry at its position and drops what stood there and later.
    ///
    /// # Panics
    /// Panics where the entry would leave a gap.
    pub fn put(&mut self, entry: Entry) {
        let Some(offset) = entry.index.0.checked_sub(self.snapshot.index.0 + 1) else {
            return;
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        assert!(
            offset <= self.entries.len(),
            "an entry must follow the last one"
        );
        self.entries.truncate(offset);
        self.entries.push_back(entry);
    }

    /// Returns all entries after the snapshot.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns entries from a position on, as many as go in one message.
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

    /// Replaces the whole log by a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Drops the entries that a snapshot of the own state covers.
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

    fn voters_entry(&self) -> Option<(Index, &Vec<ReplicaId>)> {
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

/// Rebuilds what a replica knew from the records of its journal.
#[must_use]
pub fn recover(records: Vec<Record>) -> (HardState, Log) {
    let mut hard = HardState::default();
    let mut log = Log::default();
    for record in records {
        match record {
            Record::HardState(state) => hard = state,
            Record::Snapshot(snapshot) => log.install(snapshot),
            Record::Entry(entry) => log.put(entry),
        }
    }
    (hard, log)
}
