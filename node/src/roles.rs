//! Roles of a process on the hosting platform, started from the platform's settings file.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use merlinrudder_platform::settings::{self, NodeSettings};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::controller::{ControllerConfig, RunningController};
use crate::gateway::{GatewayConfig, RunningGateway};
use crate::options::args::{Role, RoleFlags};
use crate::seed_watch::SeedWatch;
use crate::{logging, metrics, metrics_port};

/// Port of the metrics; must match `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// Interval at which the settings file is read for new seeds.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a role until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the settings are invalid or incomplete for the role, or an address cannot be bound.
pub fn run(role: Role, flags: RoleFlags) -> Result<()> {
    let settings = settings::open_from_environment()?;
    metrics::install();
    let name = match role {
        Role::Entry => "entry",
        Role::Control => "control",
    };
    let log = logging::build_role(settings.vm.as_str(), name);
    info!(log, "Starting"; "zone" => %settings.zone, "internal" => %settings.internal_address,
        "seeds" => ?settings.seeds, "first_start" => settings.bootstrap);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let metrics_addr = SocketAddr::new(settings.internal_address.ip(), METRICS_PORT);
        tokio::spawn(metrics_port::serve(metrics_addr, log.clone()));
        match role {
            Role::Entry => run_entry(&settings, flags, &log).await,
            Role::Control => run_control(&settings, &log).await,
        }
    })
}

async fn run_entry(settings: &NodeSettings, flags: RoleFlags, log: &Logger) -> Result<()> {
    let config = GatewayConfig {
        local_peer: local_peer(settings, false),
        caller_addr: settings
            .caller_address
            .context("the settings lack listen.front, the address for callers")?,
        ready_addr: settings
            .readiness_address
            .context("the settings lack listen.ready, the address for readiness probes")?,
        relay_addr: relay_address(settings.internal_address),
        seeds: seed_addresses(settings),
        retry_limits: settings.bounds.retries,
        cold_bounds: settings.bounds.cold,
        learn_capacity: flags.learn_capacity,
        stop_timeout: settings.bounds.stop_grace,
    };
    let mut signals = Signals::new()?;
    let running = RunningGateway::spawn(config, log).await?;
    let mut seeds = SeedWatch::new(running.links().clone(), settings, log);
    signals.wait_for_stop(&mut seeds, log).await;
    running.stop().await;
    Ok(())
}

async fn run_control(settings: &NodeSettings, log: &Logger) -> Result<()> {
    let config = ControllerConfig {
        local_peer: local_peer(settings, true),
        api_addr: settings
            .control_address
            .context("the settings lack listen.control, the address for operators")?,
        seeds: seed_addresses(settings),
        bootstrap: settings.bootstrap,
        data_dir: settings
            .data_dir
            .clone()
            .context("the settings lack data-dir, the data folder")?,
        tolerated_losses: settings.tolerated_losses,
        zones: settings.zones.clone(),
    };
    let mut signals = Signals::new()?;
    let running = RunningController::spawn(config, log).await?;
    let mut seeds = SeedWatch::new(running.links().clone(), settings, log);
    signals.wait_for_stop(&mut seeds, log).await;
    running.stop().await;
    Ok(())
}

/// Unix signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; follows the settings file meanwhile.
    ///
    /// It may change without a SIGHUP.
    async fn wait_for_stop(&mut self, seeds: &mut SeedWatch, log: &Logger) {
        let mut checks = interval(SETTINGS_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => {
                    info!(log, "Received SIGHUP");
                    seeds.check();
                }
                _ = checks.tick() => seeds.check(),
            }
        }
        info!(log, "Received stop signal");
    }
}

/// Returns this VM as it introduces itself to other VMs.
fn local_peer(settings: &NodeSettings, control: bool) -> WirePeer {
    WirePeer {
        vm: settings.vm.to_string(),
        zone: settings.zone.to_string(),
        address: link_address(settings.internal_address, control),
        control,
    }
}

/// Returns the link address of a VM.
///
/// `first` holds the first port of its internal port range. Control VMs accept links at this port,
/// entry VMs at the next one.
fn link_address(first: SocketAddr, control: bool) -> SocketAddr {
    let offset = u16::from(!control);
    SocketAddr::new(first.ip(), first.port() + offset)
}

/// Returns the address at which an entry VM accepts requests of other VMs.
fn relay_address(first: SocketAddr) -> SocketAddr {
    SocketAddr::new(first.ip(), first.port() + 2)
}

/// Returns the link addresses of the control VMs that the settings name as seeds.
pub(crate) fn seed_addresses(settings: &NodeSettings) -> Vec<SocketAddr> {
    let port = link_address(settings.internal_address, true).port();
    let seeds = settings.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
