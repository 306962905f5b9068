//! Processes of control and entry VMs of the hosting platform, on loopback addresses.

mod changes;

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::http_client::send_request;

/// Number of control VMs; they have the lowest node indexes.
pub const CONTROL_VMS: usize = 3;
/// Maximum number of lines of each node's log that are printed after a failure.
const LOG_TAIL_LINES: usize = 25;
/// Longest wait for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
/// Time from SIGTERM to SIGKILL that nodes are told at first, in seconds.
const GRACE_SECONDS: u64 = 8;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Last byte of the first node's address.
const FIRST_HOST: u8 = 10;
/// Ports of each node.
const PORTS: u16 = 6;
/// Ports from which those of a deployment are drawn.
const FIRST_PORTS: Range<u16> = 15_000..31_000;
const PORT_ATTEMPTS: u32 = 50;

/// Third byte of the next deployment's addresses, so that deployments do not share any.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// A deployment of nodes, whose processes are killed when it is dropped.
///
/// A node stands for one VM and runs as one process. Nodes are identified by index: control VMs
/// first, then entry VMs.
#[derive(Debug)]
pub struct Nodes {
    program: PathBuf,
    folder: TempDir,
    subnet: u8,
    /// Ports for operators and backend servers, callers, readiness checks, and other VMs.
    ports: [u16; 4],
    processes: Vec<NodeProcess>,
    /// Arguments of the entry role.
    entry_args: Vec<String>,
    /// Time from SIGTERM to SIGKILL that a starting node is told, in seconds.
    grace_seconds: AtomicU64,
    /// Control VMs that a starting node is told as its seeds.
    seeds: Vec<IpAddr>,
    /// Number of control VMs that were replaced.
    replacements: u8,
}

/// What a backend server says of itself in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Number of the heartbeat, which increases within a lifetime.
    pub sequence: u64,
    /// Start of the server's lifetime, in Unix milliseconds.
    pub born: u64,
    /// Whether it is about to leave.
    pub draining: bool,
}

#[derive(Debug)]
struct NodeProcess {
    name: String,
    ip: IpAddr,
    child: Mutex<Option<Child>>,
}

impl Nodes {
    /// Starts three control VMs and `entry_vms` entry VMs; `program` is the node's binary.
    ///
    /// # Errors
    /// Fails if a file cannot be written or a process cannot be started.
    pub fn spawn(program: &Path, entry_vms: u8) -> Result<Self> {
        Self::spawn_with(program, entry_vms, &[])
    }

    /// Starts nodes as `spawn` does, the entry VMs with further arguments.
    ///
    /// # Errors
    /// Fails if a file cannot be written or a process cannot be started.
    pub fn spawn_with(program: &Path, entry_vms: u8, entry_args: &[&str]) -> Result<Self> {
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let control_count = u8::try_from(CONTROL_VMS)?;
        let base = free_port(subnet, FIRST_HOST..FIRST_HOST + control_count + entry_vms)?;
        let nodes = (0..control_count + entry_vms).map(|number| {
            let kind = if number < control_count {
                "control"
            } else {
                "entry"
            };
            NodeProcess {
                name: format!("{kind}-{number}"),
                ip: IpAddr::from([127, 77, subnet, FIRST_HOST + number]),
                child: Mutex::new(None),
            }
        });
        let nodes: Vec<_> = nodes.collect();
        let nodes = Self {
            seeds: nodes.iter().take(CONTROL_VMS).map(|n| n.ip).collect(),
            replacements: 0,
            program: program.to_owned(),
            folder: tempfile::tempdir()?,
            subnet,
            ports: [base, base + 1, base + 2, base + 3],
            processes: nodes,
            entry_args: entry_args.iter().map(ToString::to_string).collect(),
            grace_seconds: AtomicU64::new(GRACE_SECONDS),
        };
        for index in 0..nodes.processes.len() {
            nodes.start(index, true)?;
        }
        Ok(nodes)
    }

    /// Sets the time from SIGTERM to SIGKILL that nodes are told that start later.
    pub fn set_grace(&self, grace: Duration) {
        self.grace_seconds.store(grace.as_secs(), Ordering::Relaxed);
    }

    /// Starts the process of a node that is not running.
    ///
    /// `bootstrap` is the setting of this name: true on the first start of a deployment.
    ///
    /// # Errors
    /// Fails if a file cannot be written or the process cannot be started.
    pub fn start(&self, index: usize, bootstrap: bool) -> Result<()> {
        let node = &self.processes[index];
        let name = &node.name;
        let file = self.folder.path().join(format!("{name}.conf"));
        fs::write(&file, self.settings(index, bootstrap)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(index))?;
        let mut command = Command::new(&self.program);
        if index < CONTROL_VMS {
            command.arg("control");
        } else {
            command.arg("entry").args(&self.entry_args);
        }
        let child = command
            .env("MERLINRUDDER_NODE_FILE", file)
            .stdout(log.try_clone()?)
            .stderr(Stdio::from(log))
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        *self.child(index) = Some(child);
        Ok(())
    }

