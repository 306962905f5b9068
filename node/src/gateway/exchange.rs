//! One attempt at a request: connects, sends it and checks the response head.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::RunState;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::{headers, orders};
use slog::{debug, info};
use tokio::time::timeout;

use super::buffer_budget::{BufferBudget, BufferShare};
use super::crash_watch::{self, RunGuard};
use super::hedge::AttemptContext;
use super::open_requests::Phase;
use super::placement_sync;
use super::rate_limits::{self, AnswerHead};
use super::reach;
use super::refusal::Origin;
use super::relay;
use super::request::{CallerRequest, ServerHeaders, text_header};
use super::reservation::{EngineEndpoint, Reservation};
use super::selection::SelectedServers;
use super::state::Gateway;
use super::tally::{InProgress, Tally};
use super::target::Target;
use super::upstream::{Connection, SendFailure};

/// Lower limit of the hang timeout, after which a missing response head is hedged.
const MIN_HANG_TIMEOUT: Duration = Duration::from_millis(900);
/// Engine priorities by upper bound of the prefill time, in milliseconds; shorter goes first.
///
/// The prefill time is that of the whole prompt on one otherwise idle engine.
const ENGINE_PRIORITIES: [(f64, u8); 3] = [(80.0, 2), (700.0, 4), (f64::INFINITY, 6)];

/// A response whose head has arrived and belongs to the request.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    /// Servers of the attempt; they count as loaded until this is dropped.
    pub(super) selected: SelectedServers,
    /// Memory at the helpers; released when this is dropped.
    pub(super) _reservation: Option<Reservation>,
    pub(super) head: Parts,
    /// The rest of the body, without what is prefetched.
    pub(super) body: Incoming,
    pub(super) prefetched: Prefetched,
    /// Counts the attempt as in progress; `None` once it was taken out.
    pub(super) in_progress: Option<InProgress>,
    pub(super) connection: Connection,
    /// The run at the selected server; `None` once it was taken out.
    pub(super) run: Option<RunGuard>,
}

/// What of a body was read before its response was chosen.
#[derive(Debug, Default)]
pub(super) enum Prefetched {
    #[default]
    Nothing,
    /// The beginning of a stream with its first event.
    Beginning(Bytes),
    /// The whole body of a plain call.
    Whole(Bytes),
}

/// Why an attempt yielded no usable response head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Failure {
    /// No connection could be opened, or it closed before the request was sent.
    Unreachable,
    /// Another VM was asked, and reaches no server of the service or is stopping.
    NoPath,
    /// The server refused the request and states that it did not run it.
    Refused,
    /// Another server answered at this address.
    Replaced,
    /// A helper did not reserve the memory for its part of the prompt.
    NoMemory,
    /// The server refused the request because a helper failed, which it names.
    HelperFailed,
    /// The connection broke, or the response does not belong to this request.
    Broken,
    /// Another server answered while this one was silent.
    Overtaken,
    /// The deadline of the request passed.
    Overdue,
}

impl Failure {
    /// Whether the server may have run the request.
    pub(super) const fn run_state(self) -> RunState {
        match self {
            Self::Unreachable
            | Self::NoPath
            | Self::Refused
            | Self::Replaced
            | Self::NoMemory
            | Self::HelperFailed => RunState::NotRun,
            Self::Broken | Self::Overtaken | Self::Overdue => RunState::MayHaveRun,
        }
    }

    /// Whether the failure is that of a helper, and says nothing of the selected server.
    pub(super) const fn is_of_helper(self) -> bool {
        matches!(self, Self::NoMemory | Self::HelperFailed)
    }

    /// Returns the outcome to record for the health of the selected server, if any.
    ///
    /// A missed deadline says nothing about the server: the request may have had little time left.
    pub(super) const fn health_outcome(self) -> Option<ServerOutcome> {
        match self {
            Self::Unreachable => Some(ServerOutcome::Unreachable),
            Self::Refused => Some(ServerOutcome::Full),
            Self::Replaced | Self::Broken | Self::Overtaken => Some(ServerOutcome::Failed),
            Self::NoPath | Self::NoMemory | Self::HelperFailed | Self::Overdue => None,
        }
    }
}

/// How far an attempt has come, for one that is dropped before its end.
#[derive(Debug)]
pub(super) struct Progress {
    /// Entry of the attempt in the tally until it fails or its response head arrives.
    entry: RefCell<Option<InProgress>>,
    /// The run at the server until the response head arrives.
    run: RefCell<Option<RunGuard>>,
    /// How the attempt failed, if it did.
    pub(super) failure: Cell<Option<Failure>>,
}

