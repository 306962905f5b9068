//! A running VM: all threads of one process, started and stopped in order.

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
use crate::constants::{BALANCER_TIME, DRAIN_TIMEOUT};
use crate::control::input::{Canceller, ControlInput, VmStatus};
use crate::control::{self, Control, ControlStart};
use crate::http_api::HttpServer;
use crate::http_api::backend_api::BackendApi;
use crate::http_api::caller_api::CallerApi;
use crate::mesh::tls::MeshKeys;
use crate::mesh::{Deliver, Mesh};
use crate::metrics;
use crate::options::settings::Settings;
use crate::published::PublishedCell;
use crate::replica::disk::OpenedDisk;
use crate::timer::Timer;

/// Requests of operators and of backend servers that run at once.
const SIDE_REQUESTS: usize = 64;
/// Time between two looks at what is still in progress while stopping.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Handle of a running VM.
#[derive(Debug)]
pub struct RunningVm {
    control: Control,
    callers: HttpServer,
    backends: HttpServer,
    admin: HttpServer,
    mesh: Mesh,
    timer: Timer,
    log: Logger,
}

impl RunningVm {
    /// Opens the data folder, binds all ports and starts all threads.
    ///
    /// # Errors
    /// Fails where the folder, a key file or a port cannot be used.
    pub fn spawn(settings: &Settings, log: &Logger) -> Result<Self> {
        metrics::install();
        let clock = Clock::start();
        let timer = Timer::spawn();
        let published = PublishedCell::default();
        let disk = match &settings.data_folder {
            Some(folder) => Some(OpenedDisk::open(folder)?),
            None => None,
        };
        let (control, inputs) = control::channel();
        let mesh = bind_mesh(settings, &control, log)?;
        let start = ControlStart {
            own: settings.own(),
            peers: settings
                .peers
                .iter()
                .map(|peer| peer.listed.clone())
                .collect(),
            clock,
            mesh: mesh.clone(),
            published: published.clone(),
            canceller: Canceller::new(Arc::new(|request, servers| {
                cancel_in_background(servers, request, AttemptId(u32::MAX));
            })),
            disk,
            log: log.clone(),
        };
        control::spawn(start, &control, inputs, &timer)?;
        reconcile::spawn(control.clone(), &timer, log)?;
        let callers = bind_callers(settings, &control, &published, clock, &timer, log)?;
        let backends = bind_backends(settings, &control, &timer, log)?;
        let admin = bind_admin(settings, &control, &published, clock, &timer, log)?;
        info!(log, "Running"; "zone" => %settings.zone, "callers" => %callers.address(),
            "backends" => %backends.address(), "admin" => %admin.address(),
            "mesh" => %mesh.local());
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

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for backend servers.
    #[must_use]
    pub fn backends(&self) -> SocketAddr {
        self.backends.address()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the address for other VMs.
    #[must_use]
    pub fn mesh(&self) -> SocketAddr {
        self.mesh.local()
    }

    /// Asks the control thread how the VM is.
    #[must_use]
    pub fn status(&self) -> Option<VmStatus> {
        let (reply, status) = bounded(1);
        self.control.send(ControlInput::Status(reply));
        status.recv().ok()
    }

    /// Stops in order: unready, balancer leaves, roles handed over, requests end.
    pub fn stop(self) {
        info!(self.log, "Becoming unready");
        self.control.send(ControlInput::Unready);
        thread::sleep(BALANCER_TIME);
        self.control.send(ControlInput::Stop);
        let start = Instant::now();
        while start.elapsed() < DRAIN_TIMEOUT {
            let (reply, left) = bounded(1);
            self.control.send(ControlInput::Leave(reply));
            let held = left.recv().unwrap_or_default();
            if held == 0 && self.callers.in_progress() == 0 {
                break;
            }
            thread::sleep(DRAIN_LOOK);
        }
        if self.callers.in_progress() > 0 {
            warn!(self.log, "Stopping with requests in progress";
                "requests" => self.callers.in_progress());
        }
        self.control.send(ControlInput::Quit);
        drop(self.timer);
        info!(self.log, "Stopped");
    }
}

fn bind_mesh(settings: &Settings, control: &Control, log: &Logger) -> Result<Mesh> {
    let keys = MeshKeys::open(&settings.tls)?;
    let control = control.clone();
    let deliver: Deliver =
        Arc::new(move |from, message| control.send(ControlInput::Mesh(from, message)));
    Mesh::bind(
        &settings.vm,
        settings.listen.mesh,
        &settings.peers,
        &keys,
        log,
        deliver,
    )
    .context("the mesh cannot start")
}

fn bind_callers(
    settings: &Settings,
    control: &Control,
    published: &PublishedCell,
    clock: Clock,
    timer: &Timer,
    log: &Logger,
) -> Result<HttpServer> {
    let log = log.new(o!("part" => "entry"));
    let callers = Arc::new(CallerApi {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        control: control.clone(),
        published: published.clone(),
        clock,
        limits: settings.limits,
        estimator: Mutex::new(Estimator::default()),
        budgets: Mutex::new(HashMap::new()),
        log: log.clone(),
    });
    let limits = &settings.limits;
    HttpServer::bind(
        settings.listen.callers,
        limits.idle,
        limits.requests,
        timer,
        &log,
        Arc::new(move |request| callers.handle(request)),
    )
}

fn bind_backends(
    settings: &Settings,
    control: &Control,
    timer: &Timer,
    log: &Logger,
) -> Result<HttpServer> {
    let log = log.new(o!("part" => "backends"));
    let token = Arc::from(settings.tokens.backends.as_str());
    let backends = Arc::new(BackendApi {
        control: control.clone(),
        token,
    });
    HttpServer::bind(
        settings.listen.backends,
        settings.limits.idle,
        SIDE_REQUESTS,
        timer,
        &log,
        Arc::new(move |request| backends.handle(request)),
    )
}

fn bind_admin(
    settings: &Settings,
    control: &Control,
    published: &PublishedCell,
    clock: Clock,
    timer: &Timer,
    log: &Logger,
) -> Result<HttpServer> {
    let log = log.new(o!("part" => "admin"));
    let admin = Arc::new(Admin {
        control: control.clone(),
        published: published.clone(),
        clock,
        token: Arc::from(settings.tokens.admin.as_str()),
        log: log.clone(),
    });
    HttpServer::bind(
        settings.listen.admin,
        settings.limits.idle,
        SIDE_REQUESTS,
        timer,
        &log,
        Arc::new(move |request| admin.handle(request)),
    )
}
