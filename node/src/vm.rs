//! Start and graceful stop of all threads of a VM.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use crossbeam::channel::bounded;
use merlinrudder_core::estimate::Estimator;
use merlinrudder_core::units::AttemptId;
use slog::{Logger, info, o, warn};

use crate::admin::Admin;
use crate::backend::{cancel_in_background, reconcile};
use crate::clock::Clock;
use crate::constants::{DRAIN_TIMEOUT, UNREADY_PERIOD};
use crate::control::input::{Canceller, ControlInput, VmStatus};
use crate::control::{self, ControlConfig, ControlHandle};
use crate::http_api::HttpServer;
use crate::http_api::backend_api::BackendApi;
use crate::http_api::caller_api::CallerApi;
use crate::memory_budget::MemoryBudget;
use crate::mesh::tls::MeshKeys;
use crate::mesh::{Mesh, MessageHandler};
use crate::metrics;
use crate::options::settings::Settings;
use crate::published::RoutingSnapshotCell;
use crate::replica::disk::OpenedDisk;
use crate::timer::Timer;

/// Most requests in progress on each of the ports for operators and backend servers.
const MAX_ADMIN_REQUESTS: usize = 64;
/// Time that connections of callers get to close before the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for requests in progress during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handle of a running VM.
#[derive(Debug)]
pub struct RunningVm {
    control: ControlHandle,
    callers: HttpServer,
    backends: HttpServer,
    admin: HttpServer,
    mesh: Mesh,
    timer: Timer,
    log: Logger,
}

