//! One attempt at a request: a choice of servers, a connection, the head of the answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap};
use hyper::http::response::Parts;
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::health::Served;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::outcome::{Refusal, RefusalReason, RetryReason, RunState};
use merlinrudder_core::placing::judging::Verdict;
use merlinrudder_core::placing::ledger::PlacedPrompt;
use merlinrudder_core::placing::{Placement, PromptAsk};
use merlinrudder_platform::{headers, orders};
use slog::{debug, info};
use tokio::time::{sleep, timeout};

use super::refusal::SOON;
use super::request::{CallerRequest, Outgoing, text_header};
use super::reservation::{Holder, Reservation};
use super::sharing::{self, OwnPlacement};
use super::state::Gateway;
use super::upstream::{Connection, SendFailure};
use crate::metrics;

/// Most refusals by servers before a request is refused here.
const MAX_REFUSALS: u32 = 5;
/// Time before a request that a server refused is sent to another.
const REFUSED_WAIT: Duration = Duration::from_millis(10);
/// Mean time after which a long prompt that waits for room is placed again.
const ROOM_WAIT: Duration = Duration::from_millis(25);
/// Shortest time in which a first event is expected before the engine counts as hung.
const MIN_HANG: Duration = Duration::from_millis(900);
/// Ranks at an engine by the time to read the prompt alone, in milliseconds: shorter goes first.
const RANKS: [(f64, u8); 3] = [(80.0, 2), (700.0, 4), (f64::INFINITY, 6)];

/// The servers of one attempt; their load counts until this is dropped.
#[derive(Debug)]
pub(super) struct Chosen {
    pub(super) server: ServerId,
    address: SocketAddr,
    helpers: Vec<Holder>,
    /// Tokens of memory that each helper sets aside; 0 for none.
    held: u64,
    /// Predicted time to the first event.
    pub(super) predicted: Option<Duration>,
    pub(super) placement: Option<OwnPlacement>,
    _call: Option<CallGuard>,
}

/// Counts a plain call at a server while it lives.
#[derive(Debug)]
struct CallGuard {
    gateway: Rc<Gateway>,
    server: ServerId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.gateway.fleet.borrow_mut().call_ended(&self.server);
    }
}

impl Chosen {
    /// Returns the number of engines that read further parts.
    pub(super) fn helpers(&self) -> usize {
        self.helpers.len()
    }
}

/// An answer whose head came.
#[derive(Debug)]
pub(super) struct Opened {
    pub(super) chosen: Chosen,
    pub(super) _reservation: Option<Reservation>,
    pub(super) head: Parts,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
}

/// Why an attempt brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// No connection was made.
    Unreachable,
    /// The server refused it and says that it did not run it.
    Refused,
    /// Another server has the address.
    Replaced,
    /// A helper has no memory left.
    NoMemory,
    /// The connection broke, or what came is no answer to this request.
    Broken,
    /// Nothing came for far longer than expected.
    Hung,
    /// The time of the request is over.
    Overdue,
}

impl Failure {
    const fn run(self) -> RunState {
        match self {
            Self::Unreachable | Self::Refused | Self::Replaced | Self::NoMemory => RunState::NotRun,
            Self::Broken | Self::Hung | Self::Overdue => RunState::MayHaveRun,
        }
    }

    /// Returns what it says of the server; a request that had little time says nothing.
    const fn served(self) -> Option<Served> {
        match self {
            Self::Unreachable => Some(Served::Unreachable),
            Self::Refused => Some(Served::Full),
            Self::Replaced | Self::Broken | Self::Hung => Some(Served::Badly),
            Self::NoMemory | Self::Overdue => None,
        }
    }
}

/// The attempts at one request so far.
#[derive(Debug)]
pub(super) struct Attempts {
    /// Servers that are not asked again.
    pub(super) tried: Vec<ServerId>,
    /// Attempts that may have run.
    ran: u32,
    refusals: u32,
}

impl Attempts {
    pub(super) fn new() -> Self {
        Self {
            tried: Vec::new(),
            ran: 0,
            refusals: 0,
        }
    }

