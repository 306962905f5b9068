//! Status of a VM, as reported to operators.

use merlinrudder_core::time::Moment;
use serde::{Deserialize, Serialize};

use super::ControlThread;
use crate::replica::Replica;

/// Status of a VM and its view of the other VMs and backend servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VmStatus {
    /// Id of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Whether the VM admits requests of callers.
    pub ready: bool,
    /// Number of the manifest in force; zero if there is none.
    pub manifest: u64,
    /// Last confirmation by a leader, in Unix milliseconds; `None` unless overdue.
    ///
    /// If there was none, it is the start of the process.
    pub cut_off_since_ms: Option<u64>,
    /// VM that leads the control log, if known.
    pub leader: Option<String>,
    /// Raft term of the control log; `None` on a VM without a disk.
    pub term: Option<u64>,
    /// Voters of the control log; empty on a VM without a disk.
    ///
    /// This VM is listed only once its present disk is a voter, not for one that it has lost.
    pub voters: Vec<String>,
    /// Number of claims in the control state; `None` on a VM without a disk.
    pub claims: Option<usize>,
    /// Number of quarantined contents.
    pub verdicts: usize,
    /// Number of requests in flight for callers of this VM.
    pub held: usize,
    /// Number of requests queued at this VM's dispatcher.
    pub waiting: usize,
    /// Number of requests placed by this VM's dispatcher and not finished.
    pub running: usize,
    /// Status of all other VMs.
    pub members: Vec<MemberStatus>,
    /// Backend servers registered on this VM.
    pub servers: Vec<ServerStatus>,
}

/// Status of another VM, as seen by the reporting VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MemberStatus {
    /// Id of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Whether the VM has a disk and so a replica of the control log.
    pub disk: bool,
    /// Health as determined by the membership protocol, such as `alive` or `suspect`.
    pub health: String,
    /// Number of the manifest in force there, as of its last message.
    pub manifest: u64,
}

/// Status of a backend server.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServerStatus {
    /// Service that the server offers.
    pub service: String,
    /// Name of the server within its service.
    pub id: String,
    /// Availability zone of the server.
    pub zone: String,
    /// Host and port at which the server accepts HTTP.
    pub address: String,
    /// Memory capacity in tokens; zero for a plain HTTP server.
    pub memory_tokens: u64,
    /// Memory reserved by this VM's dispatcher, in tokens.
    pub promised_tokens: u64,
    /// Number of requests placed by this VM's dispatcher.
    pub running: u32,
}

impl ControlThread {
    /// Collects the status of this VM.
    pub(super) fn status(&self) -> VmStatus {
        let now = self.now();
        let replica = self.replica.as_ref();
        let voters = replica.map(present_voters).unwrap_or_default();
        let published = self.published.load();
        let cut_off_since = self.manifests.cut_off_since(now, self.clock.start_time());
        VmStatus {
            vm: self.local.vm.to_string(),
            zone: self.local.zone.to_string(),
            ready: published.ready && !published.stopping,
            manifest: self.manifests.number().0,
            cut_off_since_ms: cut_off_since.map(Moment::as_millis),
            leader: self.leader_vm().map(|vm| vm.to_string()),
            term: replica.map(|r| r.consensus.term().0),
            voters,
            claims: replica.map(|r| r.state.claims.len()),
            verdicts: published.quarantined.len(),
            held: self.in_flight.len(),
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

/// Returns the VMs of the voters, without a lost disk of this replica's VM.
fn present_voters(replica: &Replica) -> Vec<String> {
    let own = replica.consensus.id();
    let voters = replica.consensus.voters().iter();
    let present = voters.filter(|voter| voter.vm != own.vm || *voter == own);
    present.map(|voter| voter.vm.to_string()).collect()
}
