//! The roles of a process on the users' platform, started from the platform's settings.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use merlinrudder_platform::settings::{self, NodeSettings};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, error, info};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::controller::{ControllerConfig, RunningController};
use crate::gateway::{GatewayConfig, RunningGateway};
use crate::options::args::Role;
use crate::{logging, metrics, metrics_port};

/// Port of the metrics; `deploy/system.toml` names it too.
const METRICS_PORT: u16 = 9464;

/// Runs a role until it is told to stop.
///
/// # Errors
/// Fails where the settings cannot be used or an address cannot be bound.
pub fn run(role: Role) -> Result<()> {
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
        let metrics = SocketAddr::new(settings.internal_address.ip(), METRICS_PORT);
        tokio::spawn(metrics_port::serve(metrics, log.clone()));
        match role {
            Role::Entry => run_entry(&settings, &log).await,
            Role::Control => run_control(settings, &log).await,
        }
    })
}

async fn run_entry(settings: &NodeSettings, log: &Logger) -> Result<()> {
    let start = GatewayConfig {
        local_peer: own(settings, false),
        caller_addr: settings
            .caller_address
            .context("there is no address for callers")?,
        ready_addr: settings
            .readiness_address
            .context("there is no address for readiness")?,
        seeds: seed_links(settings),
        retry_limits: settings.bounds.retries,
        stop_timeout: settings.bounds.stop_grace,
    };
    let mut signals = Signals::new()?;
    let running = RunningGateway::spawn(start, log).await?;
    signals.stopped(log).await;
    running.stop().await;
    Ok(())
}

async fn run_control(settings: NodeSettings, log: &Logger) -> Result<()> {
    let start = ControllerConfig {
        local_peer: own(&settings, true),
        api_addr: settings
            .control_address
            .context("there is no control address")?,
        seeds: seed_links(&settings),
        bootstrap: settings.bootstrap,
        data_dir: settings.data_dir.context("there is no data folder")?,
        tolerated_losses: settings.tolerated_losses,
    };
    let mut signals = Signals::new()?;
    let running = RunningController::spawn(start, log).await?;
    signals.stopped(log).await;
    running.stop().await;
    Ok(())
}

/// Signals that a process is sent.
struct Signals {
    stop: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        Ok(Self {
            stop: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is asked to stop; settings that changed meanwhile are checked.
    async fn stopped(&mut self, log: &Logger) {
        loop {
            tokio::select! {
                _ = self.stop.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.reload.recv() => reload(log),
            }
        }
        info!(log, "Asked to stop");
    }
}

/// Reads the settings again: addresses stay as they are until the next start.
fn reload(log: &Logger) {
    match settings::open_from_environment() {
        Ok(settings) => info!(log, "Settings read again"; "seeds" => ?settings.seeds),
        Err(error) => error!(log, "Settings not read; the earlier ones hold"; "error" => %error),
    }
}

fn own(settings: &NodeSettings, control: bool) -> WirePeer {
    WirePeer {
        vm: settings.vm.to_string(),
        zone: settings.zone.to_string(),
        address: link_address(settings.internal_address, control),
        control,
    }
}

/// Control VMs accept links at the first free port, entry VMs at the next one.
fn link_address(first: SocketAddr, control: bool) -> SocketAddr {
    let offset = u16::from(!control);
    SocketAddr::new(first.ip(), first.port() + offset)
}

fn seed_links(settings: &NodeSettings) -> Vec<SocketAddr> {
    let port = link_address(settings.internal_address, true).port();
    let seeds = settings.seeds.iter();
    seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}
