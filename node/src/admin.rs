//! HTTP API for operators: manifests, status, health, readiness and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::bounded;
use hyper::Method;
use merlinrudder_core::control::{Answer, Command, PublishedManifest};
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::outcome::{Refusal, RefusalReason};
use merlinrudder_wire::manifest::{ManifestError, ManifestFault, parse_manifest};
use serde_json::{Value, json};
use slog::{Logger, info};

use crate::clock::Clock;
use crate::constants::{MANIFEST_ROLLOUT_WAIT, MAX_ADMIN_BODY_BYTES, PROPOSE_TIMEOUT};
use crate::control::ControlHandle;
use crate::control::input::{ControlInput, Proposal, VmStatus};
use crate::http_api::response::{
    refuse, refuse_with_message, send_json, send_ready, send_response,
};
use crate::http_api::{Request, has_token, read_body};
use crate::memory_budget::MemoryBudget;
use crate::metrics;
use crate::published::RoutingSnapshotCell;

/// Time in which the whole body of a manifest must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether all VMs have a new manifest in force.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State shared by the threads that answer operators.
#[derive(Debug)]
pub struct Admin {
    /// Handle of the control thread.
    pub control: ControlHandle,
    /// Snapshot that tells whether this VM is ready.
    pub published: RoutingSnapshotCell,
    /// Clock for the deadlines of proposals.
    pub clock: Clock,
    /// Bearer token that operators must send.
    pub token: Arc<str>,
    /// Memory for the bodies and answers of all requests.
    pub memory: Arc<MemoryBudget>,
    /// Logger of the operators' API.
    pub log: Logger,
}

impl Admin {
    /// Answers one request; health, readiness and metrics need no token.
    pub fn handle(&self, request: Request) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/health") => {
                send_response(request, 200, "text/plain", "ok\n".into(), &[]);
            }
            (Method::GET, "/ready") => send_ready(request, self.published.load().ready),
            (Method::GET, "/metrics") => {
                send_response(
                    request,
                    200,
                    "text/plain; version=0.0.4",
                    metrics::render().into(),
                    &[],
                );
            }
            _ if !self.is_authorized(&request) => {
                refuse(
                    request,
                    None,
                    &Refusal::not_run(RefusalReason::UnknownCustomer, None),
                );
            }
            (Method::GET, "/admin/status") => self.answer_status(request),
            (Method::POST, "/admin/manifest") => self.publish(request),
            _ => refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::UnknownPath, None),
            ),
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        has_token(request, &self.token)
    }

    fn status(&self) -> Option<VmStatus> {
        let (reply, status) = bounded(1);
        self.control.send(ControlInput::Status(reply));
        status.recv_timeout(PROPOSE_TIMEOUT).ok()
    }

    fn answer_status(&self, request: Request) {
        match self.status() {
            Some(status) => send_json(request, 200, &status),
            None => refuse(
                request,
                None,
                &Refusal::not_run(RefusalReason::Stopping, None),
            ),
        }
    }

    fn publish(&self, mut request: Request) {
        let body = read_body(
            &mut request,
            MAX_ADMIN_BODY_BYTES,
            BODY_TIMEOUT,
            &self.memory,
        );
        let body = match body {
            Ok(body) => body,
            Err(refusal) => {
                refuse(request, None, &refusal);
                return;
            }
        };
        let manifest = match parse_manifest(&body.bytes) {
            Ok(manifest) => manifest,
            Err(error) => {
                send_json(request, 400, &faults_body(&error));
                return;
            }
        };
        let published = PublishedManifest {
            number: manifest.number,
            bytes: Arc::from(body.bytes.as_slice()),
        };
        match self.propose(Command::Publish(published)) {
            Some(Answer::Accepted(number)) => {
                info!(self.log, "Manifest accepted"; "number" => number.0);
                self.answer_accepted(request, number);
            }
            Some(Answer::Conflict(number)) => answer_conflict(request, "conflict", number),
            Some(Answer::Older(number)) => answer_conflict(request, "older", number),
            _ => {
                // The command may still be committed. Publishing the same bytes again is safe
                // and gets the same answer.
                let refusal = Refusal {
                    reason: RefusalReason::NoQuorum,
                    run: merlinrudder_core::outcome::RunState::MayHaveRun,
                    retry_after: Some(PROPOSE_TIMEOUT),
                };
                let message = "No quorum answered. Publish the same document again.";
                refuse_with_message(request, None, &refusal, message);
            }
        }
    }

    fn propose(&self, command: Command) -> Option<Answer> {
        let (reply, answer) = bounded(1);
        let deadline = self.clock.now() + PROPOSE_TIMEOUT;
        self.control.send(ControlInput::Propose(Proposal {
            command,
            deadline,
            reply,
        }));
        answer.recv().ok().flatten()
    }

    /// Answers once all live VMs report the manifest, or after `MANIFEST_ROLLOUT_WAIT`.
    fn answer_accepted(&self, request: Request, number: ManifestNumber) {
        let start = Instant::now();
        let mut status = self.status();
        while !in_force_everywhere(status.as_ref(), number)
            && start.elapsed() < MANIFEST_ROLLOUT_WAIT
        {
            std::thread::sleep(ROLLOUT_POLL_INTERVAL);
            status = self.status();
        }
        let waited = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let body = json!({
            "result": "accepted",
            "number": number.0,
            "waited_ms": waited,
            "vms": status.as_ref().map(vms_body),
        });
        send_json(request, 200, &body);
    }
}

fn answer_conflict(request: Request, result: &str, number: ManifestNumber) {
    send_json(
        request,
        409,
        &json!({ "result": result, "number": number.0 }),
    );
}

fn faults_body(error: &ManifestError) -> Value {
    let fault = |fault: &ManifestFault| json!({ "field": fault.field, "message": fault.message });
    json!({
        "result": "invalid",
        "faults": error.faults.iter().map(fault).collect::<Vec<_>>(),
    })
}

fn in_force_everywhere(status: Option<&VmStatus>, number: ManifestNumber) -> bool {
    status.is_some_and(|status| {
        let others = status
            .members
            .iter()
            .filter(|member| member.health == "alive");
        status.manifest >= number.0 && others.into_iter().all(|other| other.manifest >= number.0)
    })
}

fn vms_body(status: &VmStatus) -> Value {
    let own = json!({ "vm": status.vm, "health": "alive", "manifest": status.manifest });
    let others = status.members.iter().map(
        |member| json!({ "vm": member.vm, "health": member.health, "manifest": member.manifest }),
    );
    std::iter::once(own).chain(others).collect()
}
