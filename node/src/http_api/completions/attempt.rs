//! One attempt at a completion on the granted engines.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use merlinrudder_core::dispatch::message::{AttemptEnd, Grant};
use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};
use merlinrudder_core::units::Tokens;
use merlinrudder_wire::engine::{EngineRequest, EngineReservation};

use super::{Completion, CompletionEnd, PoisonError};
use crate::backend::engine::{AttemptEvent, release_group, reserve_group, spawn_attempt};
use crate::backend::{cancel_in_background, is_alive};
use crate::constants::{FIRST_TOKEN_SLACK, INTER_TOKEN_TIMEOUT, STREAM_KEEPALIVE_INTERVAL};
use crate::control::input::ControlInput;
use crate::http_api::attempts::FAILURE_RETRY_AFTER;
use crate::metrics;

/// Copies of a buffered answer that are held at once: as collected, with spare room, and as sent.
const TEXT_COPIES: usize = 4;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The whole answer arrived.
    Whole {
        /// Prompt tokens as counted by the engine.
        prompt_tokens: u64,
    },
    /// An engine refused, with this reason; nothing ran.
    Refused(String),
    /// No connection to the engine was opened, so nothing was sent.
    NotConnected(String),
    /// The stream broke off, but the engine still answers health probes.
    Broken(String),
    /// The stream broke off, and the engine does not answer health probes.
    Died(String),
}

impl AttemptResult {
    /// Returns whether the engine may have run the attempt.
    pub(super) fn run_state(&self) -> RunState {
        match self {
            Self::Whole { .. } => RunState::Complete,
            Self::Refused(_) | Self::NotConnected(_) => RunState::NotRun,
            Self::Broken(_) | Self::Died(_) => RunState::MayHaveRun,
        }
    }
}

