//! `POST /v1/completions`: runs a prompt on model engines, with retries.

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

use self::attempt::AttemptResult;
use self::body::{CompletionBody, parse_body};
use self::sink::{CallerGone, ResponseSink};
use super::attempts::{Attempts, FAILURE_RETRY_AFTER, FailedAttempt};
use super::caller_api::{AdmittedRequest, CallerApi, new_request_id};
use super::received_body::read_body;
use super::request::Request;
use super::{auth, response};
use crate::constants::STREAM_KEEPALIVE_INTERVAL;
use crate::control::input::{ControlInput, DispatchDecision};
use crate::memory_budget::MemoryShare;
use crate::metrics;

/// An admitted completion request and its progress over all attempts.
struct Completion<'a> {
    api: &'a CallerApi,
    admitted: AdmittedRequest,
    body: CompletionBody,
    /// Memory of the body, and of an answer that is buffered.
    share: MemoryShare,
    /// Length of the prompt in bytes.
    prompt_bytes: usize,
    /// Predicted prompt and output tokens.
    work: WorkEstimate,
    /// Hashes of the prompt's leading blocks, to match against prefix caches.
    prefix: Arc<[u64]>,
    /// Digest of the prompt, to recognize prompts that crash engines.
    digest: ContentDigest,
    attempts: Attempts,
    /// Newest attempt whose first token was reported to the dispatcher; zero if none was.
    reported_start: AttemptId,
    /// Tokens passed to the sink in all attempts; index of the next token.
    sent_tokens: u64,
    /// When the request arrived, for the latency metrics and the log.
    started_at: Instant,
    sink: ResponseSink,
}

/// Final outcome of a completion.
enum CompletionEnd {
    /// The whole answer arrived.
    Complete {
        /// Prompt tokens as counted by the engine.
        prompt_tokens: u64,
    },
    Refused(Refusal),
    CallerGone,
}

impl From<CallerGone> for CompletionEnd {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// Handles `POST /v1/completions`; returns once the response ended.
pub(super) fn handle(api: &CallerApi, mut request: Request) {
    let started_at = Instant::now();
    let id = new_request_id();
    let admitted = admit(api, &mut request, id);
    let (admitted, body, share) = match admitted {
        Ok(admitted) => admitted,
        Err((refusal, message)) => {
            let message =
                message.unwrap_or_else(|| response::refusal_message(refusal.reason).to_owned());
            response::refuse_with_message(request, Some(id), &refusal, &message);
            return;
        }
    };
    let digest = ContentDigest::of(body.prompt.as_bytes());
    if api.published.load().quarantined.contains(&digest) {
        let refusal = Refusal::not_run(RefusalReason::Quarantined, None);
        response::refuse(request, Some(id), &refusal);
        return;
    }
    api.credit_retry_budget(&admitted.service);
    let mut completion = Completion::new(api, admitted, (body, share), digest, request, started_at);
    let end = completion.run();
    completion.conclude(&end);
}

/// Refusal before admission, with an optional message in place of the standard one.
type AdmissionError = (Refusal, Option<String>);

/// Authenticates a request, reads its body, finds the service and sets the deadline.
fn admit(
    api: &CallerApi,
    request: &mut Request,
    id: merlinrudder_core::units::RequestId,
) -> Result<(AdmittedRequest, CompletionBody, MemoryShare), AdmissionError> {
    let manifest = api.current_manifest().map_err(without_message)?;
    let customer = auth::authenticate(request, &manifest).map_err(without_message)?;
    let limits = &api.limits;
    let received = read_body(request, limits.body_bytes, limits.body_timeout, &api.memory);
    let received = received.map_err(without_message)?;
    let body = parse_body(&received.bytes).map_err(|message| {
        (
            Refusal::not_run(RefusalReason::BadRequest, None),
            Some(message),
        )
    })?;
    let service = body
        .find_service(&manifest)
        .ok_or_else(|| (Refusal::not_run(RefusalReason::UnknownService, None), None))?;
    if !customer.may_use(&service.name) {
        return Err(without_message(Refusal::not_run(
            RefusalReason::ServiceNotAllowed,
            None,
        )));
    }
    let body = body.limit_output(&service);
    let estimator = api.estimator.lock().unwrap_or_else(PoisonError::into_inner);
    let work = estimator.estimate(
        &customer.name,
        &service.name,
        body.prompt.len(),
        body.max_output(),
    );
    let deadline = api.clock.now() + service.deadline_for(work.prompt);
    drop(estimator);
    Ok((
        AdmittedRequest {
            id,
            service,
            customer,
            deadline,
        },
        body,
        received.share,
    ))
}

fn without_message(refusal: Refusal) -> AdmissionError {
    (refusal, None)
}

impl<'a> Completion<'a> {
    fn new(
        api: &'a CallerApi,
        admitted: AdmittedRequest,
        (body, share): (CompletionBody, MemoryShare),
        digest: ContentDigest,
        request: Request,
        started_at: Instant,
    ) -> Self {
        let (customer, service) = (&admitted.customer.name, &admitted.service.name);
        let estimator = api.estimator.lock().unwrap_or_else(PoisonError::into_inner);
        let prompt_bytes = body.prompt.len();
        let work = estimator.estimate(customer, service, prompt_bytes, body.max_output());
        drop(estimator);
        let prefix = Arc::from(prefix_blocks(&body.prompt));
        let sink = ResponseSink::new(request, admitted.id, service.as_str(), body.stream);
        Self {
            api,
            admitted,
            body,
            share,
            prompt_bytes,
            work,
            prefix,
            digest,
            attempts: Attempts::new(),
            reported_start: AttemptId(0),
            sent_tokens: 0,
            started_at,
            sink,
        }
    }

