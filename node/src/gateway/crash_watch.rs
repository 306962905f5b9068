//! Detects requests that crash backend servers, and keeps them away from further ones.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::crash_detector::{BrokenRun, CrashDetector, SETTLE_TIME};
use merlinrudder_core::crash_history::CrashReport;
use merlinrudder_core::directory::{Incarnation, ServerStage};
use merlinrudder_core::history_pull::HistoryPull;
use merlinrudder_core::names::VmId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::crashes::WireCrashReport;
use merlinrudder_wire::peers::WirePeer;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::reach;
use super::request::{CallerRequest, RequestContent};
use super::server_probe::{self, PROBE_DELAYS, Probe};
use super::state::Gateway;
use crate::crash_exchange::CrashExchange;

/// Other servers that are tried before a refused connection counts as a crash.
const MAX_CONTROL_PROBES: usize = 4;
/// Margin by which a report waits longer than the settle time, as times are whole milliseconds.
const SETTLE_MARGIN: Duration = Duration::from_millis(5);
/// Interval at which the links to control VMs are looked at.
const CONTROL_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which old entries of the crash history are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);

/// Runs at backend servers, the evidence of their crashes, and the history of all VMs.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// Crash history and completions of this VM.
    pub(super) exchange: CrashExchange,
    detector: CrashDetector,
    /// Runs in progress by number.
    running: BTreeMap<u64, RunInProgress>,
    last_run: u64,
    /// Contents and parts on trial, each with the time until which its result is awaited.
    pub(super) trials: BTreeMap<ContentDigest, Moment>,
    /// Whom to ask for the history while no control VM is linked.
    history_pull: HistoryPull,
    /// Lifetimes of servers that are being probed.
    probing: BTreeSet<Incarnation>,
}

#[derive(Debug)]
struct RunInProgress {
    incarnation: Incarnation,
    content: Rc<RequestContent>,
    started: Moment,
}

/// A run in progress at a server; dropping it ends the run.
#[derive(Debug)]
pub(super) struct RunGuard {
    gateway: Rc<Gateway>,
    number: u64,
}

impl RunGuard {
    /// Registers a request that is about to be sent to a server.
    pub(super) fn new(
        gateway: &Rc<Gateway>,
        call: &CallerRequest,
        incarnation: Incarnation,
    ) -> Self {
        let mut watch = gateway.crashes.borrow_mut();
        watch.last_run += 1;
        let number = watch.last_run;
        let run = RunInProgress {
            incarnation,
            content: Rc::clone(&call.content),
            started: gateway.now(),
        };
        watch.running.insert(number, run);
        Self {
            gateway: Rc::clone(gateway),
            number,
        }
    }

    /// Ends a run that broke off, and looks for evidence that its server crashed.
    pub(super) fn broke(self) {
        let gateway = &self.gateway;
        let mut watch = gateway.crashes.borrow_mut();
        let Some(run) = watch.running.remove(&self.number) else {
            return;
        };
        let mut missing = false;
        for broken in run.broken(gateway.now()) {
            missing = watch.detector.record_broken(broken);
        }
        let incarnation = run.incarnation;
        if !missing {
            spawn_local(report_later(Rc::clone(gateway)));
        } else if watch.probing.insert(incarnation.clone()) {
            spawn_local(probe(Rc::clone(gateway), incarnation));
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut watch = self.gateway.crashes.borrow_mut();
        watch.running.remove(&self.number);
    }
}

impl CrashWatch {
    /// Whether a VM tries a content or part again, and its result is not known yet.
    pub(super) fn is_on_trial(&self, now: Moment, suspect: &ContentDigest) -> bool {
        self.trials.get(suspect).is_some_and(|end| now < *end)
    }

