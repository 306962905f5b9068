//! Whether a request may wait at the dispatcher at all.

use std::time::Duration;

use super::message::Ask;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::estimate::{EngineSpeed, WorkEstimate};
use crate::manifest::{Manifest, Policy, ServiceKind, ServiceRule};
use crate::names::{CustomerName, ServiceName};
use crate::outcome::{Refusal, RefusalReason};
use crate::suspects::Suspicion;
use crate::time::Moment;
use crate::units::Tokens;

/// Longest wait that a refused caller is told.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// How long after its start a dispatcher waits for a first backend server to announce itself.
const NO_SERVER_PATIENCE: Duration = Duration::from_millis(1500);

impl Dispatcher {
    /// Checks whether a request may wait here; returns whether it is long.
    pub(super) fn check(&self, now: Moment, ask: &Ask) -> Result<bool, Refusal> {
        let manifest = self.manifest.as_ref().ok_or(Refusal::not_run(
            RefusalReason::NoManifest,
            Some(MIN_RETRY_AFTER),
        ))?;
        let rule = manifest
            .services
            .get(&ask.service)
            .ok_or(Refusal::not_run(RefusalReason::UnknownService, None))?;
        if self.suspects.suspicion(&ask.digest) == Suspicion::Quarantined {
            return Err(Refusal::not_run(RefusalReason::Quarantined, None));
        }
        if self.is_unserved(now, &ask.service) {
            return Err(Refusal::not_run(
                RefusalReason::NoServer,
                Some(MIN_RETRY_AFTER),
            ));
        }
        self.check_customer(manifest, ask)?;
        self.check_queue(rule, ask)?;
        Ok(is_long(rule, &ask.work, &manifest.policy))
    }

    /// Whether no backend server is known of a service, though there was time to announce.
    pub(super) fn is_unserved(&self, now: Moment, service: &ServiceName) -> bool {
        let settled = now.since(self.opened) >= NO_SERVER_PATIENCE;
        settled && self.registry.of_service(service).next().is_none()
    }

    fn check_customer(&self, manifest: &Manifest, ask: &Ask) -> Result<(), Refusal> {
        let limit = manifest
            .customers
            .get(&ask.customer)
            .map_or(0, |rule| rule.max_running);
        let waiting = self.queues.get(&ask.service).map_or(0, |queue| {
            queue
                .pending
                .values()
                .filter(|pending| pending.ask.customer == ask.customer)
                .count()
        });
        let running = self.ledger.of_customer(&ask.service, &ask.customer);
        if waiting + running < limit as usize {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalReason::CustomerLimit,
            Some(MIN_RETRY_AFTER),
        ))
    }

    fn check_queue(&self, rule: &ServiceRule, ask: &Ask) -> Result<(), Refusal> {
        let wait = self.predicted_wait(&ask.service);
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        let waiting = self
            .queues
            .get(&ask.service)
            .map_or(0, |queue| queue.pending.len());
        if waiting >= rule.queue_limit {
            return Err(Refusal::not_run(RefusalReason::QueueFull, retry_after));
        }
        let engine_time = match rule.kind {
            ServiceKind::Model => ask.work.engine_time(Tokens(0), self.speed(&ask.service)),
            ServiceKind::Plain => Duration::ZERO,
        };
        if wait + engine_time > ask.time_left {
            return Err(Refusal::not_run(
                RefusalReason::DeadlineUnmeetable,
                retry_after,
            ));
        }
        Ok(())
    }

    /// Predicts how long a new request waits, from the queued work and the servers' slots.
    fn predicted_wait(&self, service: &ServiceName) -> Duration {
        let Some(queue) = self.queues.get(service) else {
            return Duration::ZERO;
        };
        let slots: u32 = self
            .registry
            .of_service(service)
            .map(|server| server.announced.slots)
            .sum();
        if slots == 0 {
            return Duration::ZERO;
        }
        (queue.shorts.work() + queue.longs.work()) / slots
    }

    pub(super) fn speed(&self, service: &ServiceName) -> EngineSpeed {
        let first = self.registry.of_service(service).next();
        first
            .map(|server| server.announced.speed)
            .unwrap_or_default()
    }

    pub(super) fn weight(&self, customer: &CustomerName) -> u32 {
        let rule = self
            .manifest
            .as_ref()
            .and_then(|manifest| manifest.customers.get(customer));
        rule.map_or(1, |rule| rule.weight)
    }
}

fn is_long(rule: &ServiceRule, work: &WorkEstimate, policy: &Policy) -> bool {
    rule.kind == ServiceKind::Model && work.prompt >= policy.long_tokens
}
