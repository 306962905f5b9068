//! Three control VMs and some entry VMs of the users' platform, as processes on loopback.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::http_client::send_request;

/// Number of control VMs; they come first among the nodes.
pub const CONTROL_VMS: usize = 3;
/// Lines of each log that are shown beside a failure.
const SHOWN_LINES: usize = 25;
/// Longest wait for a state that must come.
const PATIENCE: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(50);

/// Makes the loopback addresses of each deployment in this process its own.
static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);

/// A deployment of processes; they end with it.
#[derive(Debug)]
pub struct Nodes {
    program: PathBuf,
    folder: TempDir,
    subnet: u8,
    /// Ports for operators and servers, callers, readiness, and other VMs.
    ports: [u16; 4],
    all: Vec<Node>,
}

#[derive(Debug)]
struct Node {
    name: String,
    ip: IpAddr,
    child: Mutex<Option<Child>>,
}

impl Nodes {
    /// Starts three control VMs and `entries` entry VMs of a program.
    ///
    /// # Errors
    /// Fails where a file cannot be written, or a process cannot be started.
    pub fn spawn(program: &Path, entries: u8) -> Result<Self> {
        let subnet = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        // Free ports of one address are taken to be free at the others of the own subnet.
        let base = free_port(subnet)?;
        let controls = u8::try_from(CONTROL_VMS)?;
        let nodes = (0..controls + entries).map(|number| {
            let kind = if number < controls {
                "control"
            } else {
                "entry"
            };
            Node {
                name: format!("{kind}-{number}"),
                ip: IpAddr::from([127, 77, subnet, 10 + number]),
                child: Mutex::new(None),
            }
        });
        let nodes = Self {
            program: program.to_owned(),
            folder: tempfile::tempdir()?,
            subnet,
            ports: [base, base + 1, base + 2, base + 3],
            all: nodes.collect(),
        };
        for at in 0..nodes.all.len() {
            nodes.start(at, true)?;
        }
        Ok(nodes)
    }

