//! Keeps the crash history on disk, relays it, and lets operators lift a quarantine.

use std::time::Duration;

use merlinrudder_core::control::Command;
use merlinrudder_core::crash_history::{CrashReport, QuarantinedContent};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::crashes::WireCrashReport;
use merlinrudder_wire::peers::WirePeer;
use slog::warn;

use super::state::Controller;
use crate::crash_exchange::MAX_REPORTS;
use crate::replica::Requester;

/// Interval at which the crash history is compared with the control log.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// Proposal id of recorded crashes, whose result nobody waits for; operator calls start at 1.
const RECORD_PROPOSAL: u64 = 0;

/// A content in quarantine, as operators see it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuarantineEntry {
    pub(super) quarantined: QuarantinedContent,
    /// Time until the end of the quarantine.
    pub(super) left: Duration,
}

impl Controller {
    /// Merges reports of another VM, and relays new ones to the entry VMs of this zone.
    ///
    /// An entry VM may have no link to the one that made the report.
    pub(super) fn handle_crash_reports(
        &mut self,
        now: Moment,
        from: &VmId,
        reports: Vec<WireCrashReport>,
    ) {
        let added = self.crashes.receive(now, from, reports, &self.log);
        self.relay_crash_reports(now, Some(from), &added);
    }

    /// Merges what the control log holds, and lets the leader record what it lacks.
    pub(super) fn tick_crashes(&mut self, now: Moment) {
        if now < self.next_record {
            return;
        }
        self.next_record = now + RECORD_INTERVAL;
        let recorded = &self.replica.state.crashes;
        let unknown = recorded
            .reports()
            .filter(|report| !self.crashes.history.contains(report));
        let unknown: Vec<_> = unknown.collect();
        if !unknown.is_empty() {
            let added = self.crashes.merge(now, unknown, &self.log);
            self.relay_crash_reports(now, None, &added);
        }
        self.propose_crashes(now);
        self.crashes.history.expire(now);
    }

    /// Returns the contents in quarantine.
    pub(super) fn quarantined(&self, now: Moment) -> Vec<QuarantineEntry> {
        let quarantined = self.crashes.history.quarantined(now).into_iter();
        let entry = |quarantined: QuarantinedContent| QuarantineEntry {
            left: quarantined.until.since(now),
            quarantined,
        };
        quarantined.map(entry).collect()
    }

    /// Clears a content and tells all VMs; returns whether it was under suspicion or in quarantine.
    pub(super) fn lift_quarantine(&mut self, now: Moment, content: &ContentDigest) -> bool {
        let cleared = self.crashes.history.clear(content);
        if cleared.is_empty() {
            return false;
        }
        warn!(self.log, "Quarantine lifted by an operator"; "content" => %content);
        let peers = self.links.peers();
        let vms = peers.iter().map(WirePeer::vm_id);
        self.crashes.share(now, &self.links, vms, &cleared);
        true
    }

    /// Proposes what the control log lacks, if this VM leads.
    ///
    /// A VM of an earlier version cannot apply the command, so all linked replicas must be newer.
    fn propose_crashes(&mut self, now: Moment) {
        if !self.replica.consensus.is_leader() {
            return;
        }
        let all_subscribed = self
            .control_peers()
            .iter()
            .all(|vm| self.crashes.is_subscriber(vm));
        let recorded = &self.replica.state.crashes;
        let missing = self.crashes.history.reports();
        let missing = missing.filter(|report| !recorded.contains(report));
        let missing: Vec<_> = missing.take(MAX_REPORTS).collect();
        if missing.is_empty() || !all_subscribed {
            return;
        }
        let requester = Requester {
            vm: self.local_peer.vm_id(),
            id: RECORD_PROPOSAL,
        };
        self.propose(now, requester, Command::RecordCrashes(missing));
    }

    fn relay_crash_reports(&self, now: Moment, from: Option<&VmId>, reports: &[CrashReport]) {
        let peers = self.links.peers();
        let zone = &self.local_peer.zone;
        let entries = peers
            .iter()
            .filter(|peer| !peer.control && peer.zone == *zone)
            .map(WirePeer::vm_id)
            .filter(|vm| Some(vm) != from);
        self.crashes.share(now, &self.links, entries, reports);
    }
}