impl RunningVm {
    /// Opens the data folder, binds all ports and spawns all threads.
    ///
    /// # Errors
    /// Fails if the folder or a key file cannot be read, or a port cannot be bound.
    pub fn spawn(settings: &Settings, log: &Logger) -> Result<Self> {
        metrics::install();
        let clock = Clock::start();
        let timer = Timer::spawn();
        let published = RoutingSnapshotCell::default();
        let disk = match &settings.data_folder {
            Some(folder) => Some(OpenedDisk::open(folder)?),
            None => None,
        };
        let (control, inputs) = control::channel();
        let mesh = bind_mesh(settings, &control, log)?;
        let config = ControlConfig {
            local: settings.configured_vm(),
            peers: settings
                .peers
                .iter()
                .map(|peer| peer.config.clone())
                .collect(),
            clock,
            mesh: mesh.clone(),
            published: published.clone(),
            // Engines cancel every attempt up to the given one, so this cancels all of them.
            canceller: Canceller::new(Arc::new(|request, servers| {
                cancel_in_background(servers, request, AttemptId(u32::MAX));
            })),
            disk,
            log: log.clone(),
        };
        control::spawn(config, &control, inputs, &timer)?;
        reconcile::spawn(control.clone(), &timer, log)?;
        let apis = ApiParts {
            settings,
            control: &control,
            published: &published,
            memory: Arc::new(MemoryBudget::new(settings.limits.memory_bytes)),
            clock,
            log,
        };
        let callers = bind_callers(&apis)?;
        let backends = bind_backends(&apis)?;
        let admin = bind_admin(&apis)?;
        info!(log, "VM started"; "zone" => %settings.zone, "callers" => %callers.address(),
            "backends" => %backends.address(), "admin" => %admin.address(),
            "mesh" => %mesh.local_addr());
        let log = log.clone();
        Ok(Self {
            control,
            callers,
            backends,
            admin,
            mesh,
            timer,
            log,
        })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub fn caller_addr(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the bound address for backend servers.
    #[must_use]
    pub fn backend_addr(&self) -> SocketAddr {
        self.backends.address()
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the bound UDP address for other VMs.
    #[must_use]
    pub fn mesh_addr(&self) -> SocketAddr {
        self.mesh.local_addr()
    }

    /// Asks the control thread for the VM's status; `None` if the thread has ended.
    #[must_use]
    pub fn status(&self) -> Option<VmStatus> {
        let (reply, status) = bounded(1);
        self.control.send(ControlInput::Status(reply));
        status.recv().ok()
    }

    /// Stops gracefully; waits at most `UNREADY_PERIOD` plus `DRAIN_TIMEOUT`.
    ///
    /// The VM first reports unready, so that the load balancer stops sending traffic. Then it
    /// refuses new requests, hands over leadership, leaves the membership and waits until the
    /// requests in progress have finished.
    pub fn stop(self) {
        info!(self.log, "Reporting unready before the stop");
        self.control.send(ControlInput::Unready);
        thread::sleep(UNREADY_PERIOD);
        self.control.send(ControlInput::Stop);
        let start = Instant::now();
        while start.elapsed() < DRAIN_TIMEOUT {
            let (reply, in_flight_count) = bounded(1);
            self.control.send(ControlInput::Leave(reply));
            let in_flight = in_flight_count.recv().unwrap_or_default();
            if in_flight == 0 && self.callers.in_progress() == 0 {
                break;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        if self.callers.in_progress() > 0 {
            warn!(self.log, "Stopping with requests in progress";
                "requests" => self.callers.in_progress());
        }
        self.callers.close(CLOSE_TIMEOUT);
        self.control.send(ControlInput::Quit);
        drop(self.timer);
        info!(self.log, "Stopped");
    }
}

fn bind_mesh(settings: &Settings, control: &ControlHandle, log: &Logger) -> Result<Mesh> {
    let keys = MeshKeys::open(&settings.tls)?;
    let control = control.clone();
    let handler: MessageHandler =
        Arc::new(move |from, message| control.send(ControlInput::Mesh(from, message)));
    Mesh::bind(
        &settings.vm,
        settings.listen.mesh,
        &settings.peers,
        &keys,
        log,
        handler,
    )
    .context("cannot start the mesh")
}

/// What the HTTP APIs of a VM share.
struct ApiParts<'a> {
    settings: &'a Settings,
    control: &'a ControlHandle,
    published: &'a RoutingSnapshotCell,
    memory: Arc<MemoryBudget>,
    clock: Clock,
    log: &'a Logger,
}

fn bind_callers(apis: &ApiParts<'_>) -> Result<HttpServer> {
    let settings = apis.settings;
    let log = apis.log.new(o!("part" => "entry"));
    let callers = Arc::new(CallerApi {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        control: apis.control.clone(),
        published: apis.published.clone(),
        clock: apis.clock,
        limits: settings.limits,
        memory: Arc::clone(&apis.memory),
        estimator: Mutex::new(Estimator::default()),
        budgets: Mutex::new(HashMap::new()),
        log: log.clone(),
    });
    let limits = &settings.limits;
    HttpServer::bind(
        settings.listen.callers,
        limits.idle_timeout,
        limits.max_requests,
        &log,
        Arc::new(move |request| callers.handle(request)),
    )
}

fn bind_backends(apis: &ApiParts<'_>) -> Result<HttpServer> {
    let settings = apis.settings;
    let log = apis.log.new(o!("part" => "backends"));
    let token = Arc::from(settings.tokens.backends.as_str());
    let backends = Arc::new(BackendApi {
        control: apis.control.clone(),
        token,
        memory: Arc::clone(&apis.memory),
    });
    HttpServer::bind(
        settings.listen.backends,
        settings.limits.idle_timeout,
        MAX_ADMIN_REQUESTS,
        &log,
        Arc::new(move |request| backends.handle(request)),
    )
}

fn bind_admin(apis: &ApiParts<'_>) -> Result<HttpServer> {
    let settings = apis.settings;
    let log = apis.log.new(o!("part" => "admin"));
    let admin = Arc::new(Admin {
        control: apis.control.clone(),
        published: apis.published.clone(),
        clock: apis.clock,
        token: Arc::from(settings.tokens.admin.as_str()),
        memory: Arc::clone(&apis.memory),
        log: log.clone(),
    });
    HttpServer::bind(
        settings.listen.admin,
        settings.limits.idle_timeout,
        MAX_ADMIN_REQUESTS,
        &log,
        Arc::new(move |request| admin.handle(request)),
    )
}
