//! A control VM: its replica of the control log, the servers it heard of, operators' calls.
//!
//! It finds the other VMs from the addresses in its settings and serves entry VMs over links.

mod api;
mod calls;
mod input;
mod servers;
mod state;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Result;
use crossbeam::channel::{Receiver, select_biased, unbounded};
use merlinrudder_wire::peers::WirePeer;
use slog::{Logger, info, warn};
use tokio::net::TcpListener;

use self::input::{Input, Inputs};
use self::state::Controller;
use crate::clock::Clock;
use crate::links::Links;
use crate::replica::disk::OpenedDisk;
use crate::timer::Timer;

/// Time between two ticks of the control thread.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time after which a data folder that could not be opened is tried again.
const OPEN_RETRY: Duration = Duration::from_millis(500);
/// Time for the handover of the lead and for calls in progress before a planned stop ends.
const STOP_WAIT: Duration = Duration::from_millis(1500);

/// What a control VM starts with.
#[derive(Clone, Debug)]
pub struct ControllerConfig {
    /// This VM.
    pub local_peer: WirePeer,
    /// Address at which operators and backend servers call.
    pub api_addr: SocketAddr,
    /// Where the first control VMs accept links.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds form a new cluster together.
    pub bootstrap: bool,
    /// Data folder.
    pub data_dir: PathBuf,
    /// Control VMs that may be lost at once.
    pub tolerated_losses: usize,
}

/// Handle of a running control VM.
#[derive(Debug)]
pub struct RunningController {
    inputs: Inputs,
}

impl RunningController {
    /// Opens the data folder, binds the addresses and starts the control thread.
    ///
    /// Runs on the current tokio runtime.
    ///
    /// # Errors
    /// Fails where an address cannot be bound or the control log cannot be restored.
    pub async fn spawn(start: ControllerConfig, log: &Logger) -> Result<Self> {
        let (sender, receiver) = unbounded();
        let inputs = Inputs::new(sender);
        let listener = TcpListener::bind(start.api_addr).await?;
        let delivery = inputs.clone();
        let deliver = Arc::new(move |event| delivery.send(Input::Link(event)));
        let links = Links::bind(start.local_peer.clone(), deliver, log).await?;
        for seed in &start.seeds {
            links.dial(*seed, true);
        }
        tokio::spawn(api::serve(listener, inputs.clone(), log.clone()));
        spawn_thread(start, links, inputs.clone(), receiver, log)?;
        Ok(Self { inputs })
    }

    /// Hands the lead over and waits for calls in progress; the process may end afterwards.
    pub async fn stop(self) {
        self.inputs.send(Input::Stop);
        tokio::time::sleep(STOP_WAIT).await;
    }
}

fn spawn_thread(
    start: ControllerConfig,
    links: Links,
    inputs: Inputs,
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
            let disk = open_disk(&start, &log);
            let opened = Controller::open(start, Clock::start(), links, disk, inputs, &log);
            let mut controller = match opened {
                Ok(controller) => controller,
                Err(error) => crate::logging::stop_process(&log, format_args!("{error:#}")),
            };
            loop {
                // Ticks go first: a flood of inputs must not hold up heartbeats and deadlines.
                select_biased! {
                    recv(ticks) -> _ => controller.tick(),
                    recv(receiver) -> input => match input {
                        Ok(input) => controller.take(input),
                        Err(_) => return,
                    },
                }
                controller.flush();
            }
        })?;
    Ok(())
}

/// Opens the data folder; a disk that is full or hangs may recover.
fn open_disk(start: &ControllerConfig, log: &Logger) -> OpenedDisk {
    loop {
        match OpenedDisk::open(&start.data_dir) {
            Ok(disk) => {
                info!(log, "Data folder open"; "incarnation" => disk.incarnation());
                return disk;
            }
            Err(error) => warn!(log, "Data folder not open"; "error" => format!("{error:#}")),
        }
        thread::sleep(OPEN_RETRY);
    }
}
