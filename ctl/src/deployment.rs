//! Lays out a deployment on loopback: folders, keys, settings, manifest.

use std::fmt::Write as _;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::{Result, bail};
use merlinrudder_core::units::ContentDigest;
use serde_json::{Value, json};

use crate::keys::{make_authority, make_vm};

/// Token of operators in a laid-out deployment.
pub const ADMIN_TOKEN: &str = "admin-token-on-loopback";
/// Token of backend servers in a laid-out deployment.
pub const BACKENDS_TOKEN: &str = "backends-token-on-loopback";

/// Next port to try.
static NEXT_PORT: AtomicU16 = AtomicU16::new(13_000);
/// End of the ports that are tried.
const LAST_PORT: u16 = 32_000;

/// One VM of a laid-out deployment.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// Its settings file.
    pub settings_path: PathBuf,
    /// Its data folder.
    pub data_folder: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for backend servers.
    pub backends: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other VMs.
    pub mesh: SocketAddr,
}

/// Lays out VMs named `vm-1`, `vm-2` and so on, one for each zone given.
///
/// The first `disks` of them have a disk.
///
/// # Errors
/// Fails where a file cannot be written or no port is free.
pub fn create_deployment(folder: &Path, zones: &[&str], disks: usize) -> Result<Vec<LocalVm>> {
    let keys = folder.join("keys");
    make_authority(&keys)?;
    let mut vms = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("vm-{}", index + 1);
        make_vm(&keys, &id)?;
        vms.push(LocalVm {
            settings_path: folder.join(format!("{id}.ini")),
            data_folder: folder.join(format!("{id}-data")),
            zone: (*zone).to_owned(),
            has_disk: index < disks,
            callers: next_port()?,
            backends: next_port()?,
            admin: next_port()?,
            mesh: next_port()?,
            id,
        });
    }
    for vm in &vms {
        fs::write(&vm.settings_path, settings_text(vm, &vms))?;
    }
    Ok(vms)
}

/// Takes the next port that is free for TCP and UDP.
///
/// The range lies below the one from which the system takes ports of outgoing connections, so that
/// a VM that restarts finds its port free.
fn next_port() -> Result<SocketAddr> {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port >= LAST_PORT {
            bail!("no port below {LAST_PORT} is free");
        }
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

/// Returns the token of a customer in a laid-out deployment.
#[must_use]
pub fn customer_token(customer: &str) -> String {
    format!("token-of-{customer}")
}

/// Makes a manifest with one model service, one plain service and the given customers.
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
