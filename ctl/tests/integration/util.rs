//! Runs VMs and fake backend servers as processes for the length of a test.

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

/// Zones of the published manifests.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Customer of the published manifests.
pub const CUSTOMER: &str = "norrbok";
/// Longest wait for an expected state; it bounds hangs and does not check latency.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// A deployment of processes, which are killed when it is dropped.
///
/// VMs are identified by their index in `vms`.
pub struct Cluster {
    pub vms: Vec<LocalVm>,
    /// Directory of the settings, data and logs of all VMs.
    pub folder: TempDir,
    /// Process of each VM; `None` unless it was started and not reaped.
    vm_processes: Vec<Option<Child>>,
    fakes: Vec<Fake>,
}

/// A fake backend server in a process of its own.
pub struct Fake {
    pub id: String,
    /// Address of its HTTP API, as `host:port`.
    pub address: String,
    child: Child,
}

impl Cluster {
    /// Starts one VM per entry of `zones`; the first `disks` have a disk.
    pub fn start(zones: &[&str], disks: usize) -> Self {
        Self::start_customized(zones, disks, |_| {})
    }

    /// Like [`Cluster::start`], but lets `customize` edit the settings files first.
    pub fn start_customized(
        zones: &[&str],
        disks: usize,
        customize: impl FnOnce(&[LocalVm]),
    ) -> Self {
        let folder = tempfile::tempdir().expect("the temporary directory is created");
        let vms =
            create_deployment(folder.path(), zones, disks).expect("the deployment is laid out");
        customize(&vms);
        let vm_processes = vms.iter().map(|_| None).collect();
        let mut cluster = Self {
            vms,
            folder,
            vm_processes,
            fakes: Vec::new(),
        };
        for index in 0..cluster.vms.len() {
            cluster.start_vm(index);
        }
        cluster
    }

