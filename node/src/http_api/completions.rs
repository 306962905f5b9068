//! Completions: one prompt to its one final outcome, over as many attempts as it may take.

mod attempt;
mod body;
mod sink;

use std::sync::{Arc, PoisonError};
use std::time::Instant;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use merlinrudder_core::dispatch::message::{AttemptEnd, AttemptSpec, Grant};
use merlinrudder_core::estimate::WorkEstimate;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason};
use merlinrudder_core::units::{AttemptId, ContentDigest};
use merlinrudder_wire::engine::prefix_blocks;
use slog::{info, warn};
use tiny_http::Request;

use self::attempt::AttemptResult;
use self::body::{CompletionBody, parse_body};
use self::sink::{CallerGone, Sink};
use super::attempts::{Attempts, FAILED_RETRY, Failure};
use super::caller_api::{Admitted, CallerApi, new_request_id};
use super::{identity, response};
use crate::constants::STREAM_HEARTBEAT;
use crate::control::input::{ControlInput, EntryEvent};
use crate::http_api::listener::read_body;
use crate::metrics;

/// A completion in progress.
struct Completion<'a> {
    callers: &'a CallerApi,
    admitted: Admitted,
    body: CompletionBody,
    prompt_bytes: usize,
    work: WorkEstimate,
    prefix: Arc<[u64]>,
    digest: ContentDigest,
    attempts: Attempts,
    /// Last attempt whose first token the dispatcher was told of.
    told_started: AttemptId,
    /// Tokens sent so far; the next one has this number.
    tokens: u64,
    started: Instant,
    sink: Sink,
}

/// How a completion ended.
enum End {
    Whole { prompt_tokens: u64 },
    Refused(Refusal),
    CallerGone,
}

impl From<CallerGone> for End {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// Answers `POST /v1/completions`.
pub(super) fn handle(callers: &CallerApi, mut request: Request) {
    let started = Instant::now();
    let id = new_request_id();
    let admitted = admit(callers, &mut request, id);
    let (admitted, body) = match admitted {
        Ok(admitted) => admitted,
        Err((refusal, message)) => {
            let message = message.unwrap_or_else(|| response::describe(refusal.reason).to_owned());
            response::refuse_with_message(request, Some(id), &refusal, &message);
            return;
        }
    };
    let digest = ContentDigest::of(body.prompt.as_bytes());
    if callers.published.load().verdicts.contains(&digest) {
        let refusal = Refusal::not_run(RefusalReason::Quarantined, None);
        response::refuse(request, Some(id), &refusal);
        return;
    }
    callers.earn_retries(&admitted.service);
    let mut completion = Completion::new(callers, admitted, body, digest, request, started);
    let end = completion.run();
    completion.close(&end);
}

type NotAdmitted = (Refusal, Option<String>);

fn admit(
    callers: &CallerApi,
    request: &mut Request,
    id: merlinrudder_core::units::RequestId,
) -> Result<(Admitted, CompletionBody), NotAdmitted> {
    let manifest = callers.manifest().map_err(plain_refusal)?;
    let customer = identity::customer(request, &manifest).map_err(plain_refusal)?;
    let limits = &callers.limits;
    let bytes = read_body(request, limits.body_bytes, limits.body_time).map_err(plain_refusal)?;
    let body = parse_body(&bytes).map_err(|message| {
        (
            Refusal::not_run(RefusalReason::BadRequest, None),
            Some(message),
        )
    })?;
    let service = body
        .service(&manifest)
        .ok_or_else(|| (Refusal::not_run(RefusalReason::UnknownService, None), None))?;
    if !customer.may_use(&service.name) {
        return Err(plain_refusal(Refusal::not_run(
            RefusalReason::ServiceNotAllowed,
            None,
        )));
    }
    let body = body.limited(&service);
    let estimator = callers
        .estimator
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let work = estimator.estimate(
        &customer.name,
        &service.name,
        body.prompt.len(),
        body.max_output(),
    );
    let deadline = callers.clock.now() + service.deadline_for(work.prompt);
    drop(estimator);
    Ok((
        Admitted {
            id,
            service,
            customer,
            deadline,
        },
        body,
    ))
}

fn plain_refusal(refusal: Refusal) -> NotAdmitted {
    (refusal, None)
}

impl<'a> Completion<'a> {
    fn new(
        callers: &'a CallerApi,
        admitted: Admitted,
        body: CompletionBody,
        digest: ContentDigest,
        request: Request,
        started: Instant,
    ) -> Self {
        let (customer, service) = (&admitted.customer.name, &admitted.service.name);
        let estimator = callers
            .estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let prompt_bytes = body.prompt.len();
        let work = estimator.estimate(customer, service, prompt_bytes, body.max_output());
        drop(estimator);
        let prefix = Arc::from(prefix_blocks(&body.prompt));
        let sink = Sink::new(request, admitted.id, service.as_str(), body.stream);
        Self {
            callers,
            admitted,
            body,
            prompt_bytes,
            work,
            prefix,
            digest,
            attempts: Attempts::new(),
            told_started: AttemptId(0),
            tokens: 0,
            started,
            sink,
        }
    }

