//! Plain calls: HTTP calls that the manifest routes to plain HTTP applications.
//!
//! A call that may have run is only sent again if its route is idempotent. On other routes, an
//! idempotency key is claimed in the control log before the call is sent, so that a caller's
//! retry gets the recorded answer and the call does not run twice.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use merlinrudder_core::claims::{
    ClaimKey, ClaimOutcome, ClaimState, MAX_STORED_BODY, RecordedAnswer,
};
use merlinrudder_core::control::{Answer, Command};
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, Grant};
use merlinrudder_core::estimate::WorkEstimate;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::{ContentDigest, Tokens};
use slog::{info, warn};

use super::attempts::{Attempts, FAILURE_RETRY_AFTER, FailedAttempt};
use super::auth;
use super::caller_api::{AdmittedRequest, CallerApi, new_request_id};
use super::received_body::read_body;
use super::request::Request;
use super::response::{REQUEST_ID, refuse, send_response};
use crate::backend::is_alive;
use crate::backend::plain::{PlainCall, PlainResult, call};
use crate::constants::PROPOSE_TIMEOUT;
use crate::control::input::{ControlInput, DispatchDecision, Proposal};
use crate::memory_budget::MemoryShare;
use crate::metrics;

/// Maximum time that an answer waits until the control log has recorded it.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// Time during which recording or releasing a claim is retried.
const CLAIM_RETRY_TIME: Duration = Duration::from_mins(2);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// An admitted plain call and its progress over all attempts.
struct PlainRequest<'a> {
    api: &'a CallerApi,
    admitted: AdmittedRequest,
    call: PlainCall,
    /// Memory of the call's body and of its answer.
    share: MemoryShare,
    /// Digest of method, URL and body.
    content: ContentDigest,
    /// Whether the route allows the call to run more than once.
    idempotent: bool,
    attempts: Attempts,
}

/// Handles a plain call; returns once the response is sent.
pub(super) fn handle(api: &CallerApi, mut request: Request) {
    let id = new_request_id();
    let mut plain_request = match admit(api, &mut request, id) {
        Ok(plain_request) => plain_request,
        Err(refusal) => {
            refuse(request, Some(id), &refusal);
            return;
        }
    };
    let service = plain_request.admitted.service.name.clone();
    let (outcome, reason) = match plain_request.run() {
        Ok(answer) => {
            let headers = [(REQUEST_ID, id.to_string())];
            let body = answer.body.as_deref().unwrap_or_default().to_vec();
            send_response(request, answer.status, &answer.content_type, body, &headers);
            ("complete", "")
        }
        Err(refusal) => {
            refuse(request, Some(id), &refusal);
            (refusal.run.as_str(), refusal.reason.code())
        }
    };
    metrics::count_outcome(service.as_str(), outcome);
    info!(api.log, "Plain call finished"; "request" => %id, "service" => %service,
        "outcome" => outcome, "reason" => reason);
}

/// Authenticates a request, finds its route, reads its body and sets the deadline.
fn admit<'a>(
    api: &'a CallerApi,
    request: &mut Request,
    id: merlinrudder_core::units::RequestId,
) -> Result<PlainRequest<'a>, Refusal> {
    let manifest = api.current_manifest()?;
    let customer = auth::authenticate(request, &manifest)?;
    let method = request.method().to_string();
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let (service, route) = manifest
        .route(&method, path)
        .ok_or(Refusal::not_run(RefusalReason::UnknownPath, None))?;
    if !customer.may_use(&service.name) {
        return Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, None));
    }
    let key = request.header("Idempotency-Key").map(str::to_owned);
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        return Err(Refusal::not_run(RefusalReason::BadRequest, None));
    }
    let content_type = request
        .header("Content-Type")
        .unwrap_or_default()
        .to_owned();
    let limits = &api.limits;
    let body = read_body(request, limits.body_bytes, limits.body_timeout, &api.memory)?;
    let content = ContentDigest::of(&[method.as_bytes(), url.as_bytes(), &body.bytes].join(&0));
    let deadline = api.clock.now() + service.deadline;
    let call = PlainCall {
        method,
        path: url,
        content_type,
        body: body.bytes,
        key,
        request_id: id.to_string(),
    };
    api.credit_retry_budget(service);
    Ok(PlainRequest {
        api,
        admitted: AdmittedRequest {
            id,
            service: Arc::clone(service),
            customer,
            deadline,
        },
        call,
        share: body.share,
        content,
        idempotent: route.idempotent,
        attempts: Attempts::new(),
    })
}

