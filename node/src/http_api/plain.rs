//! Plain calls: routed by the manifest, repeated only where that is harmless.

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
use tiny_http::Request;

use super::attempts::{Attempts, FAILED_RETRY, Failure};
use super::caller_api::{Admitted, CallerApi, new_request_id};
use super::identity;
use super::response::{refuse, send_response};
use crate::backend::is_alive;
use crate::backend::plain::{PlainCall, PlainResult, call};
use crate::constants::PROPOSE_TIMEOUT;
use crate::control::input::{ControlInput, EntryEvent, Proposal};
use crate::http_api::listener::read_body;
use crate::metrics;

/// Time that an answer waits for its record in the control log.
const RECORD_TIME: Duration = Duration::from_millis(500);
/// Time in which a record or a release is sent again.
const BACKGROUND_TIME: Duration = Duration::from_mins(2);
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A plain call in progress.
struct Plain<'a> {
    callers: &'a CallerApi,
    admitted: Admitted,
    call: PlainCall,
    content: ContentDigest,
    idempotent: bool,
    attempts: Attempts,
}

/// Answers a call that the manifest routes.
pub(super) fn handle(callers: &CallerApi, mut request: Request) {
    let id = new_request_id();
    let plain = match admit(callers, &mut request, id) {
        Ok(plain) => plain,
        Err(refusal) => {
            refuse(request, Some(id), &refusal);
            return;
        }
    };
    let service = plain.admitted.service.name.clone();
    let (outcome, reason) = match plain.run() {
        Ok(answer) => {
            let headers = [("X-Request-Id", id.to_string())];
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
    info!(callers.log, "A call ended"; "request" => %id, "service" => %service,
        "outcome" => outcome, "reason" => reason);
}

fn admit<'a>(
    callers: &'a CallerApi,
    request: &mut Request,
    id: merlinrudder_core::units::RequestId,
) -> Result<Plain<'a>, Refusal> {
    let manifest = callers.manifest()?;
    let customer = identity::customer(request, &manifest)?;
    let method = request.method().to_string();
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let (service, route) = manifest
        .route(&method, path)
        .ok_or(Refusal::not_run(RefusalReason::UnknownPath, None))?;
    if !customer.may_use(&service.name) {
        return Err(Refusal::not_run(RefusalReason::ServiceNotAllowed, None));
    }
    let key = identity::header(request, "Idempotency-Key").map(str::to_owned);
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        return Err(Refusal::not_run(RefusalReason::BadRequest, None));
    }
    let content_type = identity::header(request, "Content-Type")
        .unwrap_or_default()
        .to_owned();
    let limits = &callers.limits;
    let body = read_body(request, limits.body_bytes, limits.body_time)?;
    let content = ContentDigest::of(&[method.as_bytes(), url.as_bytes(), &body].join(&0));
    let deadline = callers.clock.now() + service.deadline;
    let call = PlainCall {
        method,
        path: url,
        content_type,
        body,
        key,
        request_id: id.to_string(),
    };
    callers.earn_retries(service);
    Ok(Plain {
        callers,
        admitted: Admitted {
            id,
            service: Arc::clone(service),
            customer,
            deadline,
        },
        call,
        content,
        idempotent: route.idempotent,
        attempts: Attempts::new(),
    })
}

