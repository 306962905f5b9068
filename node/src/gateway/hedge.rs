//! Hedges: further attempts while the server of an earlier one is silent.
//!
//! A sound server may fall silent and go on. It is only left once another one has answered: the
//! retry is granted, the server selected and its answer begun while the first attempt continues.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::events::EventSplitter;
use merlinrudder_core::outcome::{RetryReason, RunState};
use slog::info;
use tokio::time::{sleep, timeout};

use super::crash_verdict;
use super::exchange::{
    BodyError, Prefetched, Progress, UpstreamResponse, attempt, hang_timeout, read_answer,
};
use super::failure::{Failure, record_failure};
use super::request::CallerRequest;
use super::selection::{SelectedServers, Selection, select_servers};
use super::state::Gateway;
use super::tally::Tally;
use super::target::Target;
use crate::metrics;

/// Wait before a hedge is tried again that could not be sent, or that failed.
const HEDGE_INTERVAL: Duration = Duration::from_millis(200);

/// Response of an attempt, or how it failed at which server.
pub(super) type AttemptResult = Result<UpstreamResponse, (Target, Failure)>;

/// What all attempts at a request have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptContext<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) call: &'a CallerRequest,
    pub(super) tally: &'a Rc<Tally>,
    /// Number of the last event forwarded, for a stream that is resumed.
    pub(super) last_event: Option<u64>,
}

impl<'a> AttemptContext<'a> {
    /// Makes one attempt, and hedges at other servers for as long as it is silent.
    ///
    /// Returns the response that arrives first, or the failure of this attempt if no hedge is left.
    /// Failures of other attempts are recorded.
    pub(super) async fn race(self, selected: SelectedServers) -> AttemptResult {
        let silence = hang_timeout(self.call, &selected);
        let target = selected.target.clone();
        let progress = Progress::new(self.tally);
        let first = attempt(self, selected, &progress);
        let raced = self.race_with(silence, vec![target.clone()], first).await;
        let result = raced.map_err(|failure| (target.clone(), failure));
        if matches!(&result, Ok(response) if !response.selected.target.is_same(&target)) {
            progress.give_up();
            let failure = progress.failure.get().unwrap_or(Failure::Overtaken);
            record_failure(self, &target, failure);
            self.tally.exclude_failed(&target, failure);
        }
        result
    }

    /// Waits for an attempt, and for hedges once it has been silent for a while.
    ///
    /// `silent` are the servers of the attempts in progress, the last one of this attempt.
    async fn race_with(
        self,
        silence: Duration,
        silent: Vec<Target>,
        first: impl Future<Output = Result<UpstreamResponse, Failure>>,
    ) -> Result<UpstreamResponse, Failure> {
        let mut first = pin!(first);
        if let Ok(result) = timeout(silence, first.as_mut()).await {
            return result;
        }
        let mut hedges = self.hedge_until_answered(silent);
        let failure = tokio::select! {
            biased;
            result = first.as_mut() => match result {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            },
            response = hedges.as_mut() => return Ok(response),
        };
        self.await_hedges(hedges.as_mut()).await.ok_or(failure)
    }

    /// Waits for hedges in progress, after the first attempt has failed; `None` if all fail too.
    pub(super) async fn await_hedges(
        self,
        hedges: Pin<&mut (dyn Future<Output = UpstreamResponse> + 'a)>,
    ) -> Option<UpstreamResponse> {
        tokio::select! {
            biased;
            response = hedges => Some(response),
            () = self.tally.reduced_to(0) => None,
        }
    }

    /// Sends hedges until one has answered; waits for ever where no more may be sent.
    pub(super) fn hedge_until_answered(
        self,
        silent: Vec<Target>,
    ) -> Pin<Box<dyn Future<Output = UpstreamResponse> + 'a>> {
        Box::pin(async move {
            let mut last_failed = None;
            loop {
                if let Some(selected) = self.select_hedge(&silent, last_failed.as_ref()) {
                    let target = selected.target.clone();
                    match self.open_hedge(selected, &silent).await {
                        Ok(response) => return response,
                        Err(failure) => {
                            record_failure(self, &target, failure);
                            if failure.run_state() == RunState::NotRun {
                                self.tally.count_refused_hedge();
                            } else {
                                self.tally.exclude_failed(&target, failure);
                            }
                            last_failed = Some(target);
                        }
                    }
                }
                sleep(HEDGE_INTERVAL).await;
            }
        })
    }