impl Progress {
    /// Begins an attempt.
    pub(super) fn new(tally: &Rc<Tally>) -> Self {
        Self {
            entry: RefCell::new(Some(InProgress::new(tally))),
            run: RefCell::default(),
            failure: Cell::default(),
        }
    }

    /// Ends the run of an attempt that is dropped because its server was silent.
    pub(super) fn give_up(&self) {
        if let Some(run) = self.run.take() {
            run.broke();
        }
    }

    /// Records that the request is about to be sent.
    fn sent(&self, call: &CallerRequest) {
        if let Some(in_progress) = &*self.entry.borrow() {
            in_progress.may_run.set(true);
            call.guard.request.record_sent();
        }
    }

    /// Ends a failed attempt.
    fn failed(&self, call: &CallerRequest, failure: Failure) {
        self.failure.set(Some(failure));
        let in_progress = self.entry.take();
        let refused = in_progress.filter(|_| failure.run_state() == RunState::NotRun);
        if let Some(refused) = refused
            && refused.may_run.replace(false)
        {
            call.guard.request.record_refused();
        }
    }
}

/// Makes one attempt and returns the response once its head has arrived.
///
/// A silent server is waited for until the deadline.
pub(super) async fn attempt(
    context: AttemptContext<'_>,
    selected: SelectedServers,
    progress: &Progress,
) -> Result<UpstreamResponse, Failure> {
    let result = send(context, selected, progress).await;
    if let Err(failure) = &result {
        progress.failed(context.call, *failure);
    }
    result
}

/// Sends a request and checks the response head.
async fn send(
    context: AttemptContext<'_>,
    mut selected: SelectedServers,
    progress: &Progress,
) -> Result<UpstreamResponse, Failure> {
    let AttemptContext { gateway, call, .. } = context;
    call.guard.enter(Phase::Reservation);
    if context.last_event.or(call.last_event).is_some() {
        // A resumed stream prefills more than its prompt.
        selected.sample = None;
    }
    let reservation = reserve_helper_memory(gateway, &selected).await?;
    let reservation_id = reservation.as_ref().map(|r| r.id.as_str());
    let helpers = selected.helpers.iter();
    let helpers: Vec<_> = helpers
        .map(|helper| orders::helper_entry(helper.address, reservation_id))
        .collect();
    // The server may close an idle connection just as a request is sent on it, and then it is
    // unknown whether the request ran. One that may run only once gets a new connection.
    let require_new = !call.route.kind.is_idempotent();
    let connecting = gateway.pool.connect(selected.address, require_new).await;
    let mut connection = connecting.map_err(|_error| {
        record_lost_connection(context, &selected.target);
        Failure::Unreachable
    })?;
    // After a failure, a connection that is reset at once must not cost another attempt.
    if context.tally.has_failed() && connection.is_new && !connection.stays_open().await {
        record_lost_connection(context, &selected.target);
        return Err(Failure::Unreachable);
    }
    let priority = call.engine_profile.as_ref().zip(call.token_counts);
    let priority = priority.map(|(profile, tokens)| engine_priority(profile, tokens.prompt));
    let server_headers = ServerHeaders {
        server: selected.target.incarnation().map(|i| i.server.as_str()),
        helpers: helpers.join(","),
        priority,
        last_event: context.last_event.or(call.last_event),
    };
    let now = gateway.now();
    let mut request = call.upstream_request(now, &server_headers);
    if let Target::Vm { vm, .. } = &selected.target {
        let excluded = context.tally.excluded.borrow();
        let on_trial = context.tally.on_trial.get();
        relay::add_headers(gateway, call, vm, &excluded, on_trial, &mut request)
            .ok_or(Failure::Unreachable)?;
    }
    let time_left = call.time_left(now);
    let incarnation = selected.target.incarnation().cloned();
    let run = incarnation.map(|incarnation| RunGuard::new(gateway, call, incarnation));
    progress.run.replace(run);
    progress.sent(call);
    call.guard.enter(Phase::Head);
    let sent = timeout(time_left, connection.send(request)).await;
    let run = progress.run.take();
    let response = match sent {
        Err(_elapsed) => Err(Failure::Overdue),
        Ok(Err(failure)) => {
            debug!(gateway.log, "Failed to send request"; "request" => call.attempt_id_text(),
                "server" => %selected.target, "error" => ?failure);
            record_lost_connection(context, &selected.target);
            Err(match failure {
                SendFailure::NotSent(_) => Failure::Unreachable,
                SendFailure::MayHaveRun(_) => Failure::Broken,
            })
        }
        Ok(Ok(response)) => Ok(response),
    };
    let checked = response.and_then(|response| {
        let (mut head, body) = response.into_parts();
        let check = match &mut selected.target {
            Target::Server(incarnation) => {
                let check = check_response_head(call, &head);
                record_head(gateway, call, incarnation, &connection, now, &head, check);
                check.map_err(|failure| blame_helper(context, &selected.helpers, &head, failure))
            }
            Target::Vm { server, .. } => {
                let check = relay::check_answer(&head.headers);
                *server = relay::take_server(&mut head);
                check.and_then(|()| check_response_head(call, &head))
            }
        };
        check.map(|()| (head, body))
    });
    let (head, body) = match checked {
        Ok(parts) => parts,
        Err(failure) => {
            if let Some(run) = run.filter(|_| failure == Failure::Broken) {
                run.broke();
            }
            return Err(failure);
        }
    };
    Ok(UpstreamResponse {
        selected,
        _reservation: reservation,
        head,
        body,
        connection,
        prefetched: Prefetched::Nothing,
        in_progress: progress.entry.take(),
        run,
    })
}