impl Completion<'_> {
    /// Runs an attempt; in every case reports its end and releases the reserved memory.
    ///
    /// # Errors
    /// Returns the final outcome if the caller disconnected or the deadline passed.
    pub(super) fn run_attempt(&mut self, grant: &Grant) -> Result<AttemptResult, CompletionEnd> {
        let id = self.admitted.id;
        if let Err(detail) = reserve_group(&grant.servers, id, self.attempts.number) {
            release_group(grant.servers.clone(), id, self.attempts.number);
            self.report_end(AttemptEnd::Refused);
            return Ok(AttemptResult::Refused(detail));
        }
        let time_left = self.api.time_left(&self.admitted);
        let events = spawn_attempt(
            &grant.servers[0].address,
            self.engine_request(grant),
            time_left,
        );
        let result = self.forward_tokens(&events);
        drop(events);
        release_group(grant.servers.clone(), id, self.attempts.number);
        match result {
            Ok(result) => Ok(self.report_result(grant, result)),
            Err(end) => {
                cancel_in_background(grant.servers.clone(), id, self.attempts.number);
                self.report_end(AttemptEnd::Cancelled);
                Err(end)
            }
        }
    }

    /// Builds the engine request; a retry resumes after the tokens already sent.
    fn engine_request(&self, grant: &Grant) -> EngineRequest {
        let reservations = grant
            .servers
            .iter()
            .skip(1)
            .map(|server| EngineReservation {
                address: server.address.to_string(),
                tokens: server.memory.0,
            });
        EngineRequest {
            request_id: self.admitted.id.to_string(),
            attempt: self.attempts.number.0,
            prompt: self.body.prompt.clone(),
            max_tokens: self.work.max_output.0,
            resume_from: self.sent_tokens,
            priority: self.work.priority(),
            reservations: reservations.collect(),
        }
    }

    /// Forwards the engine's tokens to the caller until the attempt ends.
    fn forward_tokens(
        &mut self,
        events: &Receiver<AttemptEvent>,
    ) -> Result<AttemptResult, CompletionEnd> {
        let mut last_token_at = Instant::now();
        let mut token_timeout = self.first_token_timeout();
        loop {
            match events.recv_timeout(STREAM_KEEPALIVE_INTERVAL) {
                Ok(AttemptEvent::Token { index, text }) => {
                    last_token_at = Instant::now();
                    token_timeout = INTER_TOKEN_TIMEOUT;
                    if index > self.sent_tokens {
                        let detail =
                            format!("received token {index}, expected {}", self.sent_tokens);
                        return Ok(AttemptResult::Broken(detail));
                    }
                    if index >= self.work.max_output.0 {
                        let detail = format!("received more than {index} tokens");
                        return Ok(AttemptResult::Broken(detail));
                    }
                    self.forward_token(index, &text)?;
                }
                Ok(AttemptEvent::Done { total, prompt }) => {
                    return Ok(self.check_token_count(total, prompt));
                }
                Ok(AttemptEvent::Refused(reason)) => return Ok(AttemptResult::Refused(reason)),
                Ok(AttemptEvent::NotConnected(detail)) => {
                    return Ok(AttemptResult::NotConnected(detail));
                }
                Ok(AttemptEvent::Broken(detail)) => return Ok(AttemptResult::Broken(detail)),
                Err(RecvTimeoutError::Timeout) => self.sink.send_keepalive()?,
                Err(RecvTimeoutError::Disconnected) => {
                    return Ok(AttemptResult::Broken(
                        "the thread that reads the stream ended".to_owned(),
                    ));
                }
            }
            self.check_deadline()?;
            if last_token_at.elapsed() > token_timeout {
                return Ok(AttemptResult::Broken(
                    "no token arrived within the timeout".to_owned(),
                ));
            }
        }
    }

    /// Forwards a token, unless an earlier attempt already did.
    fn forward_token(&mut self, index: u64, text: &str) -> Result<(), CompletionEnd> {
        if index < self.sent_tokens {
            metrics::count_dropped_event();
            return Ok(());
        }
        if self.sent_tokens == 0 {
            let service = self.admitted.service.name.as_str();
            metrics::observe_first_token(service, self.started_at.elapsed());
        }
        self.report_start();
        self.take_memory(text)?;
        self.sink.push_token(index, text)?;
        self.sent_tokens += 1;
        Ok(())
    }

    /// Takes the memory of a token that is kept until the answer is complete.
    fn take_memory(&mut self, text: &str) -> Result<(), CompletionEnd> {
        if self.body.stream {
            return Ok(());
        }
        let taken = self.share.grow(text.len() * TEXT_COPIES);
        taken.map_err(|_exhausted| {
            CompletionEnd::Refused(Refusal {
                reason: RefusalReason::VmLimit,
                run: RunState::MayHaveRun,
                retry_after: Some(FAILURE_RETRY_AFTER),
            })
        })
    }

    /// Reports the first token of each attempt to the dispatcher.
    fn report_start(&mut self) {
        if self.reported_start != self.attempts.number {
            self.reported_start = self.attempts.number;
            let first_token = ControlInput::FirstToken(self.admitted.id, self.attempts.number);
            self.api.control.send(first_token);
        }
    }

    /// Checks that all tokens of the answer were received.
    fn check_token_count(&self, total: u64, prompt_tokens: u64) -> AttemptResult {
        if total == self.sent_tokens {
            return AttemptResult::Whole { prompt_tokens };
        }
        AttemptResult::Broken(format!("received {} of {total} tokens", self.sent_tokens))
    }

    /// Returns the final refusal as an error once the deadline has passed.
    fn check_deadline(&self) -> Result<(), CompletionEnd> {
        if !self.api.time_left(&self.admitted).is_zero() {
            return Ok(());
        }
        Err(CompletionEnd::Refused(Refusal {
            reason: RefusalReason::DeadlinePassed,
            run: RunState::MayHaveRun,
            retry_after: Some(FAILURE_RETRY_AFTER),
        }))
    }

    /// Returns the timeout for the first token: twice the prefill time plus `FIRST_TOKEN_SLACK`.
    ///
    /// The prefill time is predicted with the default engine speed.
    fn first_token_timeout(&self) -> Duration {
        let predicted_prefill = self.work.prefill_time(Tokens(0), EngineSpeed::default());
        predicted_prefill * 2 + FIRST_TOKEN_SLACK
    }

    /// Reports the end of the attempt, and updates the estimator after a whole answer.
    ///
    /// A stream that broke off is returned as `Broken` or `Died`, depending on a health probe.
    fn report_result(&self, grant: &Grant, result: AttemptResult) -> AttemptResult {
        let server = &grant.servers[0];
        match result {
            AttemptResult::Whole { prompt_tokens } => {
                self.update_estimator(prompt_tokens);
                self.report_end(AttemptEnd::Complete);
                AttemptResult::Whole { prompt_tokens }
            }
            AttemptResult::Refused(reason) => {
                self.report_end(AttemptEnd::Refused);
                AttemptResult::Refused(reason)
            }
            AttemptResult::Broken(detail) | AttemptResult::Died(detail)
                if is_alive(&server.address) =>
            {
                cancel_in_background(
                    grant.servers.clone(),
                    self.admitted.id,
                    self.attempts.number,
                );
                self.report_end(AttemptEnd::Broken);
                AttemptResult::Broken(detail)
            }
            AttemptResult::NotConnected(detail) => {
                self.report_end(AttemptEnd::Unreachable(server.id.clone()));
                AttemptResult::NotConnected(detail)
            }
            AttemptResult::Broken(detail) | AttemptResult::Died(detail) => {
                self.report_end(AttemptEnd::ServerDied(server.id.clone()));
                AttemptResult::Died(detail)
            }
        }
    }

    /// Records the measured prompt and output lengths for later estimates.
    fn update_estimator(&self, prompt_tokens: u64) {
        let mut estimator = self
            .api
            .estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimator.observe(
            &self.admitted.customer.name,
            &self.admitted.service.name,
            self.prompt_bytes,
            Tokens(prompt_tokens),
            Tokens(self.sent_tokens),
        );
    }
}
