//! The callers' front: admission, then completions or plain calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::{Receiver, unbounded};
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, Finish};
use merlinrudder_core::estimate::Estimator;
use merlinrudder_core::manifest::{CustomerRule, Manifest, ServiceRule};
use merlinrudder_core::names::{ServiceName, VmId, ZoneName};
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_core::retry::RetryBudget;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{AttemptId, RequestId};
use slog::Logger;
use tiny_http::{Method, Request};

use super::response::{refuse, send_ready};
use super::{completions, plain};
use crate::clock::Clock;
use crate::control::Control;
use crate::control::input::{ControlInput, EntryEvent, Submission};
use crate::options::settings::LimitSettings;
use crate::published::PublishedCell;

/// When a caller that met a VM that cannot serve may come back.
const UNREADY_RETRY: Duration = Duration::from_secs(1);

/// What the threads of the callers' front share.
#[derive(Debug)]
pub struct CallerApi {
    /// This VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneName,
    /// The control thread.
    pub control: Control,
    /// Routing state.
    pub published: PublishedCell,
    /// The clock.
    pub clock: Clock,
    /// Limits.
    pub limits: LimitSettings,
    /// Learned lengths.
    pub estimator: Mutex<Estimator>,
    /// Retry budgets by service.
    pub budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// Logger of this part.
    pub log: Logger,
}

/// A caller's request after admission.
#[derive(Clone, Debug)]
pub(super) struct Admitted {
    pub(super) id: RequestId,
    pub(super) service: Arc<ServiceRule>,
    pub(super) customer: Arc<CustomerRule>,
    pub(super) deadline: Moment,
}

impl CallerApi {
    /// Answers one request.
    pub fn handle(&self, request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/ready") => send_ready(request, self.published.load().ready),
            (Method::Post, "/v1/completions") => completions::handle(self, request),
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

    /// Returns the manifest in force, where this VM may admit requests.
    pub(super) fn manifest(&self) -> Result<Arc<Manifest>, Refusal> {
        let published = self.published.load();
        if published.stopping {
            return Err(Refusal::not_run(
                RefusalReason::Stopping,
                Some(UNREADY_RETRY),
            ));
        }
        let manifest = published.manifest.clone();
        manifest.ok_or(Refusal::not_run(
            RefusalReason::NoManifest,
            Some(UNREADY_RETRY),
        ))
    }

    /// Returns the zones that may run a service, the own one first but for those passed over.
    fn zones(&self, service: &ServiceRule, skipped: usize) -> Vec<ZoneName> {
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

    /// Asks for a placement; the decision comes on the returned channel.
    pub(super) fn submit(
        &self,
        admitted: &Admitted,
        ask: AttemptSpec,
        skipped_zones: usize,
    ) -> Receiver<EntryEvent> {
        let (reply, events) = unbounded();
        let zones = self.zones(&admitted.service, skipped_zones);
        let submission = Submission {
            ask,
            deadline: admitted.deadline,
            zones,
            reply,
        };
        self.control.send(ControlInput::Submit(submission));
        events
    }

    pub(super) fn finish(&self, request: RequestId, attempt: AttemptId, end: AttemptEnd) {
        self.control.send(ControlInput::Finish(Finish {
            request,
            attempt,
            end,
        }));
    }

    /// Counts a request towards the retry budget of its service.
    pub(super) fn earn_retries(&self, service: &ServiceRule) {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets
            .entry(service.name.clone())
            .or_default()
            .earn(service.retry_percent);
    }

    /// Takes a retry from the budget of a service, if any is left.
    pub(super) fn spend_retry(&self, service: &ServiceRule) -> bool {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        budgets.entry(service.name.clone()).or_default().try_spend()
    }

    pub(super) fn time_left(&self, admitted: &Admitted) -> Duration {
        admitted.deadline.since(self.clock.now())
    }
}

/// Makes the id of a new request.
pub(super) fn new_request_id() -> RequestId {
    RequestId(fastrand::u128(..))
}
