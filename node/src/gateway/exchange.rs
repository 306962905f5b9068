//! One attempt at a request: connects, sends it and checks the response head.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use merlinrudder_core::outcome::RunState;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::orders;
use slog::debug;
use tokio::time::timeout;

use super::answer_head::{blame_helper, check_response_head, is_framed, record_head};
use super::buffer_budget::{BufferBudget, BufferShare, NoRoom};
use super::crash_watch::RunGuard;
use super::failure::Failure;
use super::hedge::AttemptContext;
use super::open_requests::Phase;
use super::reach;
use super::relay;
use super::request::{CallerRequest, ServerHeaders};
use super::reservation::Reservation;
use super::selection::SelectedServers;
use super::server_notices;
use super::server_probe;
use super::state::Gateway;
use super::tally::{InProgress, Tally};
use super::target::Target;
use super::upstream::{Connection, SendFailure};

/// Lower limit of the hang timeout, after which a missing response head is hedged.
const MIN_HANG_TIMEOUT: Duration = Duration::from_millis(900);
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

/// A body that was read to its end, with its part of the VM's memory for responses.
#[derive(Debug)]
pub(super) struct WholeBody {
    pub(super) bytes: Bytes,
    pub(super) share: BufferShare,
}

/// What of a body was read before its response was chosen.
#[derive(Debug, Default)]
pub(super) enum Prefetched {
    #[default]
    Nothing,
    /// The beginning of a stream with its first event.
    Beginning(Bytes),
    /// The whole body of a plain call.
    Whole(WholeBody),
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
    if is_withdrawn(gateway, &selected) {
        return Err(Failure::Withdrawn);
    }
    let reservation = reserve_helper_memory(gateway, &selected).await?;
    let reservation_id = reservation.as_ref().map(|r| r.id.as_str());
    let helpers = selected.helpers.iter();
    let helpers: Vec<_> = helpers
        .map(|helper| orders::helper_entry(helper.address, reservation_id))
        .collect();
    let mut connection = open_connection(context, &selected).await?;
    let priority = call.engine_profile.as_ref().zip(call.token_counts);
    let priority =
        priority.map(|(profile, tokens)| call.standing.engine_priority(profile, tokens.prompt));
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
    if is_withdrawn(gateway, &selected) {
        return Err(Failure::Withdrawn);
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
        check_head(context, &mut selected, &connection, now, &mut head).map(|()| (head, body))
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

/// Whether a selected server takes no requests any more, by its own word or an evacuation.
///
/// The selection may be old: the VM may have been suspended since, or waited for helpers.
fn is_withdrawn(gateway: &Gateway, selected: &SelectedServers) -> bool {
    let lead = selected.target.incarnation();
    if lead.is_some_and(|lead| server_notices::is_withdrawn(gateway, lead)) {
        return true;
    }
    let fleet = gateway.fleet.borrow();
    let helpers = selected.helpers.iter().map(|helper| &helper.server);
    let mut servers = helpers.chain(lead.map(|lead| &lead.server));
    servers.any(|server| fleet.is_evacuated(server))
}

/// Opens a connection for an attempt, or takes an idle one.
///
/// The server may close an idle connection just as a request is sent on it, and then it is unknown
/// whether the request ran. One that may run only once gets a new connection.
async fn open_connection(
    context: AttemptContext<'_>,
    selected: &SelectedServers,
) -> Result<Connection, Failure> {
    let AttemptContext { gateway, call, .. } = context;
    let require_new = !call.route.kind.is_idempotent();
    let connecting = gateway.pool.connect(selected.address, require_new).await;
    let connection = connecting.map_err(|_error| {
        record_lost_connection(context, &selected.target);
        Failure::Unreachable
    })?;
    // After a failure, a connection that is reset at once must not cost another attempt.
    if context.tally.has_failed() && connection.is_new && !connection.stays_open().await {
        record_lost_connection(context, &selected.target);
        return Err(Failure::Unreachable);
    }
    Ok(connection)
}

/// Checks a response head and records what it shows of its server.
fn check_head(
    context: AttemptContext<'_>,
    selected: &mut SelectedServers,
    connection: &Connection,
    requested_at: Moment,
    head: &mut Parts,
) -> Result<(), Failure> {
    let AttemptContext { gateway, call, .. } = context;
    match &mut selected.target {
        Target::Server(incarnation) => {
            let check = check_response_head(call, connection, head);
            record_head(
                gateway,
                call,
                incarnation,
                connection,
                requested_at,
                head,
                check,
            );
            check.map_err(|failure| blame_helper(context, &selected.helpers, head, failure))
        }
        Target::Vm { server, .. } => {
            let check = relay::check_answer(&head.headers);
            // The other VM has told of what the server says of itself.
            *server = relay::take_server(head);
            check.and_then(|()| check_response_head(call, connection, head))
        }
    }
}

/// Records that no connection to a target could be opened, or that it was lost without an answer.
fn record_lost_connection(context: AttemptContext<'_>, target: &Target) {
    let AttemptContext { gateway, call, .. } = context;
    if let Target::Server(incarnation) = target {
        context.tally.count_lost_connection();
        reach::record_failure(gateway, &call.service, &incarnation.server);
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

/// Returns the time without a response head after which a hedge is sent to another server.
///
/// It follows from the nominal pace: a server known to be slow is hedged as soon as any other.
pub(super) fn hang_timeout(call: &CallerRequest, selected: &SelectedServers) -> Duration {
    let expected = selected.nominal_wait.unwrap_or_default() * 2;
    MIN_HANG_TIMEOUT.max(expected + call.route.objective * 2)
}

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyError {
    /// The body was cut, too large or late.
    Broken,
    /// This VM had no memory for it.
    NoRoom,
}

impl From<NoRoom> for BodyError {
    fn from(error: NoRoom) -> Self {
        match error {
            NoRoom::TooLarge => Self::Broken,
            NoRoom::Exhausted => Self::NoRoom,
        }
    }
}

/// Reads the body of a response to its end.
///
/// Where only the closed connection marks the end, the body is broken if its server has ended.
pub(super) async fn read_answer(
    gateway: &Gateway,
    response: &mut UpstreamResponse,
    time_left: Duration,
) -> Result<WholeBody, BodyError> {
    let is_certain = is_framed(&response.head) || response.body.is_end_stream();
    let whole = read_whole(gateway, &mut response.body, time_left).await?;
    if !is_certain && server_probe::has_ended(gateway, &response.selected).await {
        return Err(BodyError::Broken);
    }
    Ok(whole)
}

/// Reads a body to its end.
async fn read_whole(
    gateway: &Gateway,
    body: &mut Incoming,
    time_left: Duration,
) -> Result<WholeBody, BodyError> {
    let reading = read_within_budget(&gateway.buffer_budget, body);
    let read = timeout(time_left, reading).await;
    read.unwrap_or(Err(BodyError::Broken))
}

/// Reads a body to its end, as far as the VM's buffers allow.
async fn read_within_budget(
    budget: &Rc<BufferBudget>,
    body: &mut Incoming,
) -> Result<WholeBody, BodyError> {
    let mut share = BufferShare::new(budget);
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| BodyError::Broken)?;
        let bytes = frame.into_data().unwrap_or_default();
        share.resize(whole.len() + bytes.len()).await?;
        whole.extend_from_slice(&bytes);
    }
    let bytes = whole.freeze();
    Ok(WholeBody { bytes, share })
}
