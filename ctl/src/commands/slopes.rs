//! The `slopes` subcommand: cost of the control plane per VM by deployment size.
//!
//! All VMs run in this process, without any requests or backend servers.

mod core_costs;
mod crash_costs;

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
/// Number of VMs with a disk, which have a replica of the control log.
const DISK_VMS: usize = 5;
/// Maximum number of VMs in this process: each has about twenty threads.
const MAX_VMS: usize = 60;
/// Wait after the first manifest; a quarter of it follows the second.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Time over which CPU and network use are averaged.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Timeout for a manifest to be accepted or in force.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Customers in the manifest: the number expected in two years.
const CUSTOMERS: usize = 320;
/// Rate of the clock ticks in which `/proc/self/stat` counts CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Cost per VM at one deployment size.
struct Row {
    vms: usize,
    /// CPU time, as a percentage of one core.
    cpu_percent: f64,
    /// Growth of resident memory since before the VMs started.
    memory_kib: f64,
    /// Bytes per second that a VM sends to other VMs.
    mesh_bytes: f64,
    /// Time from publishing a manifest until it is in force on all VMs.
    publish_ms: u128,
}

/// Measures each given size and prints a row for it, then the costs of single decisions.
pub(super) fn run(matches: &ArgMatches) -> Result<bool> {
    println!("VMs, CPU percent of a core a VM, KiB a VM, mesh bytes a second a VM, publish ms");
    for size in text_list_option(matches, "sizes") {
        let vms: usize = size
            .parse()
            .with_context(|| format!("--sizes: '{size}' is not a valid number"))?;
        if !(DISK_VMS..=MAX_VMS).contains(&vms) {
            bail!("--sizes: {vms} is out of range; valid are {DISK_VMS} to {MAX_VMS}");
        }
        let row = measure_size(vms)?;
        println!(
            "{}, {:.2}, {:.0}, {:.0}, {}",
            row.vms, row.cpu_percent, row.memory_kib, row.mesh_bytes, row.publish_ms
        );
    }
    core_costs::print_placements();
    core_costs::print_claims();
    crash_costs::print_crashes();
    Ok(true)
}

fn measure_size(count: usize) -> Result<Row> {
    let folder = tempfile::tempdir()?;
    let zones: Vec<_> = (0..count)
        .map(|number| ZONES[number % ZONES.len()])
        .collect();
    let local_vms = create_deployment(folder.path(), &zones, DISK_VMS)?;
    let memory_before = memory_kib()?;
    let log = Logger::root(Discard, o!());
    let running: Vec<_> = local_vms
        .iter()
        .map(|vm| RunningVm::spawn(&Settings::open(&vm.settings_path)?, &log))
        .collect::<Result<_>>()?;
    publish_first_manifest(&local_vms)?;
    thread::sleep(SETTLE_TIME);
    let publish_ms = time_publish(&local_vms)?;
    thread::sleep(SETTLE_TIME / 4);
    let (cpu, bytes) = (cpu_seconds()?, mesh_bytes(&local_vms)?);
    thread::sleep(MEASURE_TIME);
    let (cpu, bytes) = (cpu_seconds()? - cpu, mesh_bytes(&local_vms)? - bytes);
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

fn manifest_document(number: u64) -> Vec<u8> {
    let names: Vec<_> = (0..CUSTOMERS)
        .map(|number| format!("customer-{number}"))
        .collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    manifest(number, &ZONES, &names).to_string().into_bytes()
}

fn publish_first_manifest(vms: &[LocalVm]) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let published = publish(
            &vms[0].admin.to_string(),
            ADMIN_TOKEN,
            &manifest_document(1),
        );
        if matches!(published, Ok((200, _))) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(200));
    }
    bail!("the VMs accepted no manifest within {START_TIMEOUT:?}")
}

/// Publishes the second manifest; returns the milliseconds until it is in force on all VMs.
fn time_publish(vms: &[LocalVm]) -> Result<u128> {
    let start = Instant::now();
    let (code, answer) = publish(
        &vms[0].admin.to_string(),
        ADMIN_TOKEN,
        &manifest_document(2),
    )?;
    if code != 200 {
        bail!("the manifest was not accepted: {answer}");
    }
    while start.elapsed() < START_TIMEOUT {
        let everywhere = vms.iter().all(|vm| {
            status(&vm.admin.to_string(), ADMIN_TOKEN).is_ok_and(|status| status.manifest >= 2)
        });
        if everywhere {
            return Ok(start.elapsed().as_millis());
        }
    }
    bail!("the manifest is not in force on all VMs after {START_TIMEOUT:?}")
}

/// Returns the user and system CPU time of this process.
fn cpu_seconds() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let fields_text = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<_> = fields_text.split_whitespace().collect();
    let field_ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let (user, system) = (field_ticks(11), field_ticks(12));
    Ok((user.unwrap_or_default() + system.unwrap_or_default()) / CLOCK_TICKS_PER_SECOND)
}

/// Returns the resident set size of this process.
fn memory_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("/proc/self/status has no VmRSS")?;
    let number = line
        .split_whitespace()
        .nth(1)
        .context("VmRSS has no value")?;
    Ok(number.parse()?)
}

/// Returns the bytes that all VMs of this process have sent each other.
///
/// They share one metrics recorder, so one VM reports the sum.
fn mesh_bytes(vms: &[LocalVm]) -> Result<f64> {
    let url = format!("http://{}/metrics", vms[0].admin);
    let text = attohttpc::get(url).send()?.text_utf8()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("merlinrudder_mesh_sent_bytes_total"));
    let number = line
        .and_then(|line| line.rsplit(' ').next())
        .context("no counter of sent mesh bytes")?;
    Ok(number.parse()?)
}
