//! State shared by the tasks of an entry VM.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use merlinrudder_core::capacity::CapacityTable;
use merlinrudder_core::census::Census;
use merlinrudder_core::cold::ColdTable;
use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::names::{ServiceName, VmId, ZoneName};
use merlinrudder_core::pair_start::PairStart;
use merlinrudder_core::rate_limit::RateLimits;
use merlinrudder_core::reach::ReachTable;
use merlinrudder_core::relays::RelayTable;
use merlinrudder_core::retry::{RetryLimits, RetryWindow};
use merlinrudder_core::time::Moment;
use slog::{Logger, debug, o};
use tokio::sync::watch;

use super::GatewayConfig;
use super::buffer_budget::BufferBudget;
use super::capacity::CapacityWatch;
use super::crash_watch::CrashWatch;
use super::head_budget::HEAD_MEMORY_BYTES;
use super::manifest_state::ManifestState;
use super::open_requests::OpenRequests;
use super::placement_sync::Outbox;
use super::request_body::BODY_MEMORY_BYTES;
use super::upstream::ConnectionPool;
use super::waiting::WaitQueues;
use crate::clock::Clock;
use crate::links::Links;
use crate::memory_budget::MemoryBudget;
use crate::metrics;

/// Stages of a planned stop, in their order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum StopStage {
    /// No stop was requested.
    Running,
    /// Readiness probes fail; requests are still accepted.
    Unready,
    /// New requests and those that wait for a server are refused; connections close after theirs.
    Draining,
    /// Requests without an answer are refused or cut, as the process exits.
    Exiting,
}

/// State of an entry VM, shared by its tasks on one thread.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) vm: VmId,
    pub(super) zone: ZoneName,
    pub(super) clock: Clock,
    pub(super) links: Links,
    /// Deployment that the manifest in force describes; `None` until one is known.
    ///
    /// Its number never decreases.
    pub(super) deployment: RefCell<Option<Arc<Deployment>>>,
    /// How newer manifests come into force.
    pub(super) manifests: ManifestState,
    /// Known backend servers with their load and health.
    pub(super) fleet: RefCell<Fleet>,
    /// Admitted requests whose outcome is not known yet.
    pub(super) open_requests: OpenRequests,
    /// Services that this VM may be cut off from.
    pub(super) reach: RefCell<ReachTable>,
    /// Other VMs that make attempts for this one.
    pub(super) relays: RefCell<RelayTable>,
    /// Token that other VMs repeat with their requests.
    pub(super) relay_token: u128,
    /// Idle connections to backend servers and other VMs.
    pub(super) pool: ConnectionPool,
    /// Memory for unfinished heads of callers' requests.
    pub(super) head_memory: Arc<MemoryBudget>,
    /// Memory for the bodies of callers' requests.
    pub(super) body_memory: Arc<MemoryBudget>,
    /// Memory for responses until their callers have read them.
    pub(super) buffer_budget: Rc<BufferBudget>,
    /// Placements made here, and changes not yet sent to the other entry VMs.
    pub(super) outbox: RefCell<Outbox>,
    /// Requests whose answers show the capacity of their servers.
    pub(super) capacity: CapacityWatch,
    /// Lifetimes of servers that said in answers to this VM that they leave.
    pub(super) leaving: RefCell<BTreeSet<Incarnation>>,
    /// Requests that wait for permits or turns, and callers that were refused for lack of them.
    pub(super) wait_queues: RefCell<WaitQueues>,
    /// Crashes of backend servers, and the requests that caused them.
    pub(super) crashes: RefCell<CrashWatch>,
    /// Entry VMs that share the retry budgets.
    pub(super) entry_vms: RefCell<Census>,
    /// Entry VMs that are dialled once callers can be served.
    pub(super) pair_start: RefCell<PairStart>,
    /// Requests and retries of each service at this VM, for the retry budget.
    retry_windows: RefCell<BTreeMap<ServiceName, RetryWindow>>,
    retry_limits: RetryLimits,
    /// Number of open caller connections.
    pub(super) connections: Cell<usize>,
    /// When requests without an answer are cut by a planned stop; `None` if none was requested.
    pub(super) exit_at: Cell<Option<Moment>>,
    /// How far a planned stop has come; never goes back.
    stop_stage: watch::Sender<StopStage>,
    pub(super) log: Logger,
}

