//! The backend servers that this VM heard of, and whom it tells.

use std::collections::BTreeSet;
use std::time::Duration;

use merlinrudder_core::directory::{Directory, Merged, ServerRecord, ServerStage};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WireServer;
use slog::info;

use super::input::Reply;
use super::state::Controller;
use crate::metrics;

/// Time between two tellings of the servers that were heard.
const ALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Servers known here.
#[derive(Debug, Default)]
pub(super) struct Servers {
    directory: Directory,
    /// Servers that this VM itself heard since the last telling.
    heard: BTreeSet<ServerId>,
    alive_due: Moment,
}

impl Servers {
    /// Returns every record for a VM that knows none.
    pub(super) fn all(&self, now: Moment) -> Vec<WireServer> {
        let records = self.directory.records();
        records
            .map(|(record, heard)| WireServer::new(now, heard, record))
            .collect()
    }

    fn some(&self, now: Moment, ids: &BTreeSet<ServerId>) -> Vec<WireServer> {
        let records = self.directory.records();
        let chosen = records.filter(|(record, _)| ids.contains(&record.id));
        chosen
            .map(|(record, heard)| WireServer::new(now, heard, record))
            .collect()
    }
}

impl Controller {
    pub(super) fn take_heartbeat(&mut self, now: Moment, record: ServerRecord, reply: Reply<()>) {
        let leaving = record.stage != ServerStage::Ready;
        let id = record.id.clone();
        let merged = self.servers.directory.merge(now, record);
        self.note_merged(now, &id, merged, true);
        self.answer_server(now, leaving, reply);
    }

    pub(super) fn take_leave(
        &mut self,
        now: Moment,
        id: &ServerId,
        born: Option<u64>,
        reply: Reply<()>,
    ) {
        let merged = self.servers.directory.leave(now, id, born);
        self.note_merged(now, id, merged, true);
        self.answer_server(now, true, reply);
    }

    /// Takes in what another control VM heard.
    pub(super) fn take_servers(&mut self, now: Moment, servers: Vec<WireServer>) {
        for server in servers {
            let heard = server.heard_at(now);
            let record = ServerRecord::from(server);
            let id = record.id.clone();
            let merged = self.servers.directory.merge(heard, record);
            self.note_merged(now, &id, merged, false);
        }
    }

    pub(super) fn tick_servers(&mut self, now: Moment) {
        if now < self.servers.alive_due {
            return;
        }
        self.servers.alive_due = now + ALIVE_PERIOD;
        self.servers.directory.expire(now);
        let heard = std::mem::take(&mut self.servers.heard);
        let alive = self.servers.some(now, &heard);
        if alive.is_empty() {
            return;
        }
        let message = MeshMessage::Servers(alive);
        for peer in self.links.peers() {
            self.send(&peer.vm_id(), &message);
        }
    }

    /// Confirms to a server; that it leaves only where this VM is not cut off, so that all learn it.
    fn answer_server(&self, now: Moment, leaving: bool, reply: Reply<()>) {
        if !leaving || self.in_touch(now) {
            // The server may have gone away meanwhile; it repeats itself then.
            let _gone = reply.send(());
        }
    }

    /// Tells at once what changed; that a server is only alive is told from time to time.
    fn note_merged(&mut self, now: Moment, id: &ServerId, merged: Merged, first_hand: bool) {
        match merged {
            Merged::Stale => return,
            Merged::Refreshed => {
                if first_hand {
                    self.servers.heard.insert(id.clone());
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
        let peers = self.links.peers();
        for peer in peers.iter().filter(|peer| first_hand || !peer.control) {
            self.send(&peer.vm_id(), &message);
        }
    }
}