impl PlainRequest<'_> {
    /// Runs the call, unless it is quarantined or already has an answer.
    fn run(&mut self) -> Result<RecordedAnswer, Refusal> {
        if self
            .api
            .published
            .load()
            .quarantined
            .contains(&self.content)
        {
            return Err(Refusal::not_run(RefusalReason::Quarantined, None));
        }
        match self.claim_key() {
            Some(key) if !self.idempotent => self.run_with_claim(&key),
            _ => self.run_attempts(),
        }
    }

    /// Returns the claim key; `None` if the call has no idempotency key.
    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.call.key.as_deref()?;
        Some(ClaimKey {
            customer: self.admitted.customer.name.clone(),
            service: self.admitted.service.name.clone(),
            key: Arc::from(key),
        })
    }

    /// Claims the key in the control log, runs the call, and records its outcome.
    ///
    /// The claim is released if the call did not run, so that a retry can use the same key.
    fn run_with_claim(&mut self, key: &ClaimKey) -> Result<RecordedAnswer, Refusal> {
        if let Some(recorded) = self.claim(key)? {
            return Ok(recorded);
        }
        let result = self.run_attempts();
        let owner = self.admitted.id;
        let command = match &result {
            Ok(answer) => {
                let state = ClaimState::Answered(stored_answer(answer));
                Command::Record {
                    key: key.clone(),
                    owner,
                    state,
                }
            }
            Err(refusal) if refusal.run == RunState::NotRun => Command::Release {
                key: key.clone(),
                owner,
            },
            Err(_) => Command::Record {
                key: key.clone(),
                owner,
                state: ClaimState::Unknown,
            },
        };
        self.propose(command, CLAIM_RETRY_TIME, RECORD_WAIT);
        result
    }

    /// Claims the key; returns the recorded answer if the call already ran.
    ///
    /// # Errors
    /// Returns a refusal if the key is taken or the control quorum does not answer.
    fn claim(&self, key: &ClaimKey) -> Result<Option<RecordedAnswer>, Refusal> {
        let owner = self.admitted.id;
        let command = Command::Claim {
            key: key.clone(),
            owner,
            content: self.content,
            now: Moment::default(),
        };
        let wait = PROPOSE_TIMEOUT.min(self.api.time_left(&self.admitted));
        match self.propose(command, wait, wait) {
            Some(Answer::Claim(ClaimOutcome::Acquired)) => Ok(None),
            Some(Answer::Claim(ClaimOutcome::Answered(answer))) => Ok(Some(answer)),
            Some(Answer::Claim(ClaimOutcome::Held)) => Err(Refusal {
                reason: RefusalReason::ClaimedElsewhere,
                run: RunState::MayHaveRun,
                retry_after: Some(FAILURE_RETRY_AFTER),
            }),
            Some(Answer::Claim(ClaimOutcome::ContentMismatch)) => {
                Err(Refusal::not_run(RefusalReason::KeyReused, None))
            }
            Some(Answer::Claim(ClaimOutcome::Full)) => Err(Refusal::not_run(
                RefusalReason::ClaimsFull,
                Some(FAILURE_RETRY_AFTER),
            )),
            _ => {
                // The claim may still be committed; releasing it lets the caller retry.
                let release = Command::Release {
                    key: key.clone(),
                    owner,
                };
                self.propose(release, CLAIM_RETRY_TIME, Duration::ZERO);
                Err(Refusal::not_run(
                    RefusalReason::NoQuorum,
                    Some(PROPOSE_TIMEOUT),
                ))
            }
        }
    }

    /// Proposes a command to the control log and waits for its answer.
    ///
    /// Returns `None` if no answer arrives within `wait`. The proposal is sent again until it is
    /// answered, for up to `retry_time`.
    fn propose(&self, command: Command, retry_time: Duration, wait: Duration) -> Option<Answer> {
        let (reply, answer) = bounded(1);
        let deadline = self.api.clock.now() + retry_time;
        self.api.control.send(ControlInput::Propose(Proposal {
            command,
            deadline,
            reply,
        }));
        answer.recv_timeout(wait).ok().flatten()
    }

    /// Runs attempts until one is answered or no further one is allowed.
    fn run_attempts(&mut self) -> Result<RecordedAnswer, Refusal> {
        loop {
            let grant = self.wait_for_grant()?;
            let server = &grant.servers[0];
            let time_left = self.api.time_left(&self.admitted);
            let result = call(&server.address, &self.call, time_left, &mut self.share);
            let end = attempt_end(&grant, &result);
            self.api
                .report_attempt_end(self.admitted.id, self.attempts.number, end);
            let failure = match result {
                PlainResult::Answered(answer) => return Ok(answer),
                failure => failure,
            };
            warn!(self.api.log, "Attempt failed"; "request" => %self.admitted.id,
                "attempt" => %self.attempts.number, "server" => %server.id, "result" => ?failure);
            self.handle_failure(&grant, &failure)?;
        }
    }

    /// Submits the current attempt and waits for its placement.
    fn wait_for_grant(&self) -> Result<Grant, Refusal> {
        let skipped = self.attempts.skipped_zones;
        let decisions = self
            .api
            .submit(&self.admitted, self.attempt_spec(), skipped);
        match decisions.recv() {
            Ok(DispatchDecision::Run(grant)) => Ok(grant),
            Ok(DispatchDecision::Refuse(refusal)) => Err(self.attempts.final_refusal(refusal)),
            Err(_) => {
                let refusal = Refusal::not_run(RefusalReason::Stopping, Some(FAILURE_RETRY_AFTER));
                Err(self.attempts.final_refusal(refusal))
            }
        }
    }

    /// Describes the current attempt for the dispatcher.
    ///
    /// A plain call has no prompt; its work counts as one output token.
    fn attempt_spec(&self) -> AttemptSpec {
        let work = WorkEstimate {
            prompt: Tokens(0),
            max_output: Tokens(0),
            output: Tokens(1),
        };
        AttemptSpec {
            request: self.admitted.id,
            attempt: self.attempts.number,
            entry: self.api.vm.clone(),
            service: self.admitted.service.name.clone(),
            customer: self.admitted.customer.name.clone(),
            work,
            prefix: Arc::from([]),
            digest: self.content,
            time_left: self.api.time_left(&self.admitted),
            avoid: self.attempts.failed_servers.clone(),
        }
    }

    /// Prepares the next attempt after a failed one.
    ///
    /// # Errors
    /// Returns the final refusal if no further attempt is allowed.
    fn handle_failure(&mut self, grant: &Grant, failure: &PlainResult) -> Result<(), Refusal> {
        let (run, retry_reason) = match failure {
            PlainResult::NotConnected(_) => (RunState::NotRun, RetryReason::ConnectFailed),
            PlainResult::Refused => (RunState::NotRun, RetryReason::ServerRefused),
            PlainResult::Answered(_) | PlainResult::Broken(_) => {
                (RunState::MayHaveRun, RetryReason::IdempotentBroken)
            }
        };
        let failure = FailedAttempt {
            server: grant.servers[0].id.clone(),
            run,
            retry_reason,
        };
        self.attempts
            .prepare_retry(self.api, &self.admitted, self.idempotent, failure)
    }
}

/// Returns the answer to store with a claim, without a body over `MAX_STORED_BODY`.
fn stored_answer(answer: &RecordedAnswer) -> RecordedAnswer {
    let is_storable = |body: &Arc<[u8]>| body.len() <= MAX_STORED_BODY;
    RecordedAnswer {
        body: answer.body.clone().filter(is_storable),
        ..answer.clone()
    }
}

/// Returns the attempt end to report.
///
/// After a broken call, a health probe tells whether the server is still alive.
fn attempt_end(grant: &Grant, result: &PlainResult) -> AttemptEnd {
    let server = &grant.servers[0];
    match result {
        PlainResult::Answered(_) => AttemptEnd::Complete,
        PlainResult::Refused => AttemptEnd::Refused,
        PlainResult::NotConnected(_) => AttemptEnd::Unreachable(server.id.clone()),
        PlainResult::Broken(_) if is_alive(&server.address) => AttemptEnd::Broken,
        PlainResult::Broken(_) => AttemptEnd::ServerDied(server.id.clone()),
    }
}