    fn run(&mut self) -> End {
        loop {
            let skipped = self.attempts.skipped_zones;
            let events = self.callers.submit(&self.admitted, self.ask(), skipped);
            let grant = match self.wait_for_grant(&events) {
                Ok(grant) => grant,
                Err(end) => return end,
            };
            match self.run_attempt(&grant) {
                Ok(AttemptResult::Whole { prompt_tokens }) => return End::Whole { prompt_tokens },
                Ok(result) => {
                    if let Err(refusal) = self.after_failure(&grant, &result) {
                        return End::Refused(refusal);
                    }
                }
                Err(end) => return end,
            }
        }
    }

    fn ask(&self) -> AttemptSpec {
        AttemptSpec {
            request: self.admitted.id,
            attempt: self.attempts.number,
            entry: self.callers.vm.clone(),
            service: self.admitted.service.name.clone(),
            customer: self.admitted.customer.name.clone(),
            work: self.work,
            prefix: Arc::clone(&self.prefix),
            digest: self.digest,
            time_left: self.callers.time_left(&self.admitted),
            avoid: self.attempts.avoid.clone(),
        }
    }

    fn wait_for_grant(&mut self, events: &Receiver<EntryEvent>) -> Result<Grant, End> {
        loop {
            match events.recv_timeout(STREAM_HEARTBEAT) {
                Ok(EntryEvent::Run(grant)) => return Ok(grant),
                Ok(EntryEvent::Refuse(refusal)) => {
                    return Err(End::Refused(self.attempts.last(refusal)));
                }
                Err(RecvTimeoutError::Timeout) => {
                    if let Err(gone) = self.sink.heartbeat() {
                        self.callers
                            .control
                            .send(ControlInput::Abandon(self.admitted.id));
                        return Err(gone.into());
                    }
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let refusal = Refusal::not_run(RefusalReason::Stopping, Some(FAILED_RETRY));
                    return Err(End::Refused(self.attempts.last(refusal)));
                }
            }
        }
    }

    /// Goes on to the next attempt, or returns the final answer.
    fn after_failure(&mut self, grant: &Grant, result: &AttemptResult) -> Result<(), Refusal> {
        let server = grant.servers[0].id.clone();
        warn!(self.callers.log, "An attempt failed"; "request" => %self.admitted.id,
            "attempt" => %self.attempts.number, "server" => %server, "result" => ?result);
        let (run, retry) = (result.run_state(), self.retry_reason(result));
        let failure = Failure { server, run, retry };
        self.attempts
            .next(self.callers, &self.admitted, true, failure)
    }

    fn retry_reason(&self, result: &AttemptResult) -> RetryReason {
        match result {
            AttemptResult::Refused(_) => RetryReason::ServerRefused,
            AttemptResult::NotConnected(_) => RetryReason::ConnectFailed,
            _ if self.tokens > 0 => RetryReason::StreamResumed,
            _ => RetryReason::IdempotentBroken,
        }
    }

    fn close(self, end: &End) {
        let Self {
            callers,
            admitted,
            tokens,
            sink,
            started,
            attempts,
            ..
        } = self;
        let (service, id) = (admitted.service.name.as_str(), admitted.id);
        let (outcome, reason) = match end {
            End::Whole { prompt_tokens } => {
                sink.finish_whole(*prompt_tokens, tokens);
                ("complete", "")
            }
            End::Refused(refusal) => {
                sink.refuse(refusal);
                (refusal.run.as_str(), refusal.reason.code())
            }
            End::CallerGone => {
                metrics::count_refusal(RefusalReason::CallerGone);
                ("caller_gone", RefusalReason::CallerGone.code())
            }
        };
        metrics::count_outcome(service, outcome);
        info!(callers.log, "A completion ended"; "request" => %id, "attempt" => %attempts.number,
            "service" => service, "customer" => %admitted.customer.name, "outcome" => outcome,
            "reason" => reason, "tokens" => tokens,
            "ms" => u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
    }

    fn end_attempt(&self, end: AttemptEnd) {
        self.callers
            .finish(self.admitted.id, self.attempts.number, end);
    }
}
