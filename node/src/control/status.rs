//! What an operator sees of a VM.

use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use super::ControlThread;

/// A VM as it sees itself and the others.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmStatus {
    /// Its id.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Number of the manifest in force; zero before the first.
    pub manifest: u64,
    /// Milliseconds since 1970 from which on no leader was heard, where that is long.
    pub cut_off_since_ms: Option<u64>,
    /// VM that leads the control log, as far as known.
    pub leader: Option<String>,
    /// Term of the control log, on a VM with a disk.
    pub term: Option<u64>,
    /// Voters of the control log, on a VM with a disk.
    pub voters: Vec<String>,
    /// Claims kept, on a VM with a disk.
    pub claims: Option<usize>,
    /// Contents that are refused.
    pub verdicts: usize,
    /// Requests that it holds for callers.
    pub held: usize,
    /// Requests that wait at its dispatcher.
    pub waiting: usize,
    /// Requests that its dispatcher placed.
    pub running: usize,
    /// All other VMs.
    pub members: Vec<MemberStatus>,
    /// Backend servers that it keeps.
    pub servers: Vec<ServerStatus>,
}

/// Another VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// Its id.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk.
    pub disk: bool,
    /// How it is.
    pub health: String,
    /// Manifest that it had in force when last heard.
    pub manifest: u64,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Its service.
    pub service: String,
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: String,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens promised by this VM's dispatcher.
    pub promised_tokens: u64,
    /// Requests placed by this VM's dispatcher.
    pub running: u32,
}

impl ControlThread {
    pub(super) fn status(&self) -> VmStatus {
        let now = self.now();
        let replica = self.replica.as_ref();
        let voters = replica.map(|r| r.consensus.voters()).unwrap_or_default();
        let published = self.published.load();
        let cut_off = self.manifests.cut_off_since(now, self.clock.start_time());
        VmStatus {
            vm: self.own.vm.to_string(),
            zone: self.own.zone.to_string(),
            ready: published.ready && !published.stopping,
            manifest: self.manifests.number().0,
            cut_off_since_ms: cut_off.map(Moment::as_millis),
            leader: self.leader_vm().map(|vm| vm.to_string()),
            term: replica.map(|r| r.consensus.term().0),
            voters: voters.iter().map(|voter| voter.vm.to_string()).collect(),
            claims: replica.map(|r| r.state.claims.len()),
            verdicts: published.quarantined.len(),
            held: self.held.len(),
            waiting: self.dispatcher.waiting(),
            running: self.dispatcher.running(),
            members: self.member_status(),
            servers: self.server_status(now),
        }
    }

    fn member_status(&self) -> Vec<MemberStatus> {
        let status = self.membership.members().map(|(vm, member)| MemberStatus {
            vm: vm.to_string(),
            zone: member.zone.to_string(),
            disk: member.disk,
            health: member.health.as_str().to_owned(),
            manifest: member.manifest.0,
        });
        status.collect()
    }

    fn server_status(&self, now: Moment) -> Vec<ServerStatus> {
        let status = self.dispatcher.registry().all().map(|server| {
            let announced = &server.announced;
            let load = self.dispatcher.load_of(&announced.key(), now);
            ServerStatus {
                service: announced.service.to_string(),
                id: announced.id.to_string(),
                zone: announced.zone.to_string(),
                address: announced.address.to_string(),
                memory_tokens: announced.memory.0,
                promised_tokens: load.memory.0,
                running: load.running,
            }
        });
        status.collect()
    }
}
