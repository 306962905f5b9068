//! Creates a deployment on loopback addresses: certificates, settings files and a manifest.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use anyhow::{Result, anyhow, bail};
use merlinrudder_core::units::ContentDigest;
use serde_json::{Value, json};

use crate::keys::{create_vm_certificate, ensure_authority};

/// Bearer token of operators in a local deployment.
pub const ADMIN_TOKEN: &str = "admin-token-on-loopback";
/// Bearer token of backend servers in a local deployment.
pub const BACKENDS_TOKEN: &str = "backends-token-on-loopback";

/// First port of the first block.
const PORT_RANGE_START: u16 = 13_000;
/// End of the port range, exclusive; the ephemeral ports of outgoing connections lie above it.
const PORT_RANGE_END: u16 = 32_000;
/// Ports that one process takes at a time.
const PORT_BLOCK_SIZE: usize = 500;
/// Ports of this process that are not allocated yet; all its deployments share them.
static PORTS: Mutex<Option<PortBlock>> = Mutex::new(None);

/// Ports that no other process allocates while the lock is held.
///
/// Without it, another process could take the ports of a VM that is restarting.
struct PortBlock {
    next: u16,
    /// End of the block, exclusive.
    end: u16,
    /// Locks of this block and of the ones used up before; they end with the process.
    locks: Vec<File>,
}

impl PortBlock {
    /// Locks the first block from port `start` on that no other process holds.
    ///
    /// `locks` are those of the blocks before.
    fn lock_from(start: u16, mut locks: Vec<File>) -> Result<Self> {
        for next in (start..PORT_RANGE_END).step_by(PORT_BLOCK_SIZE) {
            let path = std::env::temp_dir().join(format!("merlinrudder-ports-{next}.lock"));
            let lock = File::options().create(true).append(true).open(path)?;
            if lock.try_lock().is_ok() {
                let size = u16::try_from(PORT_BLOCK_SIZE)?;
                let end = next.saturating_add(size).min(PORT_RANGE_END);
                locks.push(lock);
                return Ok(Self { next, end, locks });
            }
        }
        bail!("no block of ports below {PORT_RANGE_END} is free");
    }
}

/// Files and addresses of one VM in a local deployment.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// VM id, which also names its files.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it has a disk and so a replica of the control log.
    pub has_disk: bool,
    /// Path of its settings file.
    pub settings_path: PathBuf,
    /// Folder of the control log; used only with a disk.
    pub data_folder: PathBuf,
    /// Address that accepts requests of callers.
    pub callers: SocketAddr,
    /// Address that accepts announcements of backend servers.
    pub backends: SocketAddr,
    /// Address of the admin interface and the metrics.
    pub admin: SocketAddr,
    /// UDP address for messages of the other VMs.
    pub mesh: SocketAddr,
}

/// Writes the files of VMs `vm-1`, `vm-2` and so on, one per entry of `zones`.
///
/// The first `disk_count` of them have a disk. No process is started.
///
/// # Errors
/// Fails if a file cannot be written or no port is free.
pub fn create_deployment(folder: &Path, zones: &[&str], disk_count: usize) -> Result<Vec<LocalVm>> {
    let keys = folder.join("keys");
    ensure_authority(&keys)?;
    let mut vms = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("vm-{}", index + 1);
        create_vm_certificate(&keys, &id)?;
        vms.push(LocalVm {
            settings_path: folder.join(format!("{id}.ini")),
            data_folder: folder.join(format!("{id}-data")),
            zone: (*zone).to_owned(),
            has_disk: index < disk_count,
            callers: allocate_address()?,
            backends: allocate_address()?,
            admin: allocate_address()?,
            mesh: allocate_address()?,
            id,
        });
    }
    for vm in &vms {
        fs::write(&vm.settings_path, settings_text(vm, &vms))?;
    }
    Ok(vms)
}

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// All ports lie below the ephemeral range of outgoing connections, so that no connection takes
/// the port of a VM while it restarts.
fn allocate_address() -> Result<SocketAddr> {
    let mut ports = PORTS
        .lock()
        .map_err(|_poisoned| anyhow!("a thread panicked while it allocated a port"))?;
    loop {
        let block = match ports.take() {
            Some(block) if block.next < block.end => block,
            Some(used_up) => PortBlock::lock_from(used_up.end, used_up.locks)?,
            None => PortBlock::lock_from(PORT_RANGE_START, Vec::new())?,
        };
        let port = block.next;
        *ports = Some(PortBlock {
            next: port + 1,
            ..block
        });
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

fn settings_text(vm: &LocalVm, all: &[LocalVm]) -> String {
    let id = &vm.id;
    let mut text = format!("[vm]\nid = {id}\nzone = {}\n", vm.zone);
    if vm.has_disk {
        let _ = writeln!(text, "disk = yes\ndata_folder = {id}-data");
    }
    let _ = writeln!(
        text,
        "\n[listen]\ncallers = {}\nbackends = {}\nadmin = {}\nmesh = {}\n\n[peers]",
        vm.callers, vm.backends, vm.admin, vm.mesh
    );
    for peer in all.iter().filter(|peer| peer.id != *id) {
        let disk = if peer.has_disk { ", disk" } else { "" };
        let _ = writeln!(text, "{} = {}, {}{disk}", peer.id, peer.mesh, peer.zone);
    }
    let _ = write!(
        text,
        "\n[tls]\nauthority = keys/authority.pem\ncertificate = keys/{id}.pem\n\
         key = keys/{id}.key\n\n[tokens]\nadmin = {ADMIN_TOKEN}\nbackends = {BACKENDS_TOKEN}\n"
    );
    text
}

/// Returns the bearer token that [`manifest`] gives to a customer.
#[must_use]
pub fn customer_token(customer: &str) -> String {
    format!("token-of-{customer}")
}

/// Builds a manifest with services `drafts` and `filing` and the given customers.
///
/// `drafts` is a model service and `filing` a plain one. The customers have equal weights.
#[must_use]
pub fn manifest(number: u64, zones: &[&str], customers: &[&str]) -> Value {
    let customers: Vec<_> = customers
        .iter()
        .map(|name| {
            let digest = ContentDigest::of(customer_token(name).as_bytes());
            json!({
                "name": name,
                "token_sha256": digest.to_string(),
                "weight": 1,
                "max_running": 1000,
            })
        })
        .collect();
    json!({
        "number": number,
        "services": [
            {
                "name": "drafts",
                "kind": "model",
                "zones": zones,
                "deadline_ms": 60_000,
                "deadline_ms_per_thousand": 200,
                "max_output_tokens": 4096,
            },
            {
                "name": "filing",
                "kind": "plain",
                "zones": zones,
                "deadline_ms": 10_000,
                "routes": [
                    { "method": "POST", "path": "/filing/reports", "idempotent": false },
                    { "method": "GET", "path": "/filing/balances", "idempotent": true },
                ],
            },
        ],
        "customers": customers,
        "policy": { "preset": "first_token" },
    })
}