    /// Starts a VM that is not running; its log is appended to `<id>.log`.
    pub fn start_vm(&mut self, index: usize) {
        let vm = &self.vms[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("{}.log", vm.id)))
            .expect("the log file is opened");
        let child = Command::new(server_binary())
            .args(["run", "--settings"])
            .arg(&vm.settings_path)
            .stderr(log)
            .spawn()
            .expect("the VM process starts");
        self.vm_processes[index] = Some(child);
    }

    /// Sends a signal to a VM.
    ///
    /// A VM that it kills counts as running until [`Cluster::kill_vm`] reaps it.
    pub fn signal_vm(&self, index: usize, signal: Signal) {
        let child = self.vm_processes[index]
            .as_ref()
            .expect("the VM was started");
        kill(pid(child), signal).expect("the signal is sent");
    }

    /// Kills a VM with SIGKILL, unless it has already exited, and reaps it.
    pub fn kill_vm(&mut self, index: usize) {
        let mut child = self.vm_processes[index].take().expect("the VM was started");
        child.kill().expect("the VM is killed");
        child.wait().expect("the VM is reaped");
    }

    /// Waits until a VM that was told to stop exits, and checks its exit status.
    pub fn wait_for_clean_exit(&mut self, index: usize) {
        let mut child = self.vm_processes[index].take().expect("the VM was started");
        let mut status = None;
        wait_until("the VM exits", || {
            status = child.try_wait().expect("the exit status is read");
            status.is_some()
        });
        assert!(
            status.is_some_and(|status| status.success()),
            "the VM exited with {status:?}"
        );
    }

    /// Whether a VM was started and not reaped.
    pub fn is_running(&self, index: usize) -> bool {
        self.vm_processes[index].is_some()
    }

    /// Starts a fake `engine` or `app` that announces itself at any of the VMs.
    ///
    /// Returns once it listens, which may be before it is registered.
    pub fn start_fake(
        &mut self,
        kind: &str,
        id: &str,
        service: &str,
        zone: &str,
        extra_args: &[&str],
    ) {
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
            .args(extra_args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the fake starts");
        let output = child.stdout.take().expect("the output is piped");
        let mut address = String::new();
        BufReader::new(output)
            .read_line(&mut address)
            .expect("the fake prints its address");
        let address = address.trim().to_owned();
        self.fakes.push(Fake {
            id: id.to_owned(),
            address,
            child,
        });
    }

    /// Starts `count` fake engines, named `engine-<zone>-1` and so on.
    pub fn start_engines(&mut self, zone: &str, count: usize, extra_args: &[&str]) {
        for number in 1..=count {
            let id = format!("engine-{zone}-{number}");
            self.start_fake("engine", &id, "drafts", zone, extra_args);
        }
    }

    pub fn fake(&self, id: &str) -> &Fake {
        self.fakes
            .iter()
            .find(|fake| fake.id == id)
            .expect("the fake was started")
    }

    pub fn signal_fake(&self, id: &str, signal: Signal) {
        kill(pid(&self.fake(id).child), signal).expect("the signal is sent");
    }

    /// Whether the process of a fake has exited.
    pub fn has_ended(&mut self, id: &str) -> bool {
        let fake = self
            .fakes
            .iter_mut()
            .find(|fake| fake.id == id)
            .expect("the fake was started");
        fake.child
            .try_wait()
            .expect("the exit status is read")
            .is_some()
    }

    /// Kills a fake with SIGKILL; it is reaped when the cluster is dropped.
    pub fn kill_fake(&self, id: &str) {
        kill(pid(&self.fake(id).child), Signal::SIGKILL).expect("the fake is killed");
    }

    /// Publishes a manifest at the first VM and waits until all VMs apply it.
    ///
    /// Retries until it is accepted.
    pub fn publish(&self, number: u64) {
        let document = Self::document(number);
        wait_until("the manifest is accepted", || {
            let admin = self.admin_address(0);
            matches!(
                client::publish(&admin, ADMIN_TOKEN, &document),
                Ok((200, _))
            )
        });
        self.wait_for_manifest(number);
    }

    /// Returns the JSON text of the manifest with this number.
    pub fn document(number: u64) -> Vec<u8> {
        manifest(number, &ZONES, &[CUSTOMER])
            .to_string()
            .into_bytes()
    }

    /// Returns the address of a VM for operators.
    pub fn admin_address(&self, index: usize) -> String {
        self.vms[index].admin.to_string()
    }

    /// Returns the address of a VM for callers.
    pub fn callers_address(&self, index: usize) -> String {
        self.vms[index].callers.to_string()
    }

    /// Waits until every running VM is ready with this manifest or a newer one.
    pub fn wait_for_manifest(&self, number: u64) {
        wait_until("the manifest is in force on all running VMs", || {
            let running = (0..self.vms.len()).filter(|index| self.is_running(*index));
            running.into_iter().all(|index| {
                self.status(index)
                    .is_some_and(|status| status.ready && status.manifest >= number)
            })
        });
    }

    /// Returns the resident memory of a VM in KiB; `None` if it is not running.
    pub fn resident_kib(&self, index: usize) -> Option<u64> {
        let id = self.vm_processes[index].as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().split(' ').next()?.parse().ok()
    }

    /// Asks a VM for its status; `None` if it does not answer.
    pub fn status(&self, index: usize) -> Option<VmStatus> {
        client::status(&self.admin_address(index), ADMIN_TOKEN).ok()
    }

    /// Waits until exactly `count` backend servers are registered on running VMs.
    pub fn wait_for_servers(&self, count: usize) {
        wait_until(
            "the expected number of backend servers is registered",
            || self.registered_servers().len() == count,
        );
    }

    /// Returns the ids of the backend servers on all running VMs, sorted, without duplicates.
    pub fn registered_servers(&self) -> Vec<String> {
        let running = (0..self.vms.len()).filter(|index| self.is_running(*index));
        let statuses = running.filter_map(|index| self.status(index));
        let mut ids: Vec<_> = statuses
            .flat_map(|status| status.servers)
            .map(|server| server.id)
            .collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Waits for a leader of the control log and returns its index.
    pub fn leader(&self) -> usize {
        let mut found = None;
        wait_until("a VM reports itself as leader", || {
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

    /// Requests a streamed completion as the customer and reads it to its end.
    pub fn complete(&self, vm: usize, prompt: &str, max_tokens: u64) -> CallOutcome {
        client::complete(&CompletionCall {
            address: &self.callers_address(vm),
            token: &customer_token(CUSTOMER),
            model: "drafts",
            prompt,
            max_tokens,
            timeout: WAIT_TIMEOUT * 2,
        })
    }

    /// Sends a plain call as the customer; `key` is its idempotency key.
    pub fn call(&self, vm: usize, method: &str, path: &str, key: Option<&str>) -> CallOutcome {
        let token = customer_token(CUSTOMER);
        client::call_plain(
            &self.callers_address(vm),
            &token,
            method,
            path,
            key,
            "the report",
        )
    }

    /// Replaces the active faults of a fake.
    pub fn set_faults(&self, id: &str, faults: &Value) {
        let url = format!("http://{}/faults", self.fake(id).address);
        let sent = attohttpc::post(url).text(faults.to_string()).send();
        assert!(sent.expect("the faults are sent").is_success());
    }

    /// Makes a fake announce that it is leaving.
    pub fn leave(&self, id: &str) {
        let url = format!("http://{}/leave", self.fake(id).address);
        assert!(
            attohttpc::post(url)
                .send()
                .expect("the fake answers")
                .is_success()
        );
    }

    /// Returns the execution log of a fake engine.
    pub fn engine_log(&self, id: &str) -> Vec<EngineLogLine> {
        fetch_execution_log(&self.fake(id).address)
    }

    /// Returns the execution log of a fake application.
    pub fn app_log(&self, id: &str) -> Vec<AppLogLine> {
        fetch_execution_log(&self.fake(id).address)
    }

    /// Sums the series of a VM's counter whose labels contain `label`.
    pub fn counter(&self, index: usize, name: &str, label: &str) -> u64 {
        let url = format!("http://{}/metrics", self.admin_address(index));
        let text = attohttpc::get(url)
            .send()
            .expect("the metrics are sent")
            .text_utf8()
            .expect("the metrics are valid UTF-8");
        text.lines()
            .filter(|line| line.starts_with(name) && line.contains(label))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_log_tails();
        }
        let fakes = self.fakes.iter_mut().map(|fake| &mut fake.child);
        for child in self.vm_processes.iter_mut().flatten().chain(fakes) {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Cluster {
    /// Prints the last 40 lines of each VM's log.
    fn print_log_tails(&self) {
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

fn fetch_execution_log<T: serde::de::DeserializeOwned>(address: &str) -> Vec<T> {
    let response = attohttpc::get(format!("http://{address}/log"))
        .send()
        .expect("the execution log is sent");
    serde_json::from_slice(&response.bytes().expect("the execution log is read"))
        .expect("the execution log is valid")
}

fn pid(child: &Child) -> Pid {
    Pid::from_raw(i32::try_from(child.id()).expect("the process id fits"))
}

/// Returns the path of the server binary, in the build directory of `merlinctl`.
///
/// Testing the whole workspace builds both; testing this package alone does not.
fn server_binary() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_merlinctl")).with_file_name("merlinrudder");
    assert!(
        path.is_file(),
        "{} is missing; run the tests of the whole workspace",
        path.display()
    );
    path
}

/// Polls until `reached` returns true; panics with `what`, the awaited state, on timeout.
pub fn wait_until(what: &str, mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a prompt of this many tokens that starts with `name`.
pub fn prompt(name: &str, tokens: usize) -> String {
    let mut text = format!("{name}: ");
    while text.len() < tokens * TOKEN_BYTES {
        text.push_str("ledger line and plot history; ");
    }
    text.truncate(tokens * TOKEN_BYTES);
    text
}

/// Asserts that a completion equals the fake engines' output byte for byte.
pub fn assert_exact_completion(outcome: &CallOutcome, prompt: &str, max_tokens: u64) {
    assert!(outcome.whole, "the completion is incomplete: {outcome:?}");
    assert_eq!(outcome.text, FakeCompletion::new(prompt, max_tokens).text());
}
