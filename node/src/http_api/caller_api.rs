//! HTTP API for callers: completions and plain calls.
//!
//! This module routes by path, checks that the VM may admit requests, and submits attempts to the
//! control thread.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, unbounded};
use hyper::Method;
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, Finish};
use merlinrudder_core::estimate::Estimator;
use merlinrudder_core::manifest::{CustomerRule, Manifest, ServiceRule};
use merlinrudder_core::names::{ServiceName, VmId, ZoneName};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::retry::RetryBudget;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, RequestId};
use slog::Logger;

use super::request::Request;
use super::response::{refuse, send_ready};
use super::{completions, plain};
use crate::clock::Clock;
use crate::control::ControlHandle;
use crate::control::input::{ControlInput, DispatchDecision, Submission};
use crate::memory_budget::MemoryBudget;
use crate::options::settings::LimitSettings;
use crate::published::RoutingSnapshotCell;

/// Retry delay for callers while the VM is stopping or has no manifest.
const UNREADY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the request threads of the API for callers.
#[derive(Debug)]
pub struct CallerApi {
    /// Id of this VM.
    pub vm: VmId,
    /// Zone of this VM, which is preferred for placement.
    pub zone: ZoneName,
    /// Handle to the control thread, which places requests.
    pub control: ControlHandle,
    /// Newest snapshot of the routing state.
    pub published: RoutingSnapshotCell,
    /// Clock on which deadlines are measured.
    pub clock: Clock,
    /// Limits on the size and the receive time of bodies.
    pub limits: LimitSettings,
    /// Memory for the bodies and answers of all requests.
    pub memory: Arc<MemoryBudget>,
    /// Prompt and output lengths learned from completed requests, to predict work.
    pub estimator: Mutex<Estimator>,
    /// Retry budget of each service; an entry is created with its first request.
    pub budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// Logger for requests of callers.
    pub log: Logger,
}

/// A caller's request after admission.
#[derive(Clone, Debug)]
pub(super) struct AdmittedRequest {
    pub(super) id: RequestId,
    /// Service that the manifest routes it to.
    pub(super) service: Arc<ServiceRule>,
    /// Customer whose token it carries.
    pub(super) customer: Arc<CustomerRule>,
    /// Time by which the last attempt must end.
    pub(super) deadline: Moment,
}

impl CallerApi {
    /// Handles one request; paths outside `/v1/` are plain calls that the manifest routes.
    pub fn handle(&self, request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/ready") => send_ready(request, self.published.load().ready),
            (Method::POST, "/v1/completions") => completions::handle(self, request),
            _ if path.starts_with("/v1/") => {
                refuse(
                    request,
                    None,
                    &Refusal::not_run(RefusalReason::UnknownPath, None),
                );
            }
            _ => plain::handle(self, request),
        }
    }

    /// Returns the manifest in force.
    ///
    /// # Errors
    /// Returns a refusal if the VM is stopping or has no manifest yet.
    pub(super) fn current_manifest(&self) -> Result<Arc<Manifest>, Refusal> {
        let published = self.published.load();
        if published.stopping {
            return Err(Refusal::not_run(
                RefusalReason::Stopping,
                Some(UNREADY_RETRY_AFTER),
            ));
        }
        let manifest = published.manifest.clone();
        manifest.ok_or(Refusal::not_run(
            RefusalReason::NoManifest,
            Some(UNREADY_RETRY_AFTER),
        ))
    }

    /// Returns the zones that may run a service, in order of preference.
    ///
    /// The order of the manifest is rotated to start with this VM's zone, if listed, and then by
    /// `skipped` more zones.
    fn zones_by_preference(&self, service: &ServiceRule, skipped: usize) -> Vec<ZoneName> {
        let mut zones: Vec<_> = service.zones.clone();
        let start = zones
            .iter()
            .position(|zone| *zone == self.zone)
            .unwrap_or_default();
        if !zones.is_empty() {
            let count = zones.len();
            zones.rotate_left((start + skipped) % count);
        }
        zones
    }

    /// Submits an attempt for placement; the decision arrives on the returned channel.
    pub(super) fn submit(
        &self,
        admitted: &AdmittedRequest,
        spec: AttemptSpec,
        skipped_zones: usize,
    ) -> Receiver<DispatchDecision> {
        let (reply, decisions) = unbounded();
        let zones = self.zones_by_preference(&admitted.service, skipped_zones);
        let submission = Submission {
            spec,
            deadline: admitted.deadline,
            zones,
            reply,
        };
        self.control.send(ControlInput::Submit(submission));
        decisions
    }

    /// Reports the end of an attempt to the dispatcher.
    pub(super) fn report_attempt_end(
        &self,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
    ) {
        self.control.send(ControlInput::Finish(Finish {
            request,
            attempt,
            end,
        }));
    }

    /// Credits the retry budget of a service for one admitted request.
    pub(super) fn credit_retry_budget(&self, service: &ServiceRule) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets
            .entry(service.name.clone())
            .or_default()
            .earn(service.retry_percent);
    }

    /// Takes one retry from the budget of a service; false if none is left.
    pub(super) fn try_spend_retry(&self, service: &ServiceRule) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.entry(service.name.clone()).or_default().try_spend()
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub(super) fn time_left(&self, admitted: &AdmittedRequest) -> Duration {
        admitted.deadline.since(self.clock.now())
    }
}

/// Returns a random id for a new request.
pub(super) fn new_request_id() -> RequestId {
    RequestId(fastrand::u128(..))
}
