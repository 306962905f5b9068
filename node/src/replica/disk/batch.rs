//! Jobs of the disk thread that are written and synced together.

use merlinrudder_core::consensus::message::{Body, Index, Message, Record, ReplicaId, Term};
use merlinrudder_store::{DataFolder, StoreError};
use merlinrudder_wire::consensus::encode_record;

use super::{DiskJob, JournalRewrite, SyncReport};

/// Jobs that are written and synced together.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Encoded records that are not durable yet, in order.
    appended: Vec<Vec<u8>>,
    rewrite: Option<EncodedRewrite>,
    report: SyncReport,
}

/// Rewritten journal that replaces what is durable and the first records of a batch.
#[derive(Debug)]
struct EncodedRewrite {
    records: Vec<Vec<u8>>,
    /// Number of the batch's appended records that it contains.
    covered: usize,
    /// Whether those records may be appended instead; all of them are still there then.
    optional: bool,
}

/// How a batch was written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Written {
    /// As its jobs asked for.
    Whole,
    /// Its records were appended, as there was no room to rewrite the journal.
    WithoutRewrite,
}

impl Batch {
    /// Adds a later job.
    pub(super) fn add(&mut self, job: DiskJob) {
        let rewritten = job.rewrite.as_ref().map(|rewrite| &rewrite.records);
        let last = last_entry(rewritten.unwrap_or(&job.records));
        self.report.last_synced = last.or(self.report.last_synced);
        let encoded = job.records.into_iter().map(encode_record);
        self.appended.extend(encoded);
        if let Some(rewrite) = job.rewrite {
            self.set_rewrite(rewrite);
        }
        self.drop_large_fallback();
        for (to, message) in job.messages {
            self.add_message(to, message);
        }
    }

    /// Returns the number of records to write.
    pub(super) fn records(&self) -> usize {
        let rewritten = self.rewrite.as_ref().map(|rewrite| rewrite.records.len());
        self.appended.len() + rewritten.unwrap_or_default()
    }

    /// Returns the number of messages that wait for the sync.
    pub(super) fn messages(&self) -> usize {
        self.report.messages.len()
    }

    /// Returns the report of a batch that was written.
    pub(super) fn into_report(self) -> SyncReport {
        self.report
    }

    /// Writes and syncs the batch; if that fails, it may be tried again, also with more jobs.
    pub(super) fn try_write(&mut self, folder: &mut DataFolder) -> Result<Written, StoreError> {
        let mut written = Written::Whole;
        if let Some(rewrite) = &self.rewrite {
            match folder.journal.replace(&rewrite.records) {
                Ok(()) => {
                    self.appended.drain(..rewrite.covered);
                    self.rewrite = None;
                }
                Err(_) if rewrite.optional => written = Written::WithoutRewrite,
                Err(error) => return Err(error),
            }
        }
        if !self.appended.is_empty() || written == Written::WithoutRewrite {
            folder.journal.append(&self.appended)?;
        }
        Ok(written)
    }

    /// Sets the journal to write, which contains the records of all earlier jobs.
    fn set_rewrite(&mut self, rewrite: JournalRewrite) {
        let earlier_optional = self.rewrite.as_ref().is_none_or(|earlier| earlier.optional);
        let optional = rewrite.optional && earlier_optional;
        if !optional {
            self.appended.clear();
        }
        self.rewrite = Some(EncodedRewrite {
            records: rewrite.records.into_iter().map(encode_record).collect(),
            covered: self.appended.len(),
            optional,
        });
    }

    /// Drops the records that a rewritten journal contains, once it takes less room than they do.
    ///
    /// So a disk that stays full does not make the batch grow without bound.
    fn drop_large_fallback(&mut self) {
        let Some(rewrite) = &mut self.rewrite else {
            return;
        };
        let bytes = |records: &[Vec<u8>]| records.iter().map(Vec::len).sum::<usize>();
        let covered = &self.appended[..rewrite.covered];
        if rewrite.optional && bytes(covered) > bytes(&rewrite.records) {
            self.appended.drain(..rewrite.covered);
            rewrite.covered = 0;
            rewrite.optional = false;
        }
    }

    /// Adds a message, or joins it to an earlier reply to the same leader.
    fn add_message(&mut self, to: ReplicaId, message: Message) {
        if let Some(index) = synced_index(&message) {
            let messages = self.report.messages.iter_mut();
            let mut replies = messages
                .filter(|(other, earlier)| *other == to && earlier.term == message.term)
                .filter_map(|(_, earlier)| match &mut earlier.body {
                    Body::AppendReply {
                        success: true,
                        index,
                    } => Some(index),
                    _ => None,
                });
            if let Some(earlier) = replies.next() {
                *earlier = index.max(*earlier);
                return;
            }
        }
        self.report.messages.push((to, message));
    }
}

/// Returns the position up to which a message acknowledges the log.
fn synced_index(message: &Message) -> Option<Index> {
    match message.body {
        Body::AppendReply {
            success: true,
            index,
        } => Some(index),
        _ => None,
    }
}

fn last_entry(records: &[Record]) -> Option<(Term, Index)> {
    records.iter().rev().find_map(|record| match record {
        Record::Entry(entry) => Some((entry.term, entry.index)),
        Record::Snapshot(snapshot) => Some((snapshot.term, snapshot.index)),
        Record::HardState(_) => None,
    })
}