impl Gateway {
    pub(super) fn new(
        config: &GatewayConfig,
        relay_token: u128,
        links: Links,
        log: &Logger,
    ) -> Self {
        let vm = config.local_peer.vm_id();
        let zone = ZoneName::from(config.local_peer.zone.as_str());
        let clock = Clock::start();
        let rates = RateLimits::new(clock.now(), vm.clone(), fastrand::u64(..));
        let mut fleet = Fleet::new(zone.clone(), rates);
        fleet.cold = ColdTable::new(vm.clone(), config.cold_bounds);
        fleet.sees_placements = false;
        fleet.capacities = config
            .learn_capacity
            .then(|| CapacityTable::new(vm.clone()));
        Self {
            outbox: RefCell::new(Outbox::new(zone.clone())),
            zone,
            links,
            deployment: RefCell::new(None),
            manifests: ManifestState::new(vm.clone(), clock.now()),
            clock,
            vm,
            fleet: RefCell::new(fleet),
            open_requests: OpenRequests::default(),
            reach: RefCell::default(),
            relays: RefCell::default(),
            relay_token,
            pool: ConnectionPool::new(config.local_peer.address.ip()),
            head_memory: Arc::new(MemoryBudget::new(HEAD_MEMORY_BYTES)),
            body_memory: Arc::new(MemoryBudget::new(BODY_MEMORY_BYTES)),
            buffer_budget: Rc::default(),
            leaving: RefCell::default(),
            capacity: CapacityWatch::default(),
            wait_queues: RefCell::default(),
            crashes: RefCell::default(),
            entry_vms: RefCell::default(),
            pair_start: RefCell::default(),
            retry_windows: RefCell::default(),
            retry_limits: config.retry_limits,
            connections: Cell::new(0),
            exit_at: Cell::new(None),
            stop_stage: watch::Sender::new(StopStage::Running),
            log: log.new(o!("part" => "gateway")),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the deployment in force, or `None` if none is known yet.
    pub(super) fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.borrow().clone()
    }

    /// Returns the number of the manifest in force; 0 if there is none.
    pub(super) fn manifest_number(&self) -> ManifestNumber {
        let deployment = self.deployment.borrow();
        let deployment = deployment.as_ref();
        deployment.map_or(ManifestNumber(0), |deployment| deployment.number)
    }

    /// Whether the manifest in force was confirmed, lately again, and no newer one is known.
    pub(super) fn has_newest_manifest(&self) -> bool {
        let pull = self.manifests.pull.borrow();
        let contact = self.manifests.contact.borrow();
        self.manifests.confirmed.get()
            && contact.is_recent(self.now())
            && !pull.is_behind(self.manifest_number())
    }

    /// Whether the load balancer should send callers to this VM.
    ///
    /// Requires a confirmed manifest, a known server of at least one of its services, and that no
    /// stop is in progress.
    pub(super) fn is_ready(&self) -> bool {
        let deployment = self.deployment();
        let has_servers =
            |deployment: &Arc<Deployment>| self.fleet.borrow().has_ready_server(deployment);
        !self.has_reached(StopStage::Unready)
            && self.manifests.confirmed.get()
            && deployment.as_ref().is_some_and(has_servers)
    }

    /// Counts a request to a service, which adds to its retry budget.
    pub(super) fn count_request(&self, service: &ServiceName) {
        let mut windows = self.retry_windows.borrow_mut();
        let window = self.retry_window(&mut windows, service);
        window.record_request(self.now(), &self.retry_limits);
    }

    /// Spends a retry from this VM's share of the service's budget.
    ///
    /// Returns false if none is left.
    pub(super) fn spend_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let entry_vms = self.entry_vms.borrow_mut().sharers(now);
        let mut windows = self.retry_windows.borrow_mut();
        let window = self.retry_window(&mut windows, service);
        let granted = window.try_spend(now, &self.retry_limits, entry_vms);
        let (requests, retries) = window.counts(now, &self.retry_limits);
        metrics::set_retry_gauges(service.as_str(), requests, retries);
        debug!(self.log, "Retry requested"; "service" => %service, "granted" => granted,
            "requests" => requests, "retries" => retries, "entry_vms" => entry_vms);
        granted
    }

    /// Whether a retry is left in this VM's share of the service's budget.
    pub(super) fn has_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let entry_vms = self.entry_vms.borrow_mut().sharers(now);
        let mut windows = self.retry_windows.borrow_mut();
        let window = self.retry_window(&mut windows, service);
        window.can_spend(now, &self.retry_limits, entry_vms)
    }

    /// Returns the retry window of a service, which begins empty with this process.
    fn retry_window<'a>(
        &self,
        windows: &'a mut BTreeMap<ServiceName, RetryWindow>,
        service: &ServiceName,
    ) -> &'a mut RetryWindow {
        let window = windows.entry(service.clone());
        window.or_insert_with(|| RetryWindow::new(self.clock.start_time()))
    }

    /// Begins a stage of the planned stop.
    pub(super) fn enter_stage(&self, stage: StopStage) {
        self.stop_stage.send_replace(stage);
    }

    /// Whether a stage of a planned stop has begun.
    pub(super) fn has_reached(&self, stage: StopStage) -> bool {
        *self.stop_stage.borrow() >= stage
    }

    /// Waits until a stage of a planned stop begins.
    pub(super) async fn stage_reached(&self, stage: StopStage) {
        let mut stages = self.stop_stage.subscribe();
        // The sender lives as long as this gateway, so waiting does not fail.
        drop(stages.wait_for(|current| *current >= stage).await);
    }
}

/// Counts a caller connection as open until this is dropped.
#[derive(Debug)]
pub(super) struct ConnectionGuard(Rc<Gateway>);

impl ConnectionGuard {
    pub(super) fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.connections.set(gateway.connections.get() + 1);
        Self(Rc::clone(gateway))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