    /// Returns the text of a node's settings file.
    fn settings(&self, index: usize, bootstrap: bool) -> Result<String> {
        let grace = self.grace_seconds.load(Ordering::Relaxed);
        let [control, callers, ready, internal] = self.ports;
        let seeds = self.seeds.iter();
        let seeds: Vec<_> = seeds.map(|ip| format!("{ip}:{control}")).collect();
        let NodeProcess { name, ip, .. } = &self.processes[index];
        let mut text = format!(
            "node={name}\nzone=z{}\nip={ip}\nseeds={}\nbootstrap={bootstrap}\n\
             internal-port-range={internal},{}\nbounds.grace-s={grace}\n\
             zones.z0=r0\nzones.z1=r0\nzones.z2=r0\n",
            index % CONTROL_VMS,
            seeds.join(","),
            internal + 2
        );
        if index < CONTROL_VMS {
            let folder = self.data_dir(index);
            let folder = folder.display();
            writeln!(text, "listen.control={ip}:{control}\ndata-dir={folder}")?;
        } else {
            writeln!(
                text,
                "listen.front={ip}:{callers}\nlisten.ready={ip}:{ready}"
            )?;
        }
        Ok(text)
    }

    /// Returns the name of a node.
    #[must_use]
    pub fn name(&self, index: usize) -> &str {
        &self.processes[index].name
    }

    fn child(&self, index: usize) -> std::sync::MutexGuard<'_, Option<Child>> {
        let child = self.processes[index].child.lock();
        child.unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn data_dir(&self, index: usize) -> PathBuf {
        self.folder.path().join(&self.processes[index].name)
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.log", self.processes[index].name))
    }

    /// Returns the number of nodes, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Whether there are no nodes; always false, as control VMs are always included.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Sends a signal to a node's process.
    ///
    /// # Errors
    /// Fails if the node is not running.
    pub fn signal(&self, index: usize, signal: Signal) -> Result<()> {
        let Some(id) = self.child(index).as_ref().map(Child::id) else {
            bail!("node {} is not running", self.processes[index].name);
        };
        Ok(kill(Pid::from_raw(i32::try_from(id)?), signal)?)
    }

    /// Kills a node with SIGKILL and waits for its end.
    ///
    /// Does nothing if it is not running.
    ///
    /// # Errors
    /// Fails if the process cannot be killed.
    pub fn kill(&self, index: usize) -> Result<()> {
        if let Some(mut child) = self.child(index).take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the resident memory of a node's process in KiB; `None` if it is not running.
    #[must_use]
    pub fn resident_kib(&self, index: usize) -> Option<u64> {
        let id = self.child(index).as_ref().map(Child::id)?;
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    /// Whether the node's process has exited; the node can then be started again.
    #[must_use]
    pub fn has_ended(&self, index: usize) -> bool {
        let mut child = self.child(index);
        let ended = child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if ended {
            *child = None;
        }
        ended
    }

    /// Deletes the data folder of a stopped control VM, to simulate a lost disk.
    ///
    /// # Errors
    /// Fails if the folder cannot be removed.
    pub fn delete_data(&self, index: usize) -> Result<()> {
        Ok(fs::remove_dir_all(self.data_dir(index))?)
    }

    /// Returns the address of a control VM for operators and backend servers.
    #[must_use]
    pub fn control_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.processes[index].ip, self.ports[0])
    }

    /// Returns the IP address of a node.
    #[must_use]
    pub fn ip(&self, index: usize) -> IpAddr {
        self.processes[index].ip
    }

