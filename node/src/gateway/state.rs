//! What the tasks of an entry VM share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use merlinrudder_core::deployment::Deployment;
use merlinrudder_core::fleet::Fleet;
use merlinrudder_core::manifest_pull::ManifestPull;
use merlinrudder_core::names::{ServiceName, VmId, ZoneName};
use merlinrudder_core::retry::{RetryLimits, RetryWindow};
use merlinrudder_core::time::Moment;
use slog::{Logger, o};
use tokio::sync::watch;

use super::GatewayConfig;
use super::sharing::Outbox;
use super::upstream::Pool;
use crate::clock::Clock;
use crate::links::Links;

/// State of an entry VM.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) vm: VmId,
    pub(super) zone: ZoneName,
    pub(super) clock: Clock,
    pub(super) links: Links,
    /// The deployment in force; its number never falls. `None` until one is known.
    pub(super) deployment: RefCell<Option<Arc<Deployment>>>,
    /// Whom to ask for a newer deployment.
    pub(super) pull: RefCell<ManifestPull>,
    pub(super) fleet: RefCell<Fleet>,
    pub(super) pool: Pool,
    pub(super) outbox: RefCell<Outbox>,
    retries: RefCell<BTreeMap<ServiceName, RetryWindow>>,
    limits: RetryLimits,
    /// Whether a control VM in touch with its leader has told the newest manifest.
    pub(super) current: Cell<bool>,
    pub(super) stopping: Cell<bool>,
    /// Connections of callers that are open.
    pub(super) connections: Cell<usize>,
    closing: watch::Sender<bool>,
    pub(super) log: Logger,
}

impl Gateway {
    pub(super) fn new(start: &GatewayConfig, links: Links, log: &Logger) -> Self {
        let vm = start.local_peer.vm_id();
        let zone = ZoneName::from(start.local_peer.zone.as_str());
        Self {
            vm,
            zone: zone.clone(),
            clock: Clock::start(),
            links,
            deployment: RefCell::new(None),
            pull: RefCell::default(),
            fleet: RefCell::new(Fleet::new(zone)),
            pool: Pool::default(),
            outbox: RefCell::default(),
            retries: RefCell::default(),
            limits: start.retry_limits,
            current: Cell::new(false),
            stopping: Cell::new(false),
            connections: Cell::new(0),
            closing: watch::Sender::new(false),
            log: log.new(o!("part" => "gateway")),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the deployment in force.
    pub(super) fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.borrow().clone()
    }

    /// Whether callers should be sent here.
    pub(super) fn is_ready(&self) -> bool {
        let deployment = self.deployment();
        let known = |deployment: &Arc<Deployment>| self.fleet.borrow().knows_servers(deployment);
        !self.stopping.get() && self.current.get() && deployment.as_ref().is_some_and(known)
    }

    /// Counts a request to a service.
    pub(super) fn count_request(&self, service: &ServiceName) {
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.request(self.now(), &self.limits);
    }

    /// Takes a retry out of the service's budget, where it has one left.
    pub(super) fn spend_retry(&self, service: &ServiceName) -> bool {
        let entries = self
            .links
            .peers()
            .iter()
            .filter(|peer| !peer.control)
            .count()
            + 1;
        let mut retries = self.retries.borrow_mut();
        let window = retries.entry(service.clone()).or_default();
        window.spend(self.now(), &self.limits, entries)
    }

    /// Asks all connections to end once they are idle.
    pub(super) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns what tells when connections should end.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }
}

/// Counts a connection for as long as it lives.
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