    /// Starts the process of a node that does not run.
    ///
    /// # Errors
    /// Fails where a file cannot be written, or the process cannot be started.
    pub fn start(&self, at: usize, first_start: bool) -> Result<()> {
        let node = &self.all[at];
        let name = &node.name;
        let file = self.folder.path().join(format!("{name}.conf"));
        fs::write(&file, self.settings(at, first_start)?)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_of(at))?;
        let child = Command::new(&self.program)
            .arg(if at < CONTROL_VMS { "control" } else { "entry" })
            .env("MERLINRUDDER_NODE_FILE", file)
            .stdout(log.try_clone()?)
            .stderr(Stdio::from(log))
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        *self.child(at) = Some(child);
        Ok(())
    }

    fn settings(&self, at: usize, first_start: bool) -> Result<String> {
        let subnet = self.subnet;
        let [calls, callers, ready, internal] = self.ports;
        let seeds: Vec<_> = (10..13)
            .map(|host| format!("127.77.{subnet}.{host}:{calls}"))
            .collect();
        let Node { name, ip, .. } = &self.all[at];
        let mut text = format!(
            "node={name}\nzone=z{}\nip={ip}\nseeds={}\nbootstrap={first_start}\n\
             internal-port-range={internal},{}\nbounds.grace-s=8\n",
            at % CONTROL_VMS,
            seeds.join(","),
            internal + 1
        );
        if at < CONTROL_VMS {
            let folder = self.data_of(at);
            let folder = folder.display();
            writeln!(text, "listen.control={ip}:{calls}\ndata-dir={folder}")?;
        } else {
            writeln!(
                text,
                "listen.front={ip}:{callers}\nlisten.ready={ip}:{ready}"
            )?;
        }
        Ok(text)
    }

    fn child(&self, at: usize) -> std::sync::MutexGuard<'_, Option<Child>> {
        let child = self.all[at].child.lock();
        child.unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn data_of(&self, at: usize) -> PathBuf {
        self.folder.path().join(&self.all[at].name)
    }

    fn log_of(&self, at: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("{}.log", self.all[at].name))
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Sends a signal to a running node.
    ///
    /// # Errors
    /// Fails where the node does not run.
    pub fn signal(&self, at: usize, signal: Signal) -> Result<()> {
        let Some(id) = self.child(at).as_ref().map(Child::id) else {
            bail!("{} does not run", self.all[at].name);
        };
        Ok(kill(Pid::from_raw(i32::try_from(id)?), signal)?)
    }

    /// Kills a node at once.
    ///
    /// # Errors
    /// Fails where it cannot be killed.
    pub fn kill(&self, at: usize) -> Result<()> {
        if let Some(mut child) = self.child(at).take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Whether the node's process has ended by itself; it can be started again then.
    #[must_use]
    pub fn has_ended(&self, at: usize) -> bool {
        let mut child = self.child(at);
        let ended = child
            .as_mut()
            .is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if ended {
            *child = None;
        }
        ended
    }

    /// Loses the disk of a control VM that does not run.
    ///
    /// # Errors
    /// Fails where the folder cannot be removed.
    pub fn lose_disk(&self, at: usize) -> Result<()> {
        Ok(fs::remove_dir_all(self.data_of(at))?)
    }

    /// Returns the address of a control VM for operators and backend servers.
    #[must_use]
    pub fn control_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.all[at].ip, self.ports[0])
    }

    /// Returns the address of an entry VM for callers.
    #[must_use]
    pub fn callers_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.all[at].ip, self.ports[1])
    }

    /// Returns the address at which an entry VM tells whether it is ready.
    #[must_use]
    pub fn ready_address(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.all[at].ip, self.ports[2])
    }

    /// Whether an entry VM says that it is ready.
    #[must_use]
    pub fn is_ready(&self, at: usize) -> bool {
        send_request(self.ready_address(at), "GET /-/ready", "", "").status == 200
    }

    /// Puts a configuration at a control VM; returns the status.
    #[must_use]
    pub fn put_configuration(&self, at: usize, document: &Value) -> u16 {
        let body = document.to_string();
        send_request(self.control_address(at), "POST /-/Config.Put", "", &body).status
    }

    /// Reads the configuration's version at a control VM, where it is sure of it.
    #[must_use]
    pub fn read_version(&self, at: usize) -> Option<u64> {
        let answer = send_request(self.control_address(at), "GET /-/Config.Get", "", "");
        let document: Value = serde_json::from_str(&answer.body).ok()?;
        document["version"].as_u64()
    }

    /// Tells a control VM of a backend server; returns whether it confirmed.
    #[must_use]
    pub fn send_heartbeat(&self, at: usize, id: &str, address: SocketAddr, sequence: u64) -> bool {
        let body = json!({"service": "app", "address": address.to_string(),
            "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "seq": sequence, "born": 5});
        let call = format!("POST /-/Instances.Heartbeat/{id}");
        send_request(self.control_address(at), &call, "", &body.to_string()).status == 200
    }

    /// Returns the last lines of every log.
    #[must_use]
    pub fn last_lines(&self) -> String {
        let mut text = String::new();
        for (at, node) in self.all.iter().enumerate() {
            let log = fs::read_to_string(self.log_of(at)).unwrap_or_default();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(SHOWN_LINES)..];
            text.extend(["--- ", &node.name, "\n", &tail.join("\n"), "\n"]);
        }
        text
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for at in 0..self.all.len() {
            // It may have ended by itself.
            drop(self.kill(at));
        }
        if thread::panicking() {
            eprintln!("{}", self.last_lines());
        }
    }
}

/// A configuration with a route of each kind, one service and one customer.
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
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    })
}

/// Waits until a state has come.
///
/// # Panics
/// Panics where it does not come within a minute.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "no {what}");
        thread::sleep(LOOK);
    }
}

fn free_port(subnet: u8) -> Result<u16> {
    let ip = IpAddr::from([127, 77, subnet, 1]);
    let listener = TcpListener::bind((ip, 0))?;
    Ok(listener.local_addr()?.port().min(60_000))
}
