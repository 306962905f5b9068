//! One attempt at a completion on the granted engines.

use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use merlinrudder_core::dispatch::message::{AttemptEnd, Grant};
use merlinrudder_core::estimate::EngineSpeed;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RunState};
use merlinrudder_core::units::Tokens;
use merlinrudder_wire::engine::{EngineRequest, EngineReservation};

use super::{Completion, End, PoisonError};
use crate::backend::engine::{AttemptEvent, release_group, reserve_group, spawn_attempt};
use crate::backend::{cancel_in_background, is_alive};
use crate::constants::{FIRST_TOKEN_SLACK, STREAM_HEARTBEAT, TOKEN_TIMEOUT};
use crate::control::input::ControlInput;
use crate::http_api::attempts::FAILED_RETRY;
use crate::metrics;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The answer is whole.
    Whole {
        /// Tokens of the prompt as the engine counted.
        prompt_tokens: u64,
    },
    /// The engine refused.
    Refused(String),
    /// Nothing was sent.
    NotConnected(String),
    /// The stream broke off, and the engine still answers.
    Broken(String),
    /// The stream broke off, and the engine does not answer.
    Died(String),
}

impl AttemptResult {
    pub(super) fn run_state(&self) -> RunState {
        match self {
            Self::Whole { .. } => RunState::Complete,
            Self::Refused(_) | Self::NotConnected(_) => RunState::NotRun,
            Self::Broken(_) | Self::Died(_) => RunState::MayHaveRun,
        }
    }
}

impl Completion<'_> {
    /// Runs an attempt; whatever its end, the dispatcher is told and all memory is freed.
    pub(super) fn run_attempt(&mut self, grant: &Grant) -> Result<AttemptResult, End> {
        let id = self.admitted.id;
        if let Err(detail) = reserve_group(&grant.servers, id, self.attempts.number) {
            release_group(grant.servers.clone(), id, self.attempts.number);
            self.end_attempt(AttemptEnd::Refused);
            return Ok(AttemptResult::Refused(detail));
        }
        let time_left = self.callers.time_left(&self.admitted);
        let signals = spawn_attempt(
            &grant.servers[0].address,
            self.engine_request(grant),
            time_left,
        );
        let result = self.follow(&signals);
        drop(signals);
        release_group(grant.servers.clone(), id, self.attempts.number);
        match result {
            Ok(result) => Ok(self.settle(grant, result)),
            Err(end) => {
                cancel_in_background(grant.servers.clone(), id, self.attempts.number);
                self.end_attempt(AttemptEnd::Cancelled);
                Err(end)
            }
        }
    }

    fn engine_request(&self, grant: &Grant) -> EngineRequest {
        let others = grant
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
            resume_from: self.tokens,
            priority: self.work.priority(),
            reservations: others.collect(),
        }
    }

    /// Passes the engine's tokens on until the attempt ends.
    fn follow(&mut self, signals: &Receiver<AttemptEvent>) -> Result<AttemptResult, End> {
        let mut last_sign = Instant::now();
        let mut patience = self.first_token_patience();
        loop {
            match signals.recv_timeout(STREAM_HEARTBEAT) {
                Ok(AttemptEvent::Token { index, text }) => {
                    last_sign = Instant::now();
                    patience = TOKEN_TIMEOUT;
                    if index > self.tokens {
                        let detail = format!("token {index} in place of {}", self.tokens);
                        return Ok(AttemptResult::Broken(detail));
                    }
                    self.pass_on(index, &text)?;
                }
                Ok(AttemptEvent::Done { total, prompt }) => return Ok(self.whole(total, prompt)),
                Ok(AttemptEvent::Refused(reason)) => return Ok(AttemptResult::Refused(reason)),
                Ok(AttemptEvent::NotConnected(detail)) => {
                    return Ok(AttemptResult::NotConnected(detail));
                }
                Ok(AttemptEvent::Broken(detail)) => return Ok(AttemptResult::Broken(detail)),
                Err(RecvTimeoutError::Timeout) => self.sink.heartbeat()?,
                Err(RecvTimeoutError::Disconnected) => {
                    return Ok(AttemptResult::Broken(
                        "the stream's thread ended".to_owned(),
                    ));
                }
            }
            self.check_deadline()?;
            if last_sign.elapsed() > patience {
                return Ok(AttemptResult::Broken("the engine is silent".to_owned()));
            }
        }
    }

    fn pass_on(&mut self, index: u64, text: &str) -> Result<(), End> {
        if index < self.tokens {
            metrics::count_dropped_event();
            return Ok(());
        }
        if self.tokens == 0 {
            let service = self.admitted.service.name.as_str();
            metrics::note_first_token(service, self.started.elapsed());
        }
        self.tell_started();
        self.sink.token(index, text)?;
        self.tokens += 1;
        Ok(())
    }

    /// Tells the dispatcher of the first token of each attempt.
    fn tell_started(&mut self) {
        if self.told_started != self.attempts.number {
            self.told_started = self.attempts.number;
            let started = ControlInput::Started(self.admitted.id, self.attempts.number);
            self.callers.control.send(started);
        }
    }

    fn whole(&self, total: u64, prompt_tokens: u64) -> AttemptResult {
        if total == self.tokens {
            return AttemptResult::Whole { prompt_tokens };
        }
        AttemptResult::Broken(format!("{} of {total} tokens came", self.tokens))
    }

    fn check_deadline(&self) -> Result<(), End> {
        if !self.callers.time_left(&self.admitted).is_zero() {
            return Ok(());
        }
        Err(End::Refused(Refusal {
            reason: RefusalReason::DeadlinePassed,
            run: RunState::MayHaveRun,
            retry_after: Some(FAILED_RETRY),
        }))
    }

    /// Time that the first token may take; an engine that reports no speed gets the usual one.
    fn first_token_patience(&self) -> Duration {
        let predicted = self.work.prefill_time(Tokens(0), EngineSpeed::default());
        predicted * 2 + FIRST_TOKEN_SLACK
    }

    /// Tells the dispatcher how the attempt ended, and learns from a whole answer.
    fn settle(&self, grant: &Grant, result: AttemptResult) -> AttemptResult {
        let server = &grant.servers[0];
        match result {
            AttemptResult::Whole { prompt_tokens } => {
                self.learn(prompt_tokens);
                self.end_attempt(AttemptEnd::Complete);
                AttemptResult::Whole { prompt_tokens }
            }
            AttemptResult::Refused(reason) => {
                self.end_attempt(AttemptEnd::Refused);
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
                self.end_attempt(AttemptEnd::Broken);
                AttemptResult::Broken(detail)
            }
            AttemptResult::NotConnected(detail) => {
                self.end_attempt(AttemptEnd::Unreachable(server.id.clone()));
                AttemptResult::NotConnected(detail)
            }
            AttemptResult::Broken(detail) | AttemptResult::Died(detail) => {
                self.end_attempt(AttemptEnd::ServerDied(server.id.clone()));
                AttemptResult::Died(detail)
            }
        }
    }

    fn learn(&self, prompt_tokens: u64) {
        let mut estimator = self
            .callers
            .estimator
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimator.observe(
            &self.admitted.customer.name,
            &self.admitted.service.name,
            self.prompt_bytes,
            Tokens(prompt_tokens),
            Tokens(self.tokens),
        );
    }
}
