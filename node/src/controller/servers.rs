//! Tracks backend servers by their heartbeats and relays their records to other VMs.

use std::collections::BTreeSet;
use std::time::Duration;

use merlinrudder_core::cold::reports::{ColdReport, ColdReports};
use merlinrudder_core::directory::{Directory, Merged, ServerRecord, ServerStage};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::config;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::{WirePeer, WireServer};
use slog::info;

use super::input::Reply;
use super::state::Controller;
use crate::metrics;

/// Interval at which records of servers with new heartbeats are sent to other VMs.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Known backend servers, and those to include in the next refresh.
#[derive(Debug, Default)]
pub(super) struct ServerTracker {
    pub(super) directory: Directory,
    /// How cold the servers are, as far as their heartbeats were heard here or at a VM that tells.
    pub(super) cold: ColdReports,
    /// Servers whose heartbeats this VM received itself since the last refresh.
    refreshed: BTreeSet<ServerId>,
    next_refresh: Moment,
}

impl ServerTracker {
    /// Returns all records, for a VM whose link has just opened.
    pub(super) fn all_records(&self, now: Moment) -> Vec<WireServer> {
        let records = self.directory.records();
        records
            .map(|(record, heard_at)| WireServer::new(now, heard_at, record))
            .collect()
    }

    fn records_for(&self, now: Moment, ids: &BTreeSet<ServerId>) -> Vec<WireServer> {
        let records = self.directory.records();
        let chosen = records.filter(|(record, _)| ids.contains(&record.id));
        chosen
            .map(|(record, heard_at)| WireServer::new(now, heard_at, record))
            .collect()
    }
}

impl Controller {
    /// Handles a heartbeat of a backend server.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Moment,
        record: ServerRecord,
        report: &ColdReport,
        reply: Reply<()>,
    ) {
        if self.is_foreign(&record) {
            info!(self.log, "Ignored a heartbeat of an unknown service"; "server" => %record.id,
                "service" => %record.service, "address" => %record.address);
            self.reply_to_server(now, false, reply);
            return;
        }
        let cold_change = self.record_cold(now, report, true);
        let leaving = record.stage != ServerStage::Ready;
        let id = record.id.clone();
        let merged = self.servers.directory.merge(now, record);
        // A changed record is sent with what is known of its coldness.
        if merged != Merged::Changed {
            self.send_cold_change(now, report, cold_change, true);
        }
        self.handle_merge(now, &id, merged, true);
        self.reply_to_server(now, leaving, reply);
    }

    /// Whether a record names a service that the manifest doesn't define, and would displace a server.
    ///
    /// Another writer may have sent it. One that displaces none is kept, as a later manifest may define
    /// its service.
    fn is_foreign(&self, record: &ServerRecord) -> bool {
        let Some(manifest) = &self.replica.state.manifest else {
            return false;
        };
        self.servers.directory.would_change_service(record)
            && !config::defines_service(&manifest.bytes, &record.service)
    }

    /// Handles the deregistration of a backend server.
    pub(super) fn handle_deregister(
        &mut self,
        now: Moment,
        id: &ServerId,
        born: Option<u64>,
        reply: Reply<()>,
    ) {
        let merged = self.servers.directory.leave(now, id, born);
        self.handle_merge(now, id, merged, true);
        self.reply_to_server(now, true, reply);
    }

    /// Merges records that another control VM sent.
    pub(super) fn handle_servers(&mut self, now: Moment, servers: Vec<WireServer>) {
        for server in servers {
            let heard_at = server.heard_at(now);
            let record = ServerRecord::from(server);
            let id = record.id.clone();
            let merged = self.servers.directory.merge(heard_at, record);
            self.handle_merge(now, &id, merged, false);
        }
    }

    /// Removes expired servers and sends the refreshed records, if a refresh is due.
    pub(super) fn tick_servers(&mut self, now: Moment) {
        if now < self.servers.next_refresh {
            return;
        }
        self.servers.next_refresh = now + REFRESH_INTERVAL;
        self.servers.directory.expire(now);
        let directory = &self.servers.directory;
        self.servers.cold.retain(|id| directory.get(id).is_some());
        let refreshed_ids = std::mem::take(&mut self.servers.refreshed);
        let records = self.servers.records_for(now, &refreshed_ids);
        if records.is_empty() {
            return;
        }
        self.send_cold(&self.servers.cold_among(now, &refreshed_ids), |_| true);
        let message = MeshMessage::Servers(records);
        let peers = self.links.peers();
        let receivers: Vec<_> = peers.iter().map(WirePeer::vm_id).collect();
        self.links.send_all(&receivers, &message);
    }

    /// Confirms a heartbeat or deregistration to a server.
    ///
    /// A leaving server gets no confirmation while this VM has no contact to the leader, since the
    /// other VMs might not learn of it.
    fn reply_to_server(&self, now: Moment, leaving: bool, reply: Reply<()>) {
        if !leaving || self.has_leader_contact(now) {
            // The server may have disconnected meanwhile; it then repeats its call.
            let _ignored = reply.send(());
        }
    }

    /// Broadcasts a changed record at once.
    ///
    /// A heartbeat that changes nothing else waits for the next refresh. `first_hand` says that the
    /// server itself called this VM. A change learned from another control VM is only sent to entry
    /// VMs.
    fn handle_merge(&mut self, now: Moment, id: &ServerId, merged: Merged, first_hand: bool) {
        match merged {
            Merged::Stale => return,
            Merged::Refreshed => {
                if first_hand {
                    self.servers.refreshed.insert(id.clone());
                }
                return;
            }
            Merged::Changed => {}
        }
        let Some(record) = self.servers.directory.get(id) else {
            return;
        };
        metrics::count_announcement("changed");
        info!(self.log, "Backend server changed"; "server" => %id, "service" => %record.service,
            "address" => %record.address, "stage" => ?record.stage, "born" => record.born,
            "first_hand" => first_hand);
        let message = MeshMessage::Servers(vec![WireServer::new(now, now, record)]);
        self.send_cold_of(now, id, record.born, first_hand);
        let peers = self.links.peers();
        let receivers = peers.iter().filter(|peer| first_hand || !peer.control);
        let receivers: Vec<_> = receivers.map(WirePeer::vm_id).collect();
        self.links.send_all(&receivers, &message);
    }
}