    pub(super) fn run_state(&self) -> RunState {
        if self.ran == 0 {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }

    /// Makes attempts until one brings the head of an answer.
    pub(super) async fn open(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &CallerRequest,
        last_event: Option<u64>,
    ) -> Result<Opened, Refusal> {
        loop {
            if call.left(gateway.now()).is_zero() {
                return Err(self.refusal(RefusalReason::DeadlinePassed));
            }
            let chosen = match choose(gateway, call, &self.tried) {
                Choice::Chosen(chosen) => chosen,
                Choice::Wait => {
                    sleep(ROOM_WAIT.mul_f64(0.5 + fastrand::f64())).await;
                    continue;
                }
                Choice::Refuse => return Err(self.refusal(RefusalReason::QueueFull)),
                Choice::Nobody => return Err(self.refusal(RefusalReason::NoServer)),
            };
            let server = chosen.server.clone();
            let failure = match attempt(gateway, call, chosen, last_event, self.repeats(call)).await
            {
                Ok(opened) => return Ok(opened),
                Err(failure) => failure,
            };
            self.note(gateway, call, &server, failure);
            self.next(gateway, call, failure)?;
            if matches!(failure, Failure::Refused | Failure::NoMemory) {
                sleep(REFUSED_WAIT).await;
            }
        }
    }

    /// Whether another attempt may follow the one in progress.
    ///
    /// Where none may, a silent server is waited for to the end.
    pub(super) fn repeats(&self, call: &CallerRequest) -> bool {
        call.route.kind.is_idempotent() && self.ran + 1 < call.route.attempts
    }

    /// Decides whether another attempt may follow one that broke after it may have run.
    pub(super) fn may_repeat(&mut self, gateway: &Gateway, call: &CallerRequest) -> bool {
        let idempotent = call.route.kind.is_idempotent();
        let in_time = !call.left(gateway.now()).is_zero();
        self.ran += 1;
        idempotent
            && in_time
            && self.ran < call.route.attempts
            && gateway.spend_retry(&call.service)
    }

    fn next(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        failure: Failure,
    ) -> Result<(), Refusal> {
        if failure.run() == RunState::MayHaveRun {
            if self.may_repeat(gateway, call) {
                metrics::count_retry(RetryReason::IdempotentBroken);
                return Ok(());
            }
            let reason = match failure {
                Failure::Overdue => RefusalReason::DeadlinePassed,
                _ => RefusalReason::ServerFailed,
            };
            return Err(self.refusal(reason));
        }
        self.refusals += 1;
        // A refusal reached the server, so sending again counts as a retry there.
        let free = matches!(failure, Failure::Unreachable | Failure::NoMemory)
            || gateway.spend_retry(&call.service);
        if self.refusals >= MAX_REFUSALS || !free {
            return Err(self.refusal(RefusalReason::ServerRefused));
        }
        let reason = if failure == Failure::Unreachable {
            RetryReason::ConnectFailed
        } else {
            RetryReason::ServerRefused
        };
        metrics::count_retry(reason);
        Ok(())
    }

    fn refusal(&self, reason: RefusalReason) -> Refusal {
        let run = self.run_state();
        Refusal {
            reason,
            run,
            retry_after: (run == RunState::NotRun).then_some(SOON),
        }
    }

    fn note(
        &mut self,
        gateway: &Gateway,
        call: &CallerRequest,
        server: &ServerId,
        failure: Failure,
    ) {
        let now = gateway.now();
        if failure != Failure::NoMemory {
            self.tried.push(server.clone());
        }
        if let Some(result) = failure.served() {
            if failure == Failure::Broken {
                sharing::note_served(gateway, server, result);
            } else {
                gateway.fleet.borrow_mut().served(now, server, result);
            }
        }
        if failure == Failure::Replaced {
            gateway.fleet.borrow_mut().replaced(now, server);
        }
        info!(gateway.log, "Attempt failed"; "request" => call.id_text(), "server" => %server,
            "failure" => ?failure, "after_ms" => now.since(call.began).as_millis(),
            "manifest" => call.manifest);
    }
}

/// What to do with a request that needs servers.
enum Choice {
    Chosen(Chosen),
    /// Ask again in a moment.
    Wait,
    /// Others would lose more than this caller gains.
    Refuse,
    Nobody,
}

/// Chooses servers for a request; engines by their model, plain servers by their load.
fn choose(gateway: &Rc<Gateway>, call: &CallerRequest, tried: &[ServerId]) -> Choice {
    if let Some((profile, tokens)) = call.profile.as_ref().zip(call.tokens) {
        return choose_engines(gateway, call, profile, tokens, tried);
    }
    choose_server(gateway, call, tried).map_or(Choice::Nobody, Choice::Chosen)
}

fn choose_server(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    tried: &[ServerId],
) -> Option<Chosen> {
    let mut fleet = gateway.fleet.borrow_mut();
    let server = fleet.choose_server(gateway.now(), &call.service, tried)?;
    let address = fleet.directory.get(&server)?.address;
    fleet.call_began(&server);
    let guard = CallGuard {
        gateway: Rc::clone(gateway),
        server: server.clone(),
    };
    Some(Chosen {
        server,
        address,
        helpers: Vec::new(),
        held: 0,
        predicted: None,
        placement: None,
        _call: Some(guard),
    })
}

fn choose_engines(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    profile: &EngineProfile,
    tokens: headers::TokenCounts,
    tried: &[ServerId],
) -> Choice {
    let ask = prompt_ask(gateway, call, profile, tokens);
    let fleet = gateway.fleet.borrow();
    let chosen = fleet.choose_engines(gateway.now(), &call.service, profile, &ask, tried);
    let Some((placement, verdict)) = chosen else {
        return Choice::Nobody;
    };
    match verdict {
        Verdict::Place => {}
        Verdict::Wait => return Choice::Wait,
        Verdict::Refuse => return Choice::Refuse,
    }
    let holder = |id: &ServerId| {
        let address = fleet.directory.get(id)?.address;
        let server = id.clone();
        Some(Holder { server, address })
    };
    let Some(lead) = holder(&placement.lead) else {
        return Choice::Nobody;
    };
    let helpers = placement.helpers.iter().filter_map(holder).collect();
    drop(fleet);
    Choice::Chosen(enter(gateway, call, &ask, placement, &lead, helpers))
}

/// Enters a placement, so that everybody sees it.
fn enter(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    ask: &PromptAsk,
    placement: Placement,
    lead: &Holder,
    helpers: Vec<Holder>,
) -> Chosen {
    let placed = PlacedPrompt {
        lead: placement.lead.clone(),
        helpers: placement.helpers,
        held: placement.held,
        prompt: ask.prompt,
        answer: ask.answer,
        asked: call.began,
        objective: ask.objective,
        pause: ask.pause,
    };
    let own = OwnPlacement::new(gateway, &call.service, placed);
    Chosen {
        server: placement.lead,
        address: lead.address,
        helpers,
        held: placement.held,
        predicted: Some(placement.first),
        placement: Some(own),
        _call: None,
    }
}

fn prompt_ask(
    gateway: &Gateway,
    call: &CallerRequest,
    profile: &EngineProfile,
    tokens: headers::TokenCounts,
) -> PromptAsk {
    let now = gateway.now();
    let pause = match call.route.kind {
        CallKind::Stream { pause, .. } => pause,
        CallKind::Idempotent | CallKind::Once => call.route.timeout,
    };
    PromptAsk {
        prompt: tokens.prompt,
        answer: tokens.answer.min(profile.usual_answer * 2),
        waited: now.since(call.began),
        objective: call.route.objective,
        pause,
        left: call.left(now),
    }
}

async fn attempt(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    chosen: Chosen,
    last_event: Option<u64>,
    repeats: bool,
) -> Result<Opened, Failure> {
    let reservation = reserve(gateway, &chosen).await?;
    let ticket = reservation.as_ref().map(|r| r.ticket.as_str());
    let helpers = chosen.helpers.iter();
    let helpers: Vec<_> = helpers.map(|h| orders::helper(h.address, ticket)).collect();
    // A kept connection may end just as a request goes out, and then nobody knows whether it ran.
    let fresh = call.route.kind == CallKind::Once;
    let connecting = gateway.pool.connect(chosen.address, fresh).await;
    let mut connection = connecting.map_err(|_error| Failure::Unreachable)?;
    let rank = call.profile.as_ref().zip(call.tokens);
    let rank = rank.map(|(profile, tokens)| rank_of(profile, tokens.prompt));
    let outgoing = Outgoing {
        server: chosen.server.as_str(),
        helpers: helpers.join(","),
        rank,
        last_event: last_event.or(call.last_event),
    };
    let now = gateway.now();
    let request = call.outgoing(now, &outgoing);
    let left = call.left(now);
    let wait = if repeats {
        hang_time(call, &chosen).min(left)
    } else {
        left
    };
    let sent = timeout(wait, connection.send(request)).await;
    let response = match sent {
        Err(_elapsed) if wait == left => return Err(Failure::Overdue),
        Err(_elapsed) => return Err(Failure::Hung),
        Ok(Err(failure)) => {
            debug!(gateway.log, "Sending failed"; "request" => call.id_text(),
                "server" => %chosen.server, "error" => ?failure);
            return Err(match failure {
                SendFailure::NotSent(_) => Failure::Unreachable,
                SendFailure::MayHaveRun(_) => Failure::Broken,
            });
        }
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    check_head(call, &head)?;
    note_head(gateway, &chosen, &head.headers);
    Ok(Opened {
        chosen,
        _reservation: reservation,
        head,
        body,
        connection,
    })
}

/// Sets memory aside at the helpers, where the placement asks for it.
async fn reserve(gateway: &Rc<Gateway>, chosen: &Chosen) -> Result<Option<Reservation>, Failure> {
    if chosen.held == 0 {
        return Ok(None);
    }
    let opened = Reservation::open(gateway, chosen.helpers.clone(), chosen.held).await;
    let refused = match opened {
        Ok(reservation) => return Ok(Some(reservation)),
        Err(refused) => refused,
    };
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.served(gateway.now(), &refused, Served::Full);
    Err(Failure::NoMemory)
}

fn rank_of(profile: &EngineProfile, prompt: u64) -> u8 {
    let time = profile.read_time(prompt);
    let rank = RANKS.iter().find(|(most, _)| time < *most);
    rank.map_or(9, |(_, rank)| *rank)
}

/// Returns the time after which a server that says nothing counts as hung.
fn hang_time(call: &CallerRequest, chosen: &Chosen) -> Duration {
    let usual = chosen.predicted.unwrap_or_default() * 2;
    MIN_HANG.max(usual + call.route.objective * 2)
}

/// Tells an answer to this request from anything else that may come on the connection.
fn check_head(call: &CallerRequest, head: &Parts) -> Result<(), Failure> {
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
    let own = head.headers.get(headers::ATTEMPT) == Some(&call.id);
    let sealed = head.headers.contains_key(headers::SEAL);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if !own || encoded || (head.status.is_success() && !sealed) {
        return Err(Failure::Broken);
    }
    Ok(())
}

fn note_head(gateway: &Gateway, chosen: &Chosen, head: &HeaderMap) {
    let told = text_header(head, headers::LOAD).and_then(headers::told_load);
    if let Some(told) = told {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.told_load(gateway.now(), &chosen.server, told.running + told.waiting);
    }
}

/// Keeps the connection of an answer that came whole, unless the server closes it.
pub(super) fn keep_connection(gateway: &Gateway, connection: Connection, head: &HeaderMap) {
    let closes = text_header(head, CONNECTION.as_str())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return;
    }
    let stated = text_header(head, "keep-alive")
        .and_then(headers::keep_alive_seconds)
        .map(Duration::from_secs);
    gateway.pool.keep(connection, stated);
}

/// Makes the head of the caller's answer from a server's.
pub(super) fn passed_on<B>(head: &Parts, body: B) -> Response<B> {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    let mut kept = head.headers.clone();
    super::request::strip_connection(&mut kept);
    kept.remove(hyper::header::CONTENT_LENGTH);
    *answer.headers_mut() = kept;
    answer
}
