//! Counts of the attempts at one request, which limit further ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use merlinrudder_core::names::ServerId;
use tokio::sync::Notify;

use super::failure::Failure;
use super::request::CallerRequest;
use super::target::{Excluded, Target};

/// Hedges that servers refused, after which no more are sent for the request.
const MAX_REFUSED_HEDGES: u32 = 5;

/// Lost connections after which an attempt goes by way of another VM.
const MAX_LOST_CONNECTIONS: u32 = 2;

/// Attempts made for one request so far, and those in progress.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Servers and VMs that failed an attempt and are not selected again.
    pub(super) excluded: RefCell<Excluded>,
    /// Whether the request is the trial of a content that crashed servers.
    pub(super) on_trial: Cell<bool>,
    /// Whether prompts of its length were placed far less often than others when it came.
    pub(super) is_underserved: Cell<bool>,
    /// Attempts whose connection to a server could not be opened, or was lost.
    lost_connections: Cell<u32>,
    /// Attempts that ended or were dropped and may have run the request; limited by the route.
    may_have_run: Cell<u32>,
    /// Attempts whose response is awaited or forwarded.
    in_progress: Cell<u32>,
    /// Hedges that did not run the request.
    refused_hedges: Cell<u32>,
    /// Notified when an attempt ends.
    ended: Notify,
}

impl Tally {
    /// Returns the number of attempts that ended and may have run the request.
    pub(super) fn may_have_run(&self) -> u32 {
        self.may_have_run.get()
    }

    /// Whether one more attempt may be made beside those in progress, by the limits of the route.
    pub(super) fn allows_hedge(&self, call: &CallerRequest) -> bool {
        call.route.kind.is_idempotent()
            && self.may_have_run.get() + self.in_progress.get() < call.route.max_attempts
            && self.refused_hedges.get() < MAX_REFUSED_HEDGES
    }

    /// Counts a hedge that did not run the request.
    pub(super) fn count_refused_hedge(&self) {
        self.refused_hedges.set(self.refused_hedges.get() + 1);
    }

    /// Excludes a target from all further attempts.
    pub(super) fn exclude(&self, target: &Target) {
        self.excluded.borrow_mut().push(target);
    }

    /// Excludes a server from all further attempts, as the target and as a helper.
    pub(super) fn exclude_server(&self, server: &ServerId) {
        self.excluded.borrow_mut().servers.push(server.clone());
    }

    /// Excludes a target whose attempt failed.
    pub(super) fn exclude_failed(&self, target: &Target, failure: Failure) {
        self.excluded.borrow_mut().push_failed(target, failure);
    }

    /// Counts an attempt whose connection to a server failed.
    pub(super) fn count_lost_connection(&self) {
        self.lost_connections.set(self.lost_connections.get() + 1);
    }

    /// Whether the next attempt goes by way of another VM, whoever is at fault.
    pub(super) fn prefers_relay(&self) -> bool {
        self.lost_connections.get() >= MAX_LOST_CONNECTIONS
    }

    /// Whether an attempt has failed, so that the next one must not be lost to a bad connection.
    pub(super) fn has_failed(&self) -> bool {
        self.lost_connections.get() > 0 || self.may_have_run.get() > 0
    }

    /// Waits until at most `count` attempts are in progress.
    pub(super) async fn reduced_to(&self, count: u32) {
        while self.in_progress.get() > count {
            self.ended.notified().await;
        }
    }
}

/// One attempt in progress; dropping it ends the attempt and counts it if it may have run.
#[derive(Debug)]
pub(super) struct InProgress {
    tally: Rc<Tally>,
    /// Whether the request may have reached a server that may run it.
    pub(super) may_run: Cell<bool>,
}

impl InProgress {
    pub(super) fn new(tally: &Rc<Tally>) -> Self {
        tally.in_progress.set(tally.in_progress.get() + 1);
        Self {
            tally: Rc::clone(tally),
            may_run: Cell::new(false),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let tally = &self.tally;
        tally.in_progress.set(tally.in_progress.get() - 1);
        if self.may_run.get() {
            tally.may_have_run.set(tally.may_have_run.get() + 1);
        }
        tally.ended.notify_waiters();
    }
}
