//! Starts VMs and stand-ins as processes, and ends them with the test.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_ctl::client::{self, CallOutcome, CompletionCall};
use merlinrudder_ctl::deployment::{
    ADMIN_TOKEN, BACKENDS_TOKEN, LocalVm, create_deployment, customer_token, manifest,
};
use merlinrudder_fakes::app::AppLogLine;
use merlinrudder_fakes::completion::{FakeCompletion, TOKEN_BYTES};
use merlinrudder_fakes::engine::EngineLogLine;
use merlinrudder_node::control::input::VmStatus;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const CUSTOMER: &str = "norrbok";
/// Longest wait for a state that must come; tests do not measure time.
pub const PATIENCE: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(30);

/// A deployment of processes.
pub struct Cluster {
    pub vms: Vec<LocalVm>,
    pub folder: TempDir,
    running: Vec<Option<Child>>,
    fakes: Vec<Fake>,
}

/// A stand-in process.
pub struct Fake {
    pub id: String,
    pub address: String,
    child: Child,
}

impl Cluster {
    /// Starts one VM for each zone given; the first `disks` have a disk.
    pub fn start(zones: &[&str], disks: usize) -> Self {
        Self::start_changed(zones, disks, |_| {})
    }

    /// Starts VMs after `change` had a look at what was laid out.
    pub fn start_changed(zones: &[&str], disks: usize, change: impl FnOnce(&[LocalVm])) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let vms = create_deployment(folder.path(), zones, disks).expect("a deployment");
        change(&vms);
        let running = vms.iter().map(|_| None).collect();
        let mut cluster = Self {
            vms,
            folder,
            running,
            fakes: Vec::new(),
        };
        for index in 0..cluster.vms.len() {
            cluster.start_vm(index);
        }
        cluster
    }

    pub fn start_vm(&mut self, index: usize) {
        let vm = &self.vms[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{}.log", vm.id)))
            .expect("a log file");
        let child = Command::new(server_binary())
            .args(["run", "--settings"])
            .arg(&vm.settings_path)
            .stderr(log)
            .spawn()
            .expect("the server starts");
        self.running[index] = Some(child);
    }

    pub fn signal_vm(&self, index: usize, signal: Signal) {
        let child = self.running[index].as_ref().expect("the VM runs");
        kill(pid(child), signal).expect("the signal is sent");
    }

    /// Kills a VM at once.
    pub fn kill_vm(&mut self, index: usize) {
        let mut child = self.running[index].take().expect("the VM runs");
        child.kill().expect("the VM is killed");
        child.wait().expect("the VM ends");
    }

    /// Waits until a VM that was told to stop has ended by itself.
    pub fn wait_for_end(&mut self, index: usize) {
        let mut child = self.running[index].take().expect("the VM runs");
        let mut status = None;
        wait_until("the VM ends", || {
            status = child.try_wait().expect("the VM can be asked");
            status.is_some()
        });
        assert!(
            status.is_some_and(|status| status.success()),
            "the VM ended with {status:?}"
        );
    }

    pub fn is_running(&self, index: usize) -> bool {
        self.running[index].is_some()
    }

    /// Starts a stand-in and returns its place.
    pub fn start_fake(&mut self, kind: &str, id: &str, service: &str, zone: &str, extra: &[&str]) {
        let announce: Vec<_> = self.vms.iter().map(|vm| vm.backends.to_string()).collect();
        let mut child = Command::new(env!("CARGO_BIN_EXE_merlinctl"))
            .args([
                "fake",
                kind,
                "--id",
                id,
                "--service",
                service,
                "--zone",
                zone,
            ])
            .args(["--token", BACKENDS_TOKEN, "--announce", &announce.join(",")])
            .args(extra)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let output = child.stdout.take().expect("the stand-in's output");
        let mut address = String::new();
        BufReader::new(output)
            .read_line(&mut address)
            .expect("the stand-in's address");
        let address = address.trim().to_owned();
        self.fakes.push(Fake {
            id: id.to_owned(),
            address,
            child,
        });
    }

    pub fn start_engines(&mut self, zone: &str, count: usize, extra: &[&str]) {
        for number in 1..=count {
            let id = format!("engine-{zone}-{number}");
            self.start_fake("engine", &id, "drafts", zone, extra);
        }
    }

    pub fn fake(&self, id: &str) -> &Fake {
        self.fakes
            .iter()
            .find(|fake| fake.id == id)
            .expect("the stand-in was started")
    }

    pub fn signal_fake(&self, id: &str, signal: Signal) {
        kill(pid(&self.fake(id).child), signal).expect("the signal is sent");
    }

    /// Whether a stand-in's process has ended.
    pub fn has_ended(&mut self, id: &str) -> bool {
        let fake = self
            .fakes
            .iter_mut()
            .find(|fake| fake.id == id)
            .expect("the stand-in");
        fake.child
            .try_wait()
            .expect("the stand-in can be asked")
            .is_some()
    }

    /// Kills a stand-in at once; it is reaped with the test.
    pub fn kill_fake(&self, id: &str) {
        kill(pid(&self.fake(id).child), Signal::SIGKILL).expect("the stand-in is killed");
    }

    /// Publishes at the first VM until the manifest is accepted.
    pub fn publish(&self, number: u64) {
        let document = Self::document(number);
        wait_until("the manifest is accepted", || {
            let admin = self.admin(0);
            matches!(
                client::publish(&admin, ADMIN_TOKEN, &document),
                Ok((200, _))
            )
        });
        self.wait_for_manifest(number);
    }

    pub fn document(number: u64) -> Vec<u8> {
        manifest(number, &ZONES, &[CUSTOMER])
            .to_string()
            .into_bytes()
    }

    pub fn admin(&self, index: usize) -> String {
        self.vms[index].admin.to_string()
    }

    pub fn callers(&self, index: usize) -> String {
        self.vms[index].callers.to_string()
    }

    /// Waits until every running VM is ready with at least this manifest.
    pub fn wait_for_manifest(&self, number: u64) {
        wait_until("the manifest is in force on all VMs", || {
            let running = (0..self.vms.len()).filter(|index| self.is_running(*index));
            running.into_iter().all(|index| {
                self.status(index)
                    .is_some_and(|status| status.ready && status.manifest >= number)
            })
        });
    }

    pub fn status(&self, index: usize) -> Option<VmStatus> {
        client::status(&self.admin(index), ADMIN_TOKEN).ok()
    }

    /// Waits until the VMs together know this many backend servers.
    pub fn wait_for_servers(&self, count: usize) {
        wait_until("the backend servers are known", || {
            self.known_servers().len() == count
        });
    }

    pub fn known_servers(&self) -> Vec<String> {
        let running = (0..self.vms.len()).filter(|index| self.is_running(*index));
        let status = running.filter_map(|index| self.status(index));
        let mut ids: Vec<_> = status
            .flat_map(|status| status.servers)
            .map(|server| server.id)
            .collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Returns the place of the VM that leads the control log.
    pub fn leader(&self) -> usize {
        let mut found = None;
        wait_until("a VM leads", || {
            found = (0..self.vms.len()).find(|index| {
                let vm = &self.vms[*index];
                vm.has_disk
                    && self.is_running(*index)
                    && self
                        .status(*index)
                        .is_some_and(|s| s.leader.as_ref() == Some(&vm.id))
            });
            found.is_some()
        });
        found.expect("a leader was found")
    }

    pub fn complete(&self, vm: usize, prompt: &str, max_tokens: u64) -> CallOutcome {
        client::complete(&CompletionCall {
            address: &self.callers(vm),
            token: &customer_token(CUSTOMER),
            model: "drafts",
            prompt,
            max_tokens,
            timeout: PATIENCE * 2,
        })
    }

    pub fn call(&self, vm: usize, method: &str, path: &str, key: Option<&str>) -> CallOutcome {
        let token = customer_token(CUSTOMER);
        client::call_plain(&self.callers(vm), &token, method, path, key, "the report")
    }

    pub fn set_faults(&self, id: &str, faults: &Value) {
        let url = format!("http://{}/faults", self.fake(id).address);
        let sent = attohttpc::post(url).text(faults.to_string()).send();
        assert!(sent.expect("the faults are sent").is_success());
    }

    pub fn leave(&self, id: &str) {
        let url = format!("http://{}/leave", self.fake(id).address);
        assert!(
            attohttpc::post(url)
                .send()
                .expect("the stand-in is told")
                .is_success()
        );
    }

    pub fn engine_log(&self, id: &str) -> Vec<EngineLogLine> {
        read_log(&self.fake(id).address)
    }

    pub fn app_log(&self, id: &str) -> Vec<AppLogLine> {
        read_log(&self.fake(id).address)
    }

    /// Reads one counter of a VM, over all of its labels that hold `label`.
    pub fn counter(&self, index: usize, name: &str, label: &str) -> u64 {
        let url = format!("http://{}/metrics", self.admin(index));
        let text = attohttpc::get(url)
            .send()
            .expect("metrics")
            .text_utf8()
            .expect("text");
        text.lines()
            .filter(|line| line.starts_with(name) && line.contains(label))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_logs();
        }
        let fakes = self.fakes.iter_mut().map(|fake| &mut fake.child);
        for child in self.running.iter_mut().flatten().chain(fakes) {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Cluster {
    /// Shows the last lines of each VM's log beside a failure.
    fn print_logs(&self) {
        for vm in &self.vms {
            let path = self.folder.path().join(format!("{}.log", vm.id));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let lines: Vec<_> = text.lines().collect();
            eprintln!("--- {}", vm.id);
            for line in &lines[lines.len().saturating_sub(40)..] {
                eprintln!("{line}");
            }
        }
    }
}

fn read_log<T: serde::de::DeserializeOwned>(address: &str) -> Vec<T> {
    let response = attohttpc::get(format!("http://{address}/log"))
        .send()
        .expect("the log");
    serde_json::from_slice(&response.bytes().expect("the log")).expect("log lines")
}

fn pid(child: &Child) -> Pid {
    Pid::from_raw(i32::try_from(child.id()).expect("a process id"))
}

/// The server's binary stands beside the tool's; a test run of the whole workspace builds both.
fn server_binary() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_merlinctl")).with_file_name("merlinrudder");
    assert!(
        path.is_file(),
        "{} is missing; run the tests of the whole workspace",
        path.display()
    );
    path
}

/// Waits until a state has come.
pub fn wait_until(what: &str, mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < PATIENCE, "in vain: {what}");
        thread::sleep(LOOK);
    }
}

/// Makes a prompt of this many tokens.
pub fn prompt(name: &str, tokens: usize) -> String {
    let mut text = format!("{name}: ");
    while text.len() < tokens * TOKEN_BYTES {
        text.push_str("ledger line and plot history; ");
    }
    text.truncate(tokens * TOKEN_BYTES);
    text
}

/// Checks that an answer is whole and byte for byte the one that the engines make.
pub fn assert_whole(outcome: &CallOutcome, prompt: &str, max_tokens: u64) {
    assert!(outcome.whole, "the answer is not whole: {outcome:?}");
    assert_eq!(outcome.text, FakeCompletion::new(prompt, max_tokens).text());
}
