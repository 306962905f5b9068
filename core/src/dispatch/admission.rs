//! Admission control: decides whether a request may be queued.

use std::time::Duration;

use super::message::AttemptSpec;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::estimate::{EngineSpeed, WorkEstimate};
use crate::manifest::{Manifest, Policy, ServiceKind, ServiceRule};
use crate::names::{CustomerName, ServiceName};
use crate::outcome::{Refusal, RefusalReason};
use crate::suspects::Suspicion;
use crate::time::Moment;
use crate::units::Tokens;

/// Upper bound of the retry delay that a refusal gives.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Time after start in which a service without backend servers is not yet refused.
///
/// It gives servers time to announce themselves to a new dispatcher.
const SERVER_DISCOVERY_TIME: Duration = Duration::from_millis(1500);

impl Dispatcher {
    /// Checks whether a request may be queued; returns whether its prompt is long.
    pub(super) fn check_admission(&self, now: Moment, spec: &AttemptSpec) -> Result<bool, Refusal> {
        let manifest = self.manifest.as_ref().ok_or(Refusal::not_run(
            RefusalReason::NoManifest,
            Some(MIN_RETRY_AFTER),
        ))?;
        let rule = manifest
            .services
            .get(&spec.service)
            .ok_or(Refusal::not_run(RefusalReason::UnknownService, None))?;
        if self.suspects.suspicion(&spec.digest) == Suspicion::Quarantined {
            return Err(Refusal::not_run(RefusalReason::Quarantined, None));
        }
        if self.lacks_servers(now, &spec.service) {
            return Err(Refusal::not_run(
                RefusalReason::NoServer,
                Some(MIN_RETRY_AFTER),
            ));
        }
        self.check_customer(manifest, spec)?;
        self.check_queue(rule, spec)?;
        Ok(is_long_prompt(rule, &spec.work, &manifest.policy))
    }

    /// Whether a service has no known server although there was time to announce one.
    pub(super) fn lacks_servers(&self, now: Moment, service: &ServiceName) -> bool {
        let discovery_over = now.since(self.started_at) >= SERVER_DISCOVERY_TIME;
        discovery_over && self.registry.of_service(service).next().is_none()
    }

    fn check_customer(&self, manifest: &Manifest, spec: &AttemptSpec) -> Result<(), Refusal> {
        let limit = manifest
            .customers
            .get(&spec.customer)
            .map_or(0, |rule| rule.max_running);
        let waiting = self.queues.get(&spec.service).map_or(0, |queue| {
            queue
                .pending
                .values()
                .filter(|pending| pending.spec.customer == spec.customer)
                .count()
        });
        let running = self
            .running_table
            .count_for_customer(&spec.service, &spec.customer);
        if waiting + running < limit as usize {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalReason::CustomerLimit,
            Some(MIN_RETRY_AFTER),
        ))
    }

    fn check_queue(&self, rule: &ServiceRule, spec: &AttemptSpec) -> Result<(), Refusal> {
        let wait = self.predicted_wait(&spec.service);
        let retry_after = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
        let waiting = self
            .queues
            .get(&spec.service)
            .map_or(0, |queue| queue.pending.len());
        if waiting >= rule.queue_limit {
            return Err(Refusal::not_run(RefusalReason::QueueFull, retry_after));
        }
        let engine_time = match rule.kind {
            ServiceKind::Model => spec.work.engine_time(Tokens(0), self.speed(&spec.service)),
            ServiceKind::Plain => Duration::ZERO,
        };
        if wait + engine_time > spec.time_left {
            return Err(Refusal::not_run(
                RefusalReason::DeadlineUnmeetable,
                retry_after,
            ));
        }
        Ok(())
    }

    /// Predicts the queueing time of a new request.
    ///
    /// This is the queued engine time divided by the slots of all servers.
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
        (queue.short_queue.total_work() + queue.long_queue.total_work()) / slots
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

fn is_long_prompt(rule: &ServiceRule, work: &WorkEstimate, policy: &Policy) -> bool {
    rule.kind == ServiceKind::Model && work.prompt >= policy.long_tokens
}