impl Plain<'_> {
    fn run(mut self) -> Result<RecordedAnswer, Refusal> {
        if self
            .callers
            .published
            .load()
            .verdicts
            .contains(&self.content)
        {
            return Err(Refusal::not_run(RefusalReason::Quarantined, None));
        }
        match self.claim_key() {
            Some(key) if !self.idempotent => self.run_claimed(&key),
            _ => self.run_attempts(),
        }
    }

    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.call.key.as_deref()?;
        Some(ClaimKey {
            customer: self.admitted.customer.name.clone(),
            service: self.admitted.service.name.clone(),
            key: Arc::from(key),
        })
    }

    /// Claims the key in the control log, runs the call once, and records how it ended.
    fn run_claimed(&mut self, key: &ClaimKey) -> Result<RecordedAnswer, Refusal> {
        if let Some(recorded) = self.claim(key)? {
            return Ok(recorded);
        }
        let result = self.run_attempts();
        let owner = self.admitted.id;
        let command = match &result {
            Ok(answer) => {
                let state = ClaimState::Answered(kept(answer));
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
        self.propose_for(command, BACKGROUND_TIME, RECORD_TIME);
        result
    }

    /// Claims the key; returns the recorded answer of an earlier call.
    fn claim(&self, key: &ClaimKey) -> Result<Option<RecordedAnswer>, Refusal> {
        let owner = self.admitted.id;
        let command = Command::Claim {
            key: key.clone(),
            owner,
            content: self.content,
            now: Moment::default(),
        };
        let wait = PROPOSE_TIMEOUT.min(self.callers.time_left(&self.admitted));
        match self.propose_for(command, wait, wait) {
            Some(Answer::Claim(ClaimOutcome::Acquired)) => Ok(None),
            Some(Answer::Claim(ClaimOutcome::Answered(answer))) => Ok(Some(answer)),
            Some(Answer::Claim(ClaimOutcome::Held)) => Err(Refusal {
                reason: RefusalReason::ClaimedElsewhere,
                run: RunState::MayHaveRun,
                retry_after: Some(FAILED_RETRY),
            }),
            Some(Answer::Claim(ClaimOutcome::ContentMismatch)) => {
                Err(Refusal::not_run(RefusalReason::KeyReused, None))
            }
            Some(Answer::Claim(ClaimOutcome::Full)) => Err(Refusal::not_run(
                RefusalReason::ClaimsFull,
                Some(FAILED_RETRY),
            )),
            _ => {
                // The claim may still be committed; it must not block the caller's resend.
                let release = Command::Release {
                    key: key.clone(),
                    owner,
                };
                self.propose_for(release, BACKGROUND_TIME, Duration::ZERO);
                Err(Refusal::not_run(
                    RefusalReason::NoQuorum,
                    Some(PROPOSE_TIMEOUT),
                ))
            }
        }
    }

    /// Proposes a command that is sent again for `life`, and waits `wait` for its answer.
    fn propose_for(&self, command: Command, life: Duration, wait: Duration) -> Option<Answer> {
        let (reply, answer) = bounded(1);
        let deadline = self.callers.clock.now() + life;
        self.callers.control.send(ControlInput::Propose(Proposal {
            command,
            deadline,
            reply,
        }));
        answer.recv_timeout(wait).ok().flatten()
    }

    fn run_attempts(&mut self) -> Result<RecordedAnswer, Refusal> {
        loop {
            let grant = self.wait_for_grant()?;
            let server = &grant.servers[0];
            let time_left = self.callers.time_left(&self.admitted);
            let result = call(&server.address, &self.call, time_left);
            let end = attempt_end(&grant, &result);
            self.callers
                .finish(self.admitted.id, self.attempts.number, end);
            let failure = match result {
                PlainResult::Answered(answer) => return Ok(answer),
                failure => failure,
            };
            warn!(self.callers.log, "An attempt failed"; "request" => %self.admitted.id,
                "attempt" => %self.attempts.number, "server" => %server.id, "result" => ?failure);
            self.after_failure(&grant, &failure)?;
        }
    }

    fn wait_for_grant(&self) -> Result<Grant, Refusal> {
        let skipped = self.attempts.skipped_zones;
        let events = self.callers.submit(&self.admitted, self.ask(), skipped);
        match events.recv() {
            Ok(EntryEvent::Run(grant)) => Ok(grant),
            Ok(EntryEvent::Refuse(refusal)) => Err(self.attempts.last(refusal)),
            Err(_) => {
                let refusal = Refusal::not_run(RefusalReason::Stopping, Some(FAILED_RETRY));
                Err(self.attempts.last(refusal))
            }
        }
    }

    fn ask(&self) -> AttemptSpec {
        let work = WorkEstimate {
            prompt: Tokens(0),
            max_output: Tokens(0),
            output: Tokens(1),
        };
        AttemptSpec {
            request: self.admitted.id,
            attempt: self.attempts.number,
            entry: self.callers.vm.clone(),
            service: self.admitted.service.name.clone(),
            customer: self.admitted.customer.name.clone(),
            work,
            prefix: Arc::from([]),
            digest: self.content,
            time_left: self.callers.time_left(&self.admitted),
            avoid: self.attempts.avoid.clone(),
        }
    }

    /// Goes on to the next attempt, or returns the final answer.
    fn after_failure(&mut self, grant: &Grant, failure: &PlainResult) -> Result<(), Refusal> {
        let (run, retry) = match failure {
            PlainResult::NotConnected(_) => (RunState::NotRun, RetryReason::ConnectFailed),
            PlainResult::Refused => (RunState::NotRun, RetryReason::ServerRefused),
            PlainResult::Answered(_) | PlainResult::Broken(_) => {
                (RunState::MayHaveRun, RetryReason::IdempotentBroken)
            }
        };
        let failure = Failure {
            server: grant.servers[0].id.clone(),
            run,
            retry,
        };
        self.attempts
            .next(self.callers, &self.admitted, self.idempotent, failure)
    }
}

/// Returns the answer as it is kept with a claim: a large body is left out.
fn kept(answer: &RecordedAnswer) -> RecordedAnswer {
    let small = |body: &Arc<[u8]>| body.len() <= MAX_STORED_BODY;
    RecordedAnswer {
        body: answer.body.clone().filter(small),
        ..answer.clone()
    }
}

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
