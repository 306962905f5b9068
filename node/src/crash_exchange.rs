//! Crash history of a VM of the hosting platform, and its exchange with the other VMs.

use std::collections::BTreeSet;

use merlinrudder_core::completions::RecentCompletions;
use merlinrudder_core::crash_history::{CrashHistory, CrashReport, CrashVerdict};
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::crashes::WireCrashReport;
use merlinrudder_wire::mesh::{HISTORY_NOT_WANTED, MeshMessage};
use slog::{Logger, info, warn};

use crate::links::Links;
use crate::metrics;

/// Maximum number of reports in one message or log entry.
pub(crate) const MAX_REPORTS: usize = 1000;

/// Crash history of this VM, and the VMs that it is exchanged with.
#[derive(Debug, Default)]
pub(crate) struct CrashExchange {
    pub(crate) history: CrashHistory,
    /// Contents that servers completed for this VM; always empty at a control VM.
    completions: RecentCompletions,
    /// Prompt parts of these contents, apart so that neither crowds out the other.
    part_completions: RecentCompletions,
    /// Linked VMs that understand crash reports.
    subscribers: BTreeSet<VmId>,
}

impl CrashExchange {
    /// Asks a linked VM for its reports.
    pub(crate) fn pull(&self, links: &Links, vm: &VmId) {
        let have = self.history.len() as u64;
        links.send(vm, &MeshMessage::PullQuarantineList { have });
    }

    /// Tells a VM whose link has just opened that this one understands crash reports.
    ///
    /// Only an earlier version answers with its reports.
    pub(crate) fn introduce(links: &Links, vm: &VmId) {
        let have = HISTORY_NOT_WANTED;
        links.send(vm, &MeshMessage::PullQuarantineList { have });
    }

    pub(crate) fn link_down(&mut self, vm: &VmId) {
        self.subscribers.remove(vm);
    }

    /// Whether a linked VM understands crash reports.
    pub(crate) fn is_subscriber(&self, vm: &VmId) -> bool {
        self.subscribers.contains(vm)
    }

    /// Answers a VM with all reports, unless it wants none.
    ///
    /// Also answers without any, so that the VM knows this one as a subscriber.
    pub(crate) fn answer_pull(&mut self, now: Moment, links: &Links, from: &VmId, have: u64) {
        self.subscribers.insert(from.clone());
        let reports = self.history.reports();
        let reports: Vec<_> = reports.filter(|_| have != HISTORY_NOT_WANTED).collect();
        if reports.is_empty() {
            links.send(from, &MeshMessage::CrashReports(Vec::new()));
        }
        for batch in reports.chunks(MAX_REPORTS) {
            links.send(from, &message(now, batch));
        }
    }

    /// Records that a server ran a content or part to its end; returns the reports that clear it.
    pub(crate) fn record_completed(
        &mut self,
        now: Moment,
        content: ContentDigest,
    ) -> Vec<CrashReport> {
        let completions = if content.is_prompt_part() {
            &mut self.part_completions
        } else {
            &mut self.completions
        };
        completions.record(now, content);
        self.history.clear(&content)
    }

    /// Whether a content or part completed here shortly before `moment`, or after it.
    pub(crate) fn has_completed(&self, moment: Moment, content: &ContentDigest) -> bool {
        if content.is_prompt_part() {
            self.part_completions.speaks_for(content, moment)
        } else {
            self.completions.speaks_for(content, moment)
        }
    }

    /// Whether the content or part of a report completed here at about the time of the crash.
    pub(crate) fn is_refuted(&self, report: &CrashReport) -> bool {
        self.has_completed(report.run.ended, &report.content)
    }

    /// Clears the contents of reports that completed here at about the time of the crash.
    ///
    /// Returns the reports that tell other VMs.
    pub(crate) fn refute(&mut self, reports: &[CrashReport]) -> Vec<CrashReport> {
        let refuted = reports.iter().filter(|report| self.is_refuted(report));
        let contents: BTreeSet<_> = refuted.map(|report| report.content).collect();
        let cleared = contents.iter().map(|content| self.history.clear(content));
        cleared.collect::<Vec<_>>().concat()
    }

    /// Merges the reports of a VM; returns those that were new here.
    pub(crate) fn receive(
        &mut self,
        now: Moment,
        from: &VmId,
        reports: Vec<WireCrashReport>,
        log: &Logger,
    ) -> Vec<CrashReport> {
        self.subscribers.insert(from.clone());
        let reports = reports.into_iter().map(|report| report.into_core(now));
        self.merge(now, reports.collect(), log)
    }

    /// Merges reports and logs the suspects that they quarantine; returns those that were new.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        mut reports: Vec<CrashReport>,
        log: &Logger,
    ) -> Vec<CrashReport> {
        let mut sendable: BTreeSet<_> = reports.iter().map(|report| report.content).collect();
        sendable.retain(|content| self.quarantined_until(now, content).is_none());
        reports.retain(|report| self.history.merge(report));
        let (recent, old): (Vec<_>, Vec<_>) =
            reports.iter().partition(|report| report.is_recent(now));
        for report in recent {
            info!(log, "Crash of a backend server recorded"; "content" => %report.content,
                "server" => %report.incarnation.server, "born" => report.incarnation.born,
                "cleared" => report.run.cleared);
        }
        if !old.is_empty() {
            let cleared = old.iter().filter(|report| report.run.cleared).count();
            info!(log, "Earlier crashes of backend servers recorded"; "reports" => old.len(),
                "cleared" => cleared);
        }
        for content in sendable {
            self.log_quarantine(now, &content, log);
        }
        if !reports.is_empty() {
            let quarantined = self.history.quarantined(now).len();
            metrics::set_crash_gauges(self.history.len(), quarantined);
        }
        reports
    }

    /// Tells the subscribers among `vms` that this VM tries a content again.
    pub(crate) fn share_trial(
        &self,
        links: &Links,
        vms: impl Iterator<Item = VmId>,
        content: ContentDigest,
    ) {
        for vm in vms.filter(|vm| self.is_subscriber(vm)) {
            links.send(&vm, &MeshMessage::TrialStarted(content.0));
        }
    }

    /// Sends reports to the subscribers among `vms`.
    pub(crate) fn share(
        &self,
        now: Moment,
        links: &Links,
        vms: impl Iterator<Item = VmId>,
        reports: &[CrashReport],
    ) {
        if reports.is_empty() {
            return;
        }
        let subscribers: Vec<_> = vms.filter(|vm| self.is_subscriber(vm)).collect();
        for batch in reports.chunks(MAX_REPORTS) {
            let message = message(now, batch);
            links.send_all(&subscribers, &message);
        }
    }

    fn log_quarantine(&self, now: Moment, content: &ContentDigest, log: &Logger) {
        if let Some(until) = self.quarantined_until(now, content) {
            warn!(log, "Content quarantined"; "content" => %content,
                "part" => content.is_prompt_part(),
                "for_s" => until.since(now).as_secs());
        }
    }

    /// Returns the end of a suspect's quarantine, unless it may be sent or tried at `now`.
    fn quarantined_until(&self, now: Moment, suspect: &ContentDigest) -> Option<Moment> {
        match self.history.verdict(now, suspect) {
            CrashVerdict::QuarantinedUntil(until) => Some(until),
            CrashVerdict::Allowed | CrashVerdict::OnTrial => None,
        }
    }
}

fn message(now: Moment, reports: &[CrashReport]) -> MeshMessage {
    let reports = reports
        .iter()
        .map(|report| WireCrashReport::new(now, report));
    MeshMessage::CrashReports(reports.collect())
}
