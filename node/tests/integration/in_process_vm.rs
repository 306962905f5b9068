//! Entry and control VMs that run in the test's own process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use merlinrudder_core::cold::plan::ColdBounds;
use merlinrudder_core::retry::RetryLimits;
use merlinrudder_node::controller::{ControllerConfig, RunningController};
use merlinrudder_node::gateway::{GatewayConfig, RunningGateway};
use merlinrudder_wire::peers::WirePeer;
use slog::{Drain, Logger, OwnedKVList, Record, o};
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::hand_link::addresses;

/// Messages of the log records of a VM.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<String>>>);

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut lines = self.0.lock().expect("no panic");
        lines.push(record.msg().to_string());
        Ok(())
    }
}

impl Lines {
    /// Returns how many messages begin with a text.
    pub fn count(&self, text: &str) -> usize {
        let lines = self.0.lock().expect("no panic");
        lines.iter().filter(|line| line.starts_with(text)).count()
    }
}

/// An entry or control VM of this process; its tasks end when this is dropped.
pub struct Vm {
    /// Address for links.
    pub address: SocketAddr,
    /// Address for callers of an entry VM, or for operators and backend servers of a control VM.
    pub callers: SocketAddr,
    pub lines: Lines,
    _folder: TempDir,
    _stop: oneshot::Sender<()>,
}

impl Vm {
    pub fn start(control: bool) -> Self {
        Self::start_in(control, tempfile::tempdir().expect("a temporary folder"))
    }

    /// Starts a VM with this data folder.
    pub fn start_in(control: bool, folder: TempDir) -> Self {
        let data_dir = folder.path().to_owned();
        let free = addresses(4);
        let local_peer = WirePeer {
            vm: "vm".to_owned(),
            zone: "z".to_owned(),
            address: free[0],
            control,
        };
        let (address, callers) = (free[0], free[1]);
        let lines = Lines::default();
        let log = Logger::root(lines.clone().fuse(), o!());
        let (stop, stopped) = oneshot::channel();
        let (started, has_started) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let running = async {
                if control {
                    let config = controller_config(local_peer, free[1], data_dir);
                    let running = RunningController::spawn(config, &log).await;
                    drop(running.expect("free addresses"));
                } else {
                    let config = gateway_config(local_peer, &free);
                    let running = RunningGateway::spawn(config, &log).await;
                    drop(running.expect("free addresses"));
                }
                started.send(()).expect("the test waits");
                drop(stopped.await);
            };
            LocalSet::new().block_on(&runtime.expect("a runtime"), running);
        });
        has_started.recv().expect("a running VM");
        Self {
            address,
            callers,
            lines,
            _folder: folder,
            _stop: stop,
        }
    }
}

fn controller_config(
    local_peer: WirePeer,
    api_addr: SocketAddr,
    data_dir: PathBuf,
) -> ControllerConfig {
    ControllerConfig {
        local_peer,
        api_addr,
        seeds: Vec::new(),
        bootstrap: false,
        data_dir,
        tolerated_losses: 1,
        zones: BTreeSet::new(),
    }
}

fn gateway_config(local_peer: WirePeer, free: &[SocketAddr]) -> GatewayConfig {
    GatewayConfig {
        local_peer,
        caller_addr: free[1],
        ready_addr: free[2],
        relay_addr: free[3],
        seeds: Vec::new(),
        retry_limits: RetryLimits {
            window: Duration::from_secs(10),
            ratio: 0.1,
            slack: 1.0,
        },
        cold_bounds: ColdBounds::default(),
        learn_capacity: false,
        stop_timeout: Duration::from_secs(10),
    }
}
