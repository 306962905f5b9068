//! The system under test as processes: control and entry machines on loopback addresses.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::client::{self, Answer};
use super::record::Record;
use super::{give_up, wait_until};

/// Number of control machines, one in each zone.
pub const CONTROLS: usize = 3;

/// Engines for which a free port is looked up.
const MAX_ENGINES: u8 = 10;

/// A process that is ended when this is dropped.
pub struct Owned(pub Child);

impl Drop for Owned {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends a signal such as `STOP` to a process that this case started.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    if !status.is_ok_and(|status| status.success()) {
        eprintln!("signal {name} could not be sent to {}", child.id());
    }
}

/// Machines of the system; control machines have the lowest numbers.
pub struct System {
    program: PathBuf,
    pub folder: PathBuf,
    subnet: u8,
    base: u16,
    entries: usize,
    processes: BTreeMap<usize, Owned>,
    record: Record,
}

impl System {
    /// Starts three control machines and `entries` entry machines on 127.`subnet`.0.0/16.
    pub fn start(subnet: u8, entries: usize, record: &Record) -> Self {
        let program =
            std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/merlinrudder".to_owned());
        let folder = std::env::temp_dir().join(format!("review-{subnet}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        if let Err(error) = fs::create_dir_all(&folder) {
            give_up(&format!("cannot create a temporary folder: {error}"));
        }
        let mut system = Self {
            program: PathBuf::from(program),
            folder,
            subnet,
            base: 0,
            entries,
            processes: BTreeMap::new(),
            record: record.clone(),
        };
        system.base = system.free_ports();
        for machine in 0..CONTROLS + entries {
            system.launch(machine, true);
        }
        system
    }

    fn free_ports(&self) -> u16 {
        let seed = u16::try_from(std::process::id() % 1000).unwrap_or_default();
        for step in 0..200 {
            let base = 15_000 + (seed * 13 + step * 8) % 12_000;
            let machines = (0..CONTROLS + self.entries).all(|machine| {
                (0..8).all(|port| TcpListener::bind((self.ip(machine), base + port)).is_ok())
            });
            let free = machines
                && (0..MAX_ENGINES)
                    .all(|number| TcpListener::bind((self.engine_ip(number), base + 7)).is_ok());
            if free {
                return base;
            }
        }
        give_up("no free ports");
    }

    /// Address of a machine; zones are numbered as machines modulo three.
    pub fn ip(&self, machine: usize) -> IpAddr {
        IpAddr::from([
            127,
            self.subnet,
            1,
            10 + u8::try_from(machine).unwrap_or_default(),
        ])
    }

    pub fn zone(machine: usize) -> String {
        format!("se-east-{}", machine % CONTROLS + 1)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), self.base)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..CONTROLS).map(|machine| self.control(machine)).collect()
    }

    /// Front address of the entry machine with this number, from 0.
    pub fn front(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROLS + entry), self.base + 1)
    }

    fn ready(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROLS + entry), self.base + 2)
    }

    fn engine_ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, self.subnet, 2, 10 + number])
    }

    /// Address of the engine with this number, from 0.
    pub fn engine(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.engine_ip(number), self.base + 7)
    }

    pub fn data_dir(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("data-{machine}"))
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn launch(&mut self, machine: usize, bootstrap: bool) {
        let (role, class) = if machine < CONTROLS {
            ("control", "core")
        } else {
            ("entry", "front")
        };
        let settings = self.folder.join(format!("{role}-{machine}.conf"));
        if let Err(error) = fs::write(&settings, self.settings(machine, role, class, bootstrap)) {
            give_up(&format!("cannot write settings: {error}"));
        }
        let log = self.folder.join(format!("{role}-{machine}.log"));
        let Ok(log) = File::options().create(true).append(true).open(log) else {
            give_up("cannot open a log file");
        };
        let mut command = Command::new(&self.program);
        command
            .arg(role)
            .env_clear()
            .env("MERLINRUDDER_NODE_FILE", &settings)
            .stdin(Stdio::null());
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let errors = log.try_clone().map_or_else(|_| Stdio::null(), Stdio::from);
        match command.stdout(Stdio::from(log)).stderr(errors).spawn() {
            Ok(child) => {
                self.record
                    .line(&format!("machine {role}-{machine} started"));
                self.processes.insert(machine, Owned(child));
            }
            Err(error) => give_up(&format!("cannot start {}: {error}", self.program.display())),
        }
    }

    fn settings(&self, machine: usize, role: &str, class: &str, bootstrap: bool) -> String {
        let (ip, base) = (self.ip(machine), self.base);
        let zone = Self::zone(machine);
        let seeds: Vec<_> = self.controls().iter().map(ToString::to_string).collect();
        let mut text = format!(
            "node={role}-{machine}\nrole={role}\nmachine-class={class}\nip={ip}\nzone={zone}\nregion=se-east\n\
             zones.se-east-1=se-east\nzones.se-east-2=se-east\nzones.se-east-3=se-east\n\
             internal-port-range={},{}\nseeds={}\nbootstrap={bootstrap}\nlimits.cores=1\n\
             discovery=registration\nentry=vip\nheartbeat-ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,spans\n\
             fault-tolerance.machines=1\nfault-tolerance.zones=1\nfault-tolerance.regions=0\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.stability-window-ms=3000\nbounds.ack-ms=4000\n\
             bounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.lost-ms=200\n\
             bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.outer-ms=5000\n\
             bounds.strict-revoke=false\nbounds.revoke-ms=5000\nbounds.budget-ratio=0.2\n\
             bounds.budget-window-s=10\nbounds.budget-slack=100\nbounds.recover-s=12\nbounds.pass-ms=120\n\
             bounds.retry-after-s=0\nbounds.stall_ms=1500\nbounds.hold-max-ms=20000\nbounds.free-ms=4000\n\
             bounds.idle-max-ms=9000\nconfig-mode=highest\n",
            base + 3,
            base + 7,
            seeds.join(","),
        );
        if machine < CONTROLS {
            text += &format!(
                "serves=control\nloss-counts=true\nlimits.memory-mb=256\nlimits.max-fds=4096\nlimits.disk-mb=128\n\
                 listen.control={ip}:{base}\ndata-dir={}\n",
                self.data_dir(machine).display()
            );
        } else {
            text += &format!(
                "serves=front\nloss-counts=false\nlimits.memory-mb=260\nlimits.max-fds=4200\n\
                 listen.front={ip}:{}\nlisten.ready={ip}:{}\n",
                base + 1,
                base + 2
            );
        }
        text
    }

    pub fn child(&self, machine: usize) -> &Child {
        self.processes
            .get(&machine)
            .map_or_else(|| give_up("a machine is not running"), |owned| &owned.0)
    }

    /// Ends a machine's process with SIGKILL.
    pub fn kill(&mut self, machine: usize) {
        self.record.line(&format!("machine {machine} killed"));
        self.processes.remove(&machine);
    }

    /// Publishes a configuration, at any control machine, until it is confirmed.
    pub fn publish(&self, configuration: &str) {
        let mut turn = 0;
        let confirmed = wait_until(Duration::from_secs(20), || {
            let address = self.control(turn % CONTROLS);
            turn += 1;
            let answer = client::control(
                address,
                "POST",
                "/-/Config.Put",
                configuration,
                Duration::from_secs(1),
            );
            answer.status == 200
        });
        if !confirmed {
            give_up("no configuration was confirmed");
        }
        self.record.line("configuration confirmed");
    }

    pub fn read_config(&self, machine: usize) -> Answer {
        client::control(
            self.control(machine),
            "GET",
            "/-/Config.Get",
            "",
            Duration::from_secs(1),
        )
    }

    /// Waits until each entry machine answers its readiness check with 200, and a moment longer.
    pub fn await_ready(&self) {
        let start = Instant::now();
        let ready = wait_until(Duration::from_secs(20), || {
            (0..self.entries).all(|entry| {
                let request = b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
                client::exchange(self.ready(entry), request, Duration::from_secs(1)).status == 200
            })
        });
        if !ready {
            give_up("the entry machines did not get ready");
        }
        self.record.line(&format!(
            "all entry machines ready after {} ms",
            start.elapsed().as_millis()
        ));
        // Longer than the stability window, so that all machines are in touch.
        std::thread::sleep(Duration::from_millis(3500));
    }

    /// Copies the logs of all machines beside the record, for a failed run.
    pub fn keep_logs(&self, target: &Path) {
        let _ = fs::create_dir_all(target);
        if let Ok(entries) = fs::read_dir(&self.folder) {
            for entry in entries.flatten() {
                if entry
                    .path()
                    .extension()
                    .is_some_and(|extension| extension == "log")
                {
                    let _ = fs::copy(entry.path(), target.join(entry.file_name()));
                }
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