/// Records that no connection to a target could be opened, or that it was lost without an answer.
fn record_lost_connection(context: AttemptContext<'_>, target: &Target) {
    let AttemptContext { gateway, call, .. } = context;
    if let Target::Server(incarnation) = target {
        context.tally.count_lost_connection();
        reach::record_failure(gateway, &call.service, &incarnation.server);
    }
}

/// Returns `HelperFailed` in place of a refusal that names a helper, which is then left out.
fn blame_helper(
    context: AttemptContext<'_>,
    helpers: &[EngineEndpoint],
    head: &Parts,
    failure: Failure,
) -> Failure {
    let named = text_header(&head.headers, headers::AT_SERVER).unwrap_or_default();
    let is_named = |helper: &&EngineEndpoint| {
        helper.server.as_str() == named || helper.address.to_string() == named
    };
    match helpers.iter().find(is_named) {
        Some(helper) if failure == Failure::Refused => {
            let AttemptContext { gateway, tally, .. } = context;
            tally.exclude_server(&helper.server);
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.record_outcome(gateway.now(), &helper.server, ServerOutcome::Failed);
            Failure::HelperFailed
        }
        _ => failure,
    }
}

/// Records what the head of an answer shows of its server.
fn record_head(
    gateway: &Gateway,
    call: &CallerRequest,
    incarnation: &Incarnation,
    connection: &Connection,
    requested_at: Moment,
    head: &Parts,
    check: Result<(), Failure>,
) {
    if connection.is_new {
        gateway.reach.borrow_mut().record_answer(&call.service);
    }
    let is_refusal = check == Err(Failure::Refused);
    if check.is_ok() || is_refusal {
        let answer = AnswerHead {
            incarnation,
            requested_at,
            headers: &head.headers,
            is_refusal,
        };
        rate_limits::record_answer(gateway, call, &answer);
    }
    if check.is_ok() {
        crash_watch::record_alive(gateway, incarnation);
        record_reported_load(gateway, &incarnation.server, &head.headers);
    }
}

/// Reserves memory at the helpers if the placement needs it.
///
/// # Errors
/// Returns `NoMemory` if a helper refuses or does not answer, which is recorded for its health.
async fn reserve_helper_memory(
    gateway: &Rc<Gateway>,
    selected: &SelectedServers,
) -> Result<Option<Reservation>, Failure> {
    if selected.reserved_tokens == 0 {
        return Ok(None);
    }
    let reserved =
        Reservation::open(gateway, selected.helpers.clone(), selected.reserved_tokens).await;
    let failures = match reserved {
        Ok(reservation) => return Ok(Some(reservation)),
        Err(failures) => failures,
    };
    let mut fleet = gateway.fleet.borrow_mut();
    for failure in failures {
        fleet.record_outcome(gateway.now(), &failure.server, failure.outcome);
    }
    Err(Failure::NoMemory)
}

/// Returns the scheduling priority at the engine, from 0 (first) to 9.
fn engine_priority(profile: &EngineProfile, prompt_tokens: u64) -> u8 {
    let prefill_ms = profile.prefill_time(prompt_tokens);
    let priority = ENGINE_PRIORITIES
        .iter()
        .find(|(max_ms, _)| prefill_ms < *max_ms);
    priority.map_or(9, |(_, priority)| *priority)
}

/// Returns the time without a response head after which a hedge is sent to another server.
///
/// It follows from the nominal pace: a server known to be slow is hedged as soon as any other.
pub(super) fn hang_timeout(call: &CallerRequest, selected: &SelectedServers) -> Duration {
    let expected = selected.nominal_wait.unwrap_or_default() * 2;
    MIN_HANG_TIMEOUT.max(expected + call.route.objective * 2)
}

