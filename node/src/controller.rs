//! Control VM: replicates the control log and tracks backend servers.
//!
//! It serves the HTTP API of operators and backend servers. It finds the other VMs from the
//! addresses in its settings, and sends entry VMs the manifest and the servers over links.

mod api;
mod caller;
mod calls;
mod cold;
mod crashes;
mod evacuations;
mod initial_vms;
mod input;
mod known_peers;
mod manifest_source;
mod pause;
mod servers;
mod state;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use crossbeam::channel::{Receiver, select_biased, unbounded};
use merlinrudder_core::names::ZoneName;
use merlinrudder_wire::mesh::WireFeatures;
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;

use self::input::{Input, InputSender};
use self::state::Controller;
use crate::clock::Clock;
use crate::links::{AddressSource, Links};
use crate::replica::disk::OpenedDisk;
use crate::timer::Timer;

/// Interval between ticks of the control thread of a control VM.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Delay before opening the data folder is retried.
const DISK_OPEN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time that a planned stop leaves for the leadership transfer and for pending calls.
const STOP_DELAY: Duration = Duration::from_millis(1500);

/// Configuration of a control VM.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// Id, zone and link address that this VM announces to other VMs.
    pub local_peer: WirePeer,
    /// Address of the HTTP API for operators and backend servers.
    pub api_addr: SocketAddr,
    /// Link addresses of the control VMs to connect to at startup.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds bootstrap a new cluster together.
    pub bootstrap: bool,
    /// Path of the data folder.
    pub data_dir: PathBuf,
    /// Number of control VMs that may be lost at the same time.
    pub tolerated_losses: usize,
    /// Zones that operators may evacuate; any zone if it is empty.
    pub zones: BTreeSet<ZoneName>,
}

/// Handle of a running control VM.
#[derive(Debug)]
pub struct RunningController {
    inputs: InputSender,
    links: Links,
}

impl RunningController {
    /// Binds the addresses and starts the control thread on the current tokio runtime.
    ///
    /// The control thread opens the data folder and exits the process if the control log cannot
    /// be restored.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the thread cannot be spawned.
    pub async fn spawn(config: ControllerConfig, log: &Logger) -> Result<Self> {
        let (sender, receiver) = unbounded();
        let inputs = InputSender::new(sender);
        let listener = TcpListener::bind(config.api_addr).await?;
        let link_inputs = inputs.clone();
        let handler = Arc::new(move |event| link_inputs.send(Input::Link(event)));
        let features = WireFeatures {
            evacuations: true,
            evacuation_orders: true,
            initial_vm: config.bootstrap,
            cold: true,
            compressed_frames: true,
            ..WireFeatures::default()
        };
        let links = Links::bind(config.local_peer.clone(), features, handler, log).await?;
        for seed in &config.seeds {
            links.dial(*seed, AddressSource::Settings);
        }
        let zones = Arc::new(config.zones.clone());
        tokio::spawn(api::serve(listener, inputs.clone(), zones, log.clone()));
        spawn_thread(config, links.clone(), inputs.clone(), receiver, log)?;
        Ok(Self { inputs, links })
    }

    /// Returns the links to other VMs.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Transfers the leadership and waits for pending calls; the process may exit afterwards.
    pub async fn stop(self) {
        self.inputs.send(Input::Stop);
        tokio::time::sleep(STOP_DELAY).await;
    }
}

/// Spawns the control thread, which opens the data folder and then processes inputs.
fn spawn_thread(
    config: ControllerConfig,
    links: Links,
    inputs: InputSender,
    receiver: Receiver<Input>,
    log: &Logger,
) -> Result<()> {
    let log = log.clone();
    let runtime = tokio::runtime::Handle::current();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let _runtime = runtime.enter();
            let timer = Timer::spawn();
            let ticks = timer.every(TICK_PERIOD);
            let disk = open_disk(&config, &log);
            let opened = Controller::open(config, Clock::start(), links, disk, inputs, &log);
            let mut controller = match opened {
                Ok(controller) => controller,
                Err(error) => crate::logging::stop_process(&log, format_args!("{error:#}")),
            };
            loop {
                // Ticks take precedence, so that many inputs do not delay heartbeats and deadlines.
                select_biased! {
                    recv(ticks) -> _ => controller.tick(),
                    recv(receiver) -> input => match input {
                        Ok(input) => controller.handle_input(input),
                        Err(_) => return,
                    },
                }
                controller.flush();
            }
        })?;
    Ok(())
}

/// Opens the data folder, retrying forever, as a full or hanging disk may recover.
fn open_disk(config: &ControllerConfig, log: &Logger) -> OpenedDisk {
    loop {
        match OpenedDisk::open(&config.data_dir) {
            Ok(disk) => {
                info!(log, "Opened the data folder"; "incarnation" => disk.incarnation());
                return disk;
            }
            Err(error) => warn!(log, "Cannot open data folder"; "error" => format!("{error:#}")),
        }
        thread::sleep(DISK_OPEN_RETRY_DELAY);
    }
}