    /// Ends the trials of contents and parts of which a crash, or that they are cleared, is known now.
    fn end_trials(&mut self, reports: &[CrashReport]) {
        for report in reports {
            self.trials.remove(&report.content);
        }
    }
}

impl RunInProgress {
    /// Returns a broken run of the request's content and of each part of its prompt.
    fn broken(&self, now: Moment) -> Vec<BrokenRun> {
        let broken = |content| BrokenRun {
            content,
            incarnation: self.incarnation.clone(),
            started: self.started,
            ended: now,
        };
        self.content.suspects().map(broken).collect()
    }
}

/// Clears the content and the parts of a request that a server ran to its end.
pub(super) fn record_completed(gateway: &Gateway, call: &CallerRequest) {
    let now = gateway.now();
    let mut watch = gateway.crashes.borrow_mut();
    let exchange = &mut watch.exchange;
    let suspects = call.content.suspects();
    let cleared: Vec<_> = suspects
        .flat_map(|suspect| exchange.record_completed(now, suspect))
        .collect();
    share(gateway, exchange, &cleared);
}

/// Records that a server answered a request.
pub(super) fn record_alive(gateway: &Gateway, incarnation: &Incarnation) {
    let now = gateway.now();
    let mut watch = gateway.crashes.borrow_mut();
    watch.detector.record_alive(now, incarnation);
}

/// Records that a lifetime of a server ended without a planned stop.
///
/// Requests that still wait for it have ended with it.
pub(super) fn record_crash(gateway: &Rc<Gateway>, incarnation: &Incarnation) {
    let now = gateway.now();
    let mut watch = gateway.crashes.borrow_mut();
    let ended = watch
        .running
        .extract_if(.., |_, run| run.incarnation == *incarnation);
    let ended: Vec<_> = ended.flat_map(|(_, run)| run.broken(now)).collect();
    let is_new = watch.detector.record_crash(now, incarnation.clone());
    for run in ended {
        watch.detector.record_broken(run);
    }
    drop(watch);
    if is_new {
        info!(gateway.log, "Backend server crashed"; "server" => %incarnation.server,
            "born" => incarnation.born);
    }
    spawn_local(report_later(Rc::clone(gateway)));
}

/// Asks a control VM for its history; tells an entry VM that this one understands reports.
pub(super) fn link_up(gateway: &Gateway, peer: &WirePeer) {
    if peer.control {
        let mut watch = gateway.crashes.borrow_mut();
        watch.history_pull.control_linked();
        watch.exchange.pull(&gateway.links, &peer.vm_id());
    } else {
        CrashExchange::introduce(&gateway.links, &peer.vm_id());
    }
}

/// Asks entry VMs for the history while no control VM is linked, until the process exits.
pub(super) async fn pull_without_control(gateway: Rc<Gateway>) {
    loop {
        sleep(CONTROL_CHECK_INTERVAL).await;
        let peers = gateway.links.peers();
        let mut watch = gateway.crashes.borrow_mut();
        if peers.iter().any(|peer| peer.control) {
            watch.history_pull.control_linked();
            continue;
        }
        let entry_vms = peers.iter().map(WirePeer::vm_id);
        for vm in watch.history_pull.due(gateway.now(), entry_vms) {
            info!(gateway.log, "Crash history requested from an entry VM"; "from" => %vm);
            watch.exchange.pull(&gateway.links, &vm);
        }
    }
}

/// Merges the reports of another VM.
pub(super) fn receive(gateway: &Gateway, from: &VmId, reports: Vec<WireCrashReport>) {
    let mut watch = gateway.crashes.borrow_mut();
    let exchange = &mut watch.exchange;
    let added = exchange.receive(gateway.now(), from, reports, &gateway.log);
    let cleared = exchange.refute(&added);
    share(gateway, exchange, &cleared);
    watch.end_trials(&added);
}

/// Removes old entries of the crash history until the process exits.
pub(super) async fn expire(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let mut watch = gateway.crashes.borrow_mut();
        let now = gateway.now();
        watch.exchange.history.expire(now);
        watch.trials.retain(|_, end| now < *end);
    }
}

/// Records a crash of a server that broke a request off, if it refuses connections.
async fn probe(gateway: Rc<Gateway>, incarnation: Incarnation) {
    let refused =
        is_refusing(&gateway, &incarnation).await && reaches_others(&gateway, &incarnation).await;
    gateway.crashes.borrow_mut().probing.remove(&incarnation);
    if refused {
        record_crash(&gateway, &incarnation);
    }
}

/// Whether a server refuses connections without having announced a stop.
async fn is_refusing(gateway: &Gateway, incarnation: &Incarnation) -> bool {
    for delay in PROBE_DELAYS {
        sleep(delay).await;
        let Some(address) = ready_address(gateway, incarnation) else {
            return false;
        };
        let refused = server_probe::probe(gateway, address).await == Probe::Refused;
        // The server may have announced its stop meanwhile.
        if refused && ready_address(gateway, incarnation).is_some() {
            return true;
        }
    }
    false
}

/// Whether this VM reaches another server of the same service, so that it is not cut off itself.
///
/// True as well if there is no other one.
async fn reaches_others(gateway: &Gateway, incarnation: &Incarnation) -> bool {
    let others = reach::other_servers(gateway, &incarnation.server);
    if others.is_empty() {
        return true;
    }
    for server in others.into_iter().take(MAX_CONTROL_PROBES) {
        if reach::is_reached(gateway, &server).await {
            return true;
        }
    }
    false
}

/// Returns the address of a server if this lifetime is the current one and has not said goodbye.
fn ready_address(gateway: &Gateway, incarnation: &Incarnation) -> Option<SocketAddr> {
    let fleet = gateway.fleet.borrow();
    let record = fleet.directory.get(&incarnation.server)?;
    let is_ready = record.born == incarnation.born && record.stage == ServerStage::Ready;
    is_ready.then_some(record.address)
}

/// Reports the runs that ended with crashed servers, once all runs there have broken off.
async fn report_later(gateway: Rc<Gateway>) {
    sleep(SETTLE_TIME + SETTLE_MARGIN).await;
    let now = gateway.now();
    let servers = gateway.fleet.borrow().directory.records().count();
    let mut watch = gateway.crashes.borrow_mut();
    let mut reports = watch.detector.take_reports(now, servers);
    let exchange = &mut watch.exchange;
    // Most parts are shared by many requests; those that completed here need no report.
    reports.retain(|report| !report.content.is_prompt_part() || !exchange.is_refuted(report));
    let mut added = exchange.merge(now, reports, &gateway.log);
    added.extend(exchange.refute(&added));
    share(&gateway, exchange, &added);
    watch.end_trials(&added);
}

/// Sends reports to all other VMs.
fn share(gateway: &Gateway, exchange: &CrashExchange, reports: &[CrashReport]) {
    let peers = gateway.links.peers();
    let vms = peers.iter().map(WirePeer::vm_id);
    exchange.share(gateway.now(), &gateway.links, vms, reports);
}
