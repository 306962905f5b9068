//! Measures what control costs a VM at several sizes, with VMs of this process and no traffic.

mod core_costs;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::ArgMatches;
use merlinrudder_node::options::settings::Settings;
use merlinrudder_node::vm::RunningVm;
use slog::{Discard, Logger, o};

use super::text_list_option;
use crate::client::{publish, status};
use crate::deployment::{ADMIN_TOKEN, LocalVm, create_deployment, manifest};

const ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
/// VMs with a disk.
const DISKS: usize = 5;
/// Most VMs of one run: each has about twenty threads.
const MAX_VMS: usize = 60;
const SETTLE_TIME: Duration = Duration::from_secs(8);
const MEASURE_TIME: Duration = Duration::from_secs(10);
const START_TIME: Duration = Duration::from_secs(30);
/// Customers of the manifest, as many as in two years.
const CUSTOMERS: usize = 320;
/// Ticks of the system's clock in a second, in which it counts processor time.
const TICKS: f64 = 100.0;

/// What one size cost a VM.
struct Row {
    vms: usize,
    cpu_percent: f64,
    memory_kib: f64,
    mesh_bytes: f64,
    publish_ms: u128,
}

/// Runs each size asked for and prints a row for it.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    println!("VMs, CPU percent of a core a VM, KiB a VM, mesh bytes a second a VM, publish ms");
    for size in text_list_option(matches, "sizes") {
        let vms: usize = size
            .parse()
            .with_context(|| format!("'{size}' is no number"))?;
        if !(DISKS..=MAX_VMS).contains(&vms) {
            bail!("--sizes holds {vms}; valid are {DISKS} to {MAX_VMS}");
        }
        let row = measure(vms)?;
        println!(
            "{}, {:.2}, {:.0}, {:.0}, {}",
            row.vms, row.cpu_percent, row.memory_kib, row.mesh_bytes, row.publish_ms
        );
    }
    core_costs::print_placements();
    core_costs::print_claims();
    Ok(true)
}

fn measure(count: usize) -> Result<Row> {
    let folder = tempfile::tempdir()?;
    let zones: Vec<_> = (0..count)
        .map(|number| ZONES[number % ZONES.len()])
        .collect();
    let laid = create_deployment(folder.path(), &zones, DISKS)?;
    let memory_before = memory_kib()?;
    let log = Logger::root(Discard, o!());
    let running: Vec<_> = laid
        .iter()
        .map(|vm| RunningVm::spawn(&Settings::open(&vm.settings_path)?, &log))
        .collect::<Result<_>>()?;
    publish_first(&laid)?;
    thread::sleep(SETTLE_TIME);
    let publish_ms = time_publish(&laid)?;
    thread::sleep(SETTLE_TIME / 4);
    let (cpu, bytes) = (cpu_seconds()?, mesh_bytes(&laid)?);
    thread::sleep(MEASURE_TIME);
    let (cpu, bytes) = (cpu_seconds()? - cpu, mesh_bytes(&laid)? - bytes);
    let memory = memory_kib()? - memory_before;
    #[expect(clippy::cast_precision_loss, reason = "few VMs")]
    let vms = count as f64;
    let seconds = MEASURE_TIME.as_secs_f64();
    thread::scope(|scope| {
        for vm in running {
            scope.spawn(move || vm.stop());
        }
    });
    Ok(Row {
        vms: count,
        cpu_percent: cpu / seconds / vms * 100.0,
        memory_kib: memory / vms,
        mesh_bytes: bytes / seconds / vms,
        publish_ms,
    })
}

fn document(number: u64) -> Vec<u8> {
    let names: Vec<_> = (0..CUSTOMERS)
        .map(|number| format!("customer-{number}"))
        .collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    manifest(number, &ZONES, &names).to_string().into_bytes()
}

fn publish_first(vms: &[LocalVm]) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIME {
        let published = publish(&vms[0].admin.to_string(), ADMIN_TOKEN, &document(1));
        if matches!(published, Ok((200, _))) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(200));
    }
    bail!("the VMs did not form in {START_TIME:?}")
}

/// Publishes the next manifest; returns the time until all VMs have it in force.
fn time_publish(vms: &[LocalVm]) -> Result<u128> {
    let start = Instant::now();
    let (code, answer) = publish(&vms[0].admin.to_string(), ADMIN_TOKEN, &document(2))?;
    if code != 200 {
        bail!("the publish was answered with {answer}");
    }
    while start.elapsed() < START_TIME {
        let all = vms.iter().all(|vm| {
            status(&vm.admin.to_string(), ADMIN_TOKEN).is_ok_and(|status| status.manifest >= 2)
        });
        if all {
            return Ok(start.elapsed().as_millis());
        }
    }
    bail!("the manifest is not in force everywhere after {START_TIME:?}")
}

/// Returns the processor time of this process.
fn cpu_seconds() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = after.split_whitespace().collect();
    let ticks = |place: usize| {
        fields
            .get(place)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let (user, system) = (ticks(11), ticks(12));
    Ok((user.unwrap_or_default() + system.unwrap_or_default()) / TICKS)
}

/// Returns the resident memory of this process.
fn memory_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("no VmRSS")?;
    let number = line.split_whitespace().nth(1).context("no number")?;
    Ok(number.parse()?)
}

/// Returns the bytes that all VMs of this process sent each other.
fn mesh_bytes(vms: &[LocalVm]) -> Result<f64> {
    let url = format!("http://{}/metrics", vms[0].admin);
    let text = attohttpc::get(url).send()?.text_utf8()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("merlinrudder_mesh_sent_bytes_total"));
    let number = line
        .and_then(|line| line.rsplit(' ').next())
        .context("no counter")?;
    Ok(number.parse()?)
}