    /// Returns the address of an entry VM for callers.
    #[must_use]
    pub fn callers_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.processes[index].ip, self.ports[1])
    }

    /// Returns the address at which a control VM accepts links.
    #[must_use]
    pub fn link_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.processes[index].ip, self.ports[3])
    }

    /// Returns the address at which an entry VM accepts requests of other VMs.
    #[must_use]
    pub fn relay_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.processes[index].ip, self.ports[3] + 2)
    }

    /// Returns the address of an entry VM's readiness endpoint.
    #[must_use]
    pub fn readiness_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.processes[index].ip, self.ports[2])
    }

    /// Whether an entry VM's readiness endpoint responds with 200.
    #[must_use]
    pub fn is_ready(&self, index: usize) -> bool {
        send_request(self.readiness_address(index), "GET /-/ready", "", "").status == 200
    }

    /// Publishes a configuration through a control VM; returns the status, 0 if none came.
    #[must_use]
    pub fn put_configuration(&self, index: usize, configuration: &Value) -> u16 {
        let body = configuration.to_string();
        send_request(self.control_address(index), "POST /-/Config.Put", "", &body).status
    }

    /// Reads the configuration version; `None` if the control VM does not confirm one.
    #[must_use]
    pub fn read_version(&self, index: usize) -> Option<u64> {
        let response = send_request(self.control_address(index), "GET /-/Config.Get", "", "");
        let configuration: Value = serde_json::from_str(&response.body).ok()?;
        configuration["version"].as_u64()
    }

    /// Sends the heartbeat of a backend server in zone `z0`; returns whether it responded 200.
    #[must_use]
    pub fn send_heartbeat(&self, index: usize, heartbeat: &Heartbeat<'_>) -> bool {
        self.send_heartbeat_from("z0", index, heartbeat)
    }

    /// Sends a backend server's heartbeat to a control VM; returns whether it responded 200.
    #[must_use]
    pub fn send_heartbeat_from(&self, zone: &str, index: usize, heartbeat: &Heartbeat<'_>) -> bool {
        let state = if heartbeat.draining {
            "draining"
        } else {
            "ready"
        };
        let body = json!({"service": "app", "address": heartbeat.address.to_string(),
            "zone": zone, "version": "v1", "slots": 8, "state": state,
            "seq": heartbeat.sequence, "born": heartbeat.born});
        let method_path = format!("POST /-/Instances.Heartbeat/{}", heartbeat.id);
        send_request(
            self.control_address(index),
            &method_path,
            "",
            &body.to_string(),
        )
        .status
            == 200
    }

    /// Orders a control VM to begin or end the evacuation of a zone; returns the status, 0 if none
    /// came.
    #[must_use]
    pub fn order_evacuation(&self, index: usize, zone: &str, active: bool) -> u16 {
        let call = if active { "Start" } else { "End" };
        let method_path = format!("POST /-/Evacuations.{call}/{zone}");
        send_request(self.control_address(index), &method_path, "", "").status
    }

    /// Whether a control VM leads, by the last change of leadership in its log.
    #[must_use]
    pub fn leads(&self, index: usize) -> bool {
        let log = fs::read_to_string(self.log_path(index)).unwrap_or_default();
        let mut lines = log.lines().rev();
        let last = lines.find(|line| line.contains("Leadership changed"));
        last.is_some_and(|line| line.contains("\"leads\":true"))
    }

    /// Returns the log of a node; empty if it cannot be read.
    #[must_use]
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.log_path(index)).unwrap_or_default()
    }

    /// Returns the last lines of each node's log, under the node's name.
    #[must_use]
    pub fn log_tails(&self) -> String {
        let mut text = String::new();
        for (index, node) in self.processes.iter().enumerate() {
            let log = fs::read_to_string(self.log_path(index)).unwrap_or_default();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            text.extend(["--- ", &node.name, "\n", &tail.join("\n"), "\n"]);
        }
        text
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for index in 0..self.processes.len() {
            // Killing fails where the process has already exited.
            drop(self.kill(index));
        }
        if thread::panicking() {
            eprintln!("{}", self.log_tails());
        }
    }
}

/// Returns a configuration with one route of each kind, one service and two customers.
#[must_use]
pub fn sample_configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "drafts", "host": "h.example", "path-prefix": "/stream/", "kind": "streaming",
             "timeout-ms": 10_000, "slo-ms": 300, "service": "app", "max-attempts": 2,
             "resumable": true, "gap-target-ms": 250},
            {"name": "file", "host": "h.example", "path-prefix": "/file/", "kind": "unsafe",
             "timeout-ms": 2000, "service": "app", "max-attempts": 1},
            {"name": "read", "host": "h.example", "path-prefix": "/read/", "kind": "safe",
             "timeout-ms": 2000, "service": "app", "max-attempts": 2},
        ],
        "services": [{"name": "app", "max-conns": 50}],
        "tenants": [{"name": "t1", "api-keys": ["k1"]}, {"name": "t2", "api-keys": ["k2"]}],
    })
}

/// Polls until `reached` returns true.
///
/// # Panics
/// Panics with `what`, the name of the state, if that takes longer than a minute.
pub fn wait_for(what: &str, mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the first of `PORTS` free ports at all `hosts` of the subnet.
///
/// They are below those that the kernel gives to outgoing connections.
fn free_port(subnet: u8, hosts: Range<u8>) -> Result<u16> {
    let is_free = |port: u16| {
        let mut addresses = hosts.clone().flat_map(|host| {
            let ip = IpAddr::from([127, 77, subnet, host]);
            (port..port + PORTS).map(move |port| SocketAddr::new(ip, port))
        });
        addresses.all(|address| TcpListener::bind(address).is_ok())
    };
    let candidates = (0..PORT_ATTEMPTS).map(|_| fastrand::u16(FIRST_PORTS) / PORTS * PORTS);
    let free = candidates.into_iter().find(|port| is_free(*port));
    free.context("no free ports")
}