    /// Runs attempts until one completes or no further one is allowed.
    fn run(&mut self) -> CompletionEnd {
        loop {
            let skipped = self.attempts.skipped_zones;
            let decisions = self
                .api
                .submit(&self.admitted, self.attempt_spec(), skipped);
            let grant = match self.wait_for_grant(&decisions) {
                Ok(grant) => grant,
                Err(end) => return end,
            };
            match self.run_attempt(&grant) {
                Ok(AttemptResult::Whole { prompt_tokens }) => {
                    return CompletionEnd::Complete { prompt_tokens };
                }
                Ok(result) => {
                    if let Err(refusal) = self.handle_failure(&grant, &result) {
                        return CompletionEnd::Refused(refusal);
                    }
                }
                Err(end) => return end,
            }
        }
    }

    /// Describes the current attempt for the dispatcher.
    fn attempt_spec(&self) -> AttemptSpec {
        AttemptSpec {
            request: self.admitted.id,
            attempt: self.attempts.number,
            entry: self.api.vm.clone(),
            service: self.admitted.service.name.clone(),
            customer: self.admitted.customer.name.clone(),
            work: self.work,
            prefix: Arc::clone(&self.prefix),
            digest: self.digest,
            time_left: self.api.time_left(&self.admitted),
            avoid: self.attempts.failed_servers.clone(),
        }
    }

    /// Waits for the placement, and abandons the request if a streaming caller disconnects.
    fn wait_for_grant(
        &mut self,
        decisions: &Receiver<DispatchDecision>,
    ) -> Result<Grant, CompletionEnd> {
        loop {
            match decisions.recv_timeout(STREAM_KEEPALIVE_INTERVAL) {
                Ok(DispatchDecision::Run(grant)) => return Ok(grant),
                Ok(DispatchDecision::Refuse(refusal)) => {
                    return Err(CompletionEnd::Refused(self.attempts.final_refusal(refusal)));
                }
                Err(RecvTimeoutError::Timeout) => {
                    if let Err(gone) = self.sink.send_keepalive() {
                        self.api
                            .control
                            .send(ControlInput::Abandon(self.admitted.id));
                        return Err(gone.into());
                    }
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let refusal =
                        Refusal::not_run(RefusalReason::Stopping, Some(FAILURE_RETRY_AFTER));
                    return Err(CompletionEnd::Refused(self.attempts.final_refusal(refusal)));
                }
            }
        }
    }

    /// Prepares the next attempt after a failed one.
    ///
    /// # Errors
    /// Returns the final refusal if no further attempt is allowed.
    fn handle_failure(&mut self, grant: &Grant, result: &AttemptResult) -> Result<(), Refusal> {
        let server = grant.servers[0].id.clone();
        warn!(self.api.log, "Attempt failed"; "request" => %self.admitted.id,
            "attempt" => %self.attempts.number, "server" => %server, "result" => ?result);
        let (run, retry_reason) = (result.run_state(), self.retry_reason(result));
        let failure = FailedAttempt {
            server,
            run,
            retry_reason,
        };
        self.attempts
            .prepare_retry(self.api, &self.admitted, true, failure)
    }

    fn retry_reason(&self, result: &AttemptResult) -> RetryReason {
        match result {
            AttemptResult::Refused(_) => RetryReason::ServerRefused,
            AttemptResult::NotConnected(_) => RetryReason::ConnectFailed,
            _ if self.sent_tokens > 0 => RetryReason::StreamResumed,
            _ => RetryReason::IdempotentBroken,
        }
    }

    /// Sends the end of the response, counts the outcome and logs it.
    fn conclude(self, end: &CompletionEnd) {
        let Self {
            api,
            admitted,
            sent_tokens,
            sink,
            started_at,
            attempts,
            ..
        } = self;
        let (service, id) = (admitted.service.name.as_str(), admitted.id);
        let (outcome, reason) = match end {
            CompletionEnd::Complete { prompt_tokens } => {
                sink.finish(*prompt_tokens, sent_tokens);
                ("complete", "")
            }
            CompletionEnd::Refused(refusal) => {
                sink.refuse(refusal);
                (refusal.run.as_str(), refusal.reason.code())
            }
            CompletionEnd::CallerGone => {
                metrics::count_refusal(RefusalReason::CallerGone);
                ("caller_gone", RefusalReason::CallerGone.code())
            }
        };
        metrics::count_outcome(service, outcome);
        info!(api.log, "Completion finished"; "request" => %id, "attempt" => %attempts.number,
            "service" => service, "customer" => %admitted.customer.name, "outcome" => outcome,
            "reason" => reason, "tokens" => sent_tokens,
            "ms" => u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX));
    }

    /// Reports the end of the current attempt to the dispatcher.
    fn report_end(&self, end: AttemptEnd) {
        self.api
            .report_attempt_end(self.admitted.id, self.attempts.number, end);
    }
}