/// Checks that a response comes from the selected server and answers this attempt.
///
/// A response that repeats another attempt's id is a late one and says nothing of this request.
/// Status 421 or the not-executed header means that the request did not run. Any other response
/// must repeat the attempt id and have no content encoding, and a success must carry the seal.
fn check_response_head(call: &CallerRequest, head: &Parts) -> Result<(), Failure> {
    let attempt = head.headers.get(headers::ATTEMPT);
    if attempt.is_some_and(|attempt| *attempt != call.attempt_id) {
        return Err(Failure::Broken);
    }
    if head.headers.contains_key(headers::NOT_RUN) {
        let replaced = head.status.as_u16() == 421;
        return Err(if replaced {
            Failure::Replaced
        } else {
            Failure::Refused
        });
    }
    if head.status.as_u16() == 421 {
        return Err(Failure::Replaced);
    }
    let has_seal = head.headers.contains_key(headers::RESPONSE_SEAL);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if attempt.is_none() || encoded || (head.status.is_success() && !has_seal) {
        return Err(Failure::Broken);
    }
    Ok(())
}

/// Records the running and waiting requests that a server reports with its response.
fn record_reported_load(gateway: &Gateway, server: &ServerId, head: &HeaderMap) {
    let load = text_header(head, headers::LOAD).and_then(headers::parse_load);
    if let Some(load) = load {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.record_load(gateway.now(), server, load.running + load.waiting);
    }
}

/// Reads a body to its end; `None` if it is cut, too large or late.
pub(super) async fn read_whole(
    gateway: &Gateway,
    body: &mut Incoming,
    time_left: Duration,
) -> Option<Bytes> {
    let reading = read_within_budget(&gateway.buffer_budget, body);
    timeout(time_left, reading).await.ok()?
}

/// Reads a body to its end, as far as the VM's buffers allow.
async fn read_within_budget(budget: &BufferBudget, body: &mut Incoming) -> Option<Bytes> {
    let mut share = BufferShare::new(budget);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let bytes = frame.ok()?.into_data().unwrap_or_default();
        share.grow(whole.len() + bytes.len()).ok()?;
        whole.extend_from_slice(&bytes);
    }
    Some(whole.freeze())
}

/// Updates the health of the target and the log after a failed attempt.
pub(super) fn record_failure(context: AttemptContext<'_>, target: &Target, failure: Failure) {
    let AttemptContext { gateway, call, .. } = context;
    match target {
        Target::Server(incarnation) => record_server_failure(gateway, &incarnation.server, failure),
        Target::Vm { vm, .. } => relay::record_failure(gateway, call, vm, failure),
    }
    info!(gateway.log, "Attempt failed"; "request" => call.attempt_id_text(),
        "content" => %call.content.digest(), "server" => %target, "born" => target.born(),
        "failure" => ?failure, "ran" => context.tally.may_have_run(),
        "after_ms" => gateway.now().since(call.received_at).as_millis(),
        "manifest" => call.manifest_number);
}

/// Updates the health of a server after a failed attempt.
fn record_server_failure(gateway: &Gateway, server: &ServerId, failure: Failure) {
    let now = gateway.now();
    if let Some(outcome) = failure.health_outcome() {
        if failure == Failure::Broken {
            placement_sync::record_request_outcome(gateway, server, outcome);
        } else {
            let mut fleet = gateway.fleet.borrow_mut();
            fleet.record_outcome(now, server, outcome);
        }
    }
    if failure == Failure::Replaced {
        gateway.fleet.borrow_mut().mark_replaced(now, server);
    }
}

/// Whether a response has a length or chunks, so that its end is told from a cut.
pub(super) fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// Pools the connection of a completed response, unless the server closes it.
pub(super) fn return_to_pool(gateway: &Gateway, connection: Connection, head: &Parts) {
    let closes = text_header(&head.headers, CONNECTION.as_str())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes || !is_framed(head) {
        return;
    }
    let server_timeout = text_header(&head.headers, "keep-alive")
        .and_then(headers::parse_keep_alive)
        .map(Duration::from_secs);
    gateway.pool.put_back(connection, server_timeout);
}

/// Builds the response to the caller from a server's response head, without hop-by-hop headers.
pub(super) fn forwarded_response<B>(target: &Target, head: &Parts, body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    if let Target::Server(incarnation) = target {
        let origin = Origin::Server(incarnation.server.to_string());
        response.extensions_mut().insert(origin);
    }
    let mut kept_headers = head.headers.clone();
    super::request::strip_hop_by_hop(&mut kept_headers);
    relay::remove_headers(&mut kept_headers);
    kept_headers.remove(hyper::header::CONTENT_LENGTH);
    *response.headers_mut() = kept_headers;
    response
}
