//! Tells other VMs which backend servers are cold.

use std::collections::BTreeSet;

use merlinrudder_core::cold::reports::{ColdChange, ColdReport};
use merlinrudder_core::names::{ServerId, VmId};
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WireColdServer, WirePeer};
use slog::info;

use super::servers::ServerTracker;
use super::state::Controller;

impl ServerTracker {
    /// Returns what is known of the coldness of servers that are cold.
    pub(super) fn cold_among(&self, now: Moment, ids: &BTreeSet<ServerId>) -> Vec<ColdReport> {
        let reports = self.cold_reports(now);
        let cold = reports.filter(|report| !report.left.is_zero() && ids.contains(&report.server));
        cold.collect()
    }

    /// Returns what is known of the coldness of all servers in the directory.
    fn cold_reports(&self, now: Moment) -> impl Iterator<Item = ColdReport> {
        let records = self.directory.records();
        records.filter_map(move |(record, _)| self.cold.report(now, &record.id, record.born))
    }
}

impl Controller {
    /// Tells a VM whose link has just opened how cold all servers are, also those that are warm.
    ///
    /// A server that it is not told of has sent its heartbeats to VMs of earlier versions only.
    pub(super) fn send_all_cold(&self, now: Moment, vm: &VmId) {
        let reports: Vec<_> = self.servers.cold_reports(now).collect();
        self.send_cold(&reports, |peer| peer.vm_id() == *vm);
    }

    /// Handles what another control VM knows of cold servers.
    pub(super) fn handle_cold_servers(&mut self, now: Moment, servers: Vec<WireColdServer>) {
        for report in servers.into_iter().map(ColdReport::from) {
            let change = self.record_cold(now, &report, false);
            self.send_cold_change(now, &report, change, false);
        }
    }

    /// Records a report and logs a change; `first_hand` says that the server called this VM.
    pub(super) fn record_cold(
        &mut self,
        now: Moment,
        report: &ColdReport,
        first_hand: bool,
    ) -> ColdChange {
        let change = self.servers.cold.record(now, report);
        if change.is_change() {
            info!(self.log, "Coldness of a backend server changed"; "server" => %report.server,
                "born" => report.born, "change" => ?change, "left_ms" => report.left.as_millis(),
                "first_hand" => first_hand);
        }
        change
    }

    /// Tells other VMs at once of a server that became cold or warm.
    ///
    /// A change learned from another control VM is only sent to entry VMs.
    pub(super) fn send_cold_change(
        &self,
        now: Moment,
        report: &ColdReport,
        change: ColdChange,
        first_hand: bool,
    ) {
        if change.is_change() {
            self.send_cold_of(now, &report.server, report.born, first_hand);
        }
    }

    /// Sends what is known of the coldness of one lifetime of a server.
    ///
    /// Unless the server called this VM itself, `first_hand`, only entry VMs get it.
    pub(super) fn send_cold_of(&self, now: Moment, id: &ServerId, born: u64, first_hand: bool) {
        let report = self.servers.cold.report(now, id, born);
        self.send_cold(report.as_slice(), |peer| first_hand || !peer.control);
    }

    /// Sends reports to the linked VMs that match and understand them.
    pub(super) fn send_cold(&self, reports: &[ColdReport], matches: impl Fn(&WirePeer) -> bool) {
        if reports.is_empty() {
            return;
        }
        let reports = reports.iter().cloned().map(WireColdServer::from);
        let message = MeshMessage::ColdServers(reports.collect());
        let able = self.links.vms_with(|features| features.cold);
        let peers = self.links.peers();
        let matching = peers.iter().filter(|peer| matches(peer));
        let mut receivers: Vec<_> = matching.map(WirePeer::vm_id).collect();
        receivers.retain(|vm| able.contains(vm));
        self.links.send_all(&receivers, &message);
    }
}
