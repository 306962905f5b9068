//! The project's processes, started with the commands of the deploy file on loopback addresses.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command};

use crate::harness::record::Record;

/// Port for callers of an entry VM.
const FRONT_PORT: u16 = 8227;
/// Port for the load balancer's questions.
const READY_PORT: u16 = 8220;
/// Port for operators and engines of a control VM.
const CONTROL_PORT: u16 = 8229;
/// Ports for other VMs.
const INTERNAL_PORTS: (u16, u16) = (7340, 7355);

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Folder and addresses of one deployment.
pub struct Deployment {
    folder: PathBuf,
    /// First three parts of all addresses.
    network: [u8; 3],
    pub record: Record,
}

impl Deployment {
    /// Creates a temporary folder and finds free loopback addresses.
    pub fn create(record: &Record) -> Result<Self, String> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("merlinrudder-review-{pid}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        for attempt in 0..50 {
            let number = pid.wrapping_add(attempt * 251);
            let network = [127, 64 + (number / 250 % 64) as u8, (number % 250) as u8];
            if is_free(network) {
                let record = record.clone();
                return Ok(Self {
                    folder,
                    network,
                    record,
                });
            }
        }
        Err("no free addresses".to_owned())
    }

    /// Returns an address of the deployment.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, host)
    }

    /// Returns a control VM that is not started yet; host 1 to 9.
    pub fn control(&self, host: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> Node {
        let name = format!("core-{zone}-{host}");
        let ip = self.ip(host);
        let data = self.folder.join(&name);
        let extra = vec![
            format!("listen.control={ip}:{CONTROL_PORT}"),
            format!("data-dir={}", data.display()),
        ];
        self.node(name, "control", "core", ip, zone, seeds, bootstrap, extra)
    }

    /// Returns an entry VM that is not started yet; host 10 to 19.
    pub fn entry(&self, host: u8, zone: &str, seeds: &[u8], bootstrap: bool) -> Node {
        let name = format!("front-{zone}-{host}");
        let ip = self.ip(host);
        let extra = vec![
            format!("listen.front={ip}:{FRONT_PORT}"),
            format!("listen.ready={ip}:{READY_PORT}"),
        ];
        self.node(name, "entry", "front", ip, zone, seeds, bootstrap, extra)
    }

    #[allow(clippy::too_many_arguments)]
    fn node(
        &self,
        name: String,
        role: &'static str,
        class: &str,
        ip: Ipv4Addr,
        zone: &str,
        seeds: &[u8],
        bootstrap: bool,
        extra: Vec<String>,
    ) -> Node {
        let seeds: Vec<_> = seeds
            .iter()
            .map(|host| format!("{}:{CONTROL_PORT}", self.ip(*host)))
            .collect();
        let (first, last) = INTERNAL_PORTS;
        let mut lines = vec![
            format!("node={name}"),
            format!("role={role}"),
            format!("machine-class={class}"),
            format!("ip={ip}"),
            format!("zone={zone}"),
            "region=r".to_owned(),
            "zones.z1=r".to_owned(),
            "zones.z2=r".to_owned(),
            "zones.z3=r".to_owned(),
            format!("internal-port-range={first},{last}"),
            format!("seeds={}", seeds.join(",")),
            format!("bootstrap={bootstrap}"),
            format!("loss-counts={}", class == "core"),
            "discovery=registration".to_owned(),
            "entry=vip".to_owned(),
            "heartbeat-ms=1200".to_owned(),
            "fault-tolerance.machines=1".to_owned(),
            "fault-tolerance.zones=1".to_owned(),
            "fault-tolerance.regions=0".to_owned(),
            "bounds.stability-window-ms=4000".to_owned(),
            "bounds.grace-s=8".to_owned(),
            "bounds.budget-ratio=0.2".to_owned(),
            "bounds.budget-window-s=10".to_owned(),
            "bounds.budget-slack=100".to_owned(),
            "bounds.evacuate-ms=5000".to_owned(),
            "config-mode=highest".to_owned(),
        ];
        lines.extend(extra);
        Node {
            settings: self.folder.join(format!("{name}.conf")),
            text: lines.join("\n") + "\n",
            log: self.folder.join(format!("{name}.log")),
            name,
            role,
            ip,
            child: None,
            record: self.record.clone(),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ignored = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the first control address of a network can be bound.
fn is_free(network: [u8; 3]) -> bool {
    let [a, b, c] = network;
    TcpListener::bind((Ipv4Addr::new(a, b, c, 1), CONTROL_PORT)).is_ok()
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    role: &'static str,
    ip: Ipv4Addr,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self) -> Result<(), String> {
        fs::write(&self.settings, &self.text).map_err(|error| error.to_string())?;
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/merlinrudder");
        command.arg(self.role).env_clear();
        command.env("PATH", "/usr/bin:/bin");
        command.env("MERLINRUDDER_NODE_FILE", &self.settings);
        command.stdout(log).stderr(errors);
        // The process ends if this one is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        self.record.line(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ignored = child.kill();
            let _ignored = child.wait();
            self.record.line(&format!("{} is killed", self.name));
        }
    }

    /// Suspends the process.
    pub fn freeze(&self) {
        self.signal(SIGSTOP);
        self.record.line(&format!("{} freezes", self.name));
    }

    /// Resumes the process.
    pub fn thaw(&self) {
        self.record.line(&format!("{} wakes", self.name));
        self.signal(SIGCONT);
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the address for operators and engines.
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CONTROL_PORT)
    }

    /// Returns the address for callers.
    pub fn front_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), FRONT_PORT)
    }

    /// Returns the address for the load balancer's questions.
    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), READY_PORT)
    }

    /// Returns the address of the metrics that the deploy file names.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), 9464)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ignored = child.kill();
            let _ignored = child.wait();
        }
    }
}
