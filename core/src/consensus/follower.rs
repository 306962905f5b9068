//! Follower duties: acceptance of a leader, of its entries and of its snapshots.

use super::message::{Body, Entry, Index, Message, Record, ReplicaId, Snapshot, Term};
use super::{Consensus, Output};
use crate::time::Moment;

impl Consensus {
    /// Follows the sender as leader, or rejects an old term and returns false.
    pub(super) fn accept_leader(&mut self, now: Moment, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            let index = self.log.last_index();
            self.reply_append(from, false, index);
            return false;
        }
        self.leaderless_elections = 0;
        self.become_follower(now, Some(from.clone()));
        self.leader_contact = Some(now);
        true
    }

    fn reply_append(&mut self, to: &ReplicaId, success: bool, index: Index) {
        let body = Body::AppendReply { success, index };
        let message = Message {
            term: self.hard_state.term,
            body,
        };
        let to = to.clone();
        // A rejection depends on no sync, and a leader that waits for it would step down.
        let output = if success {
            Output::SendAfterSync(to, message)
        } else {
            Output::Send(to, message)
        };
        self.outputs.push(output);
    }

    pub(super) fn handle_append(
        &mut self,
        from: &ReplicaId,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        let covered = prev_index < self.log.snapshot().index;
        if !covered && self.log.term_at(prev_index) != Some(prev_term) {
            let hint = prev_index
                .previous()
                .min(self.log.last_index())
                .max(self.commit_index);
            self.reply_append(from, false, hint);
            return;
        }
        let match_index = entries.last().map_or(prev_index, |entry| entry.index);
        for entry in entries {
            self.append_entry(entry);
        }
        // The reply waits for syncs, if only of a vote or behind those of earlier entries.
        self.send_following(from);
        self.reply_append(from, true, match_index.max(self.log.snapshot().index));
        self.commit_to(commit.min(match_index));
    }

    /// Tells the leader at once that this replica follows, ahead of the synced reply.
    ///
    /// A leader that hears nothing during a long sync would step down, and so would its successor.
    fn send_following(&mut self, leader: &ReplicaId) {
        let message = Message {
            term: self.hard_state.term,
            body: Body::Following,
        };
        self.outputs.push(Output::Send(leader.clone(), message));
    }

    fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot().index {
            return;
        }
        if self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        assert!(
            entry.index > self.commit_index,
            "a committed entry must never be replaced"
        );
        self.synced_index = self.synced_index.min(entry.index.previous());
        self.log.truncate_and_append(entry.clone());
        self.outputs.push(Output::Persist(Record::Entry(entry)));
    }

    pub(super) fn handle_install(&mut self, from: &ReplicaId, snapshot: Snapshot) {
        let index = snapshot.index;
        if index <= self.commit_index {
            // It may be a repetition of a snapshot that is not synced yet.
            self.send_following(from);
            self.reply_append(from, true, self.commit_index);
            return;
        }
        if self.log.term_at(index) == Some(snapshot.term) {
            // Keep the entries after it: they match too and may have been acknowledged.
            self.log.compact(snapshot.clone());
            self.synced_index = self.synced_index.max(index);
        } else {
            self.log.reset_to_snapshot(snapshot.clone());
            self.synced_index = index;
        }
        self.commit_index = index;
        self.applied_index = index;
        self.outputs
            .push(Output::Persist(Record::Snapshot(snapshot.clone())));
        self.outputs.push(Output::Restore(snapshot));
        self.send_following(from);
        self.reply_append(from, true, index);
    }
}
