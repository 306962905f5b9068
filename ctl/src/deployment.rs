//! Lays out a deployment on loopback: folders, keys, settings, manifest.

use std::fmt::Write as _;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};

use anyhow::Result;
use merlinrudder_core::units::ContentDigest;
use serde_json::{Value, json};

use crate::keys::{make_authority, make_vm};

/// Token of operators in a laid-out deployment.
pub const ADMIN_TOKEN: &str = "admin-token-on-loopback";
/// Token of backend servers in a laid-out deployment.
pub const BACKENDS_TOKEN: &str = "backends-token-on-loopback";

/// One VM of a laid-out deployment.
#[derive(Clone, Debug)]
pub struct LaidVm {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Whether it has a disk.
    pub disk: bool,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its data folder.
    pub data: PathBuf,
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
pub fn lay_out(folder: &Path, zones: &[&str], disks: usize) -> Result<Vec<LaidVm>> {
    let keys = folder.join("keys");
    make_authority(&keys)?;
    let mut vms = Vec::new();
    // All ports are held until all are known, so that none is given twice.
    let mut held = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("vm-{}", index + 1);
        make_vm(&keys, &id)?;
        let sockets = [free_port()?, free_port()?, free_port()?];
        let mesh = UdpSocket::bind("127.0.0.1:0")?;
        vms.push(LaidVm {
            settings: folder.join(format!("{id}.ini")),
            data: folder.join(format!("{id}-data")),
            zone: (*zone).to_owned(),
            disk: index < disks,
            callers: sockets[0].local_addr()?,
            backends: sockets[1].local_addr()?,
            admin: sockets[2].local_addr()?,
            mesh: mesh.local_addr()?,
            id,
        });
        held.push((sockets, mesh));
    }
    drop(held);
    for vm in &vms {
        fs::write(&vm.settings, settings_text(vm, &vms))?;
    }
    Ok(vms)
}

fn free_port() -> Result<TcpListener> {
    Ok(TcpListener::bind("127.0.0.1:0")?)
}

fn settings_text(vm: &LaidVm, all: &[LaidVm]) -> String {
    let id = &vm.id;
    let mut text = format!("[vm]\nid = {id}\nzone = {}\n", vm.zone);
    if vm.disk {
        let _ = writeln!(text, "disk = yes\ndata_folder = {id}-data");
    }
    let _ = writeln!(
        text,
        "\n[listen]\ncallers = {}\nbackends = {}\nadmin = {}\nmesh = {}\n\n[peers]",
        vm.callers, vm.backends, vm.admin, vm.mesh
    );
    for peer in all.iter().filter(|peer| peer.id != *id) {
        let disk = if peer.disk { ", disk" } else { "" };
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