    /// Selects the server of a hedge and spends a retry; `None` if no hedge may be sent now.
    fn select_hedge(
        self,
        silent: &[Target],
        last_failed: Option<&Target>,
    ) -> Option<SelectedServers> {
        let Self {
            gateway,
            call,
            tally,
            ..
        } = self;
        if !tally.allows_hedge(call) || crash_verdict::is_suspect(gateway, call) {
            return None;
        }
        // A selection uses up a permit or a turn at its server.
        if !gateway.has_retry(&call.service) {
            return None;
        }
        let mut excluded = tally.excluded.borrow().clone();
        excluded.extend(silent.iter().chain(last_failed));
        let selection = select_servers(gateway, call, tally, &excluded, false);
        let Selection::Selected(selected) = selection else {
            return None;
        };
        if !gateway.spend_retry(&call.service) {
            return None;
        }
        metrics::count_retry(RetryReason::ServerSilent);
        info!(gateway.log, "Hedge sent"; "request" => call.attempt_id_text(),
            "server" => %selected.target, "silent" => silent.last().map(ToString::to_string),
            "after_ms" => gateway.now().since(call.received_at).as_millis());
        Some(*selected)
    }

    /// Makes a hedge, and further ones while it is silent, until one has begun its answer.
    async fn open_hedge(
        self,
        selected: SelectedServers,
        silent: &[Target],
    ) -> Result<UpstreamResponse, Failure> {
        let silence = hang_timeout(self.call, &selected);
        let mut silent = silent.to_vec();
        silent.push(selected.target.clone());
        let progress = Progress::new(self.tally);
        let answer = async {
            let response = attempt(self, selected, &progress).await?;
            self.await_answer(response).await
        };
        self.race_with(silence, silent, answer).await
    }

    /// Waits until a response has shown more than its head: the first event of a stream, or the
    /// whole answer to a plain call.
    async fn await_answer(
        self,
        mut response: UpstreamResponse,
    ) -> Result<UpstreamResponse, Failure> {
        let time_left = self.call.time_left(self.gateway.now());
        let is_success = response.head.status.is_success();
        let prefetched = match self.call.route.kind {
            _ if !is_success => None,
            CallKind::Stream { .. } => {
                let bytes = timeout(time_left, first_event(&mut response.body)).await;
                bytes.unwrap_or_default().map(Prefetched::Beginning)
            }
            _ => match read_answer(self.gateway, &mut response, time_left).await {
                Ok(body) => Some(Prefetched::Whole(body)),
                Err(BodyError::NoRoom) => return Err(Failure::NoRoom),
                Err(BodyError::Broken) => None,
            },
        };
        let Some(prefetched) = prefetched else {
            if let Some(run) = response.run.take().filter(|_| is_success) {
                run.broke();
            }
            return Err(Failure::Broken);
        };
        response.prefetched = prefetched;
        Ok(response)
    }
}

/// Returns the beginning of a stream with its first event; `None` if it ends or breaks before.
async fn first_event(body: &mut Incoming) -> Option<Bytes> {
    let mut beginning = Vec::new();
    let mut splitter = EventSplitter::default();
    loop {
        let bytes = body.frame().await?.ok()?.into_data().unwrap_or_default();
        beginning.extend_from_slice(&bytes);
        if !splitter.push(&bytes).is_empty() {
            return Some(Bytes::from(beginning));
        }
        if splitter.is_over_limit() {
            return None;
        }
    }
}
