//! One attempt at a request: a connection, the request, the head of the answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap};
use hyper::http::response::Parts;
use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::health::ServerOutcome;
use merlinrudder_core::outcome::RunState;
use merlinrudder_platform::{headers, orders};
use slog::debug;
use tokio::time::timeout;

use super::choosing::Chosen;
use super::request::{CallerRequest, Outgoing, text_header};
use super::reservation::Reservation;
use super::state::Gateway;
use super::upstream::{Connection, SendFailure};

/// Shortest time in which a first event is expected before the engine counts as hung.
const MIN_HANG: Duration = Duration::from_millis(900);
/// Ranks at an engine by the time to read the prompt alone, in milliseconds: shorter goes first.
const RANKS: [(f64, u8); 3] = [(80.0, 2), (700.0, 4), (f64::INFINITY, 6)];

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
pub(super) enum Failure {
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
    pub(super) const fn run(self) -> RunState {
        match self {
            Self::Unreachable | Self::Refused | Self::Replaced | Self::NoMemory => RunState::NotRun,
            Self::Broken | Self::Hung | Self::Overdue => RunState::MayHaveRun,
        }
    }

    /// Returns what it says of the server; a request that had little time says nothing.
    pub(super) const fn served(self) -> Option<ServerOutcome> {
        match self {
            Self::Unreachable => Some(ServerOutcome::Unreachable),
            Self::Refused => Some(ServerOutcome::Full),
            Self::Replaced | Self::Broken | Self::Hung => Some(ServerOutcome::Failed),
            Self::NoMemory | Self::Overdue => None,
        }
    }
}

/// Makes one attempt; `repeats` tells whether another may follow it.
pub(super) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    chosen: Chosen,
    last_event: Option<u64>,
    repeats: bool,
) -> Result<Opened, Failure> {
    let reservation = reserve(gateway, &chosen).await?;
    let ticket = reservation.as_ref().map(|r| r.ticket.as_str());
    let helpers = chosen.helpers.iter();
    let helpers: Vec<_> = helpers
        .map(|h| orders::helper_entry(h.address, ticket))
        .collect();
    // A kept connection may end just as a request goes out, and then nobody knows whether it ran.
    let fresh = call.route.kind == CallKind::AtMostOnce;
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
    fleet.record_outcome(gateway.now(), &refused, ServerOutcome::Full);
    Err(Failure::NoMemory)
}

fn rank_of(profile: &EngineProfile, prompt: u64) -> u8 {
    let time = profile.prefill_time(prompt);
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
    let sealed = head.headers.contains_key(headers::RESPONSE_SEAL);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if !own || encoded || (head.status.is_success() && !sealed) {
        return Err(Failure::Broken);
    }
    Ok(())
}

fn note_head(gateway: &Gateway, chosen: &Chosen, head: &HeaderMap) {
    let told = text_header(head, headers::LOAD).and_then(headers::parse_load);
    if let Some(told) = told {
        let mut fleet = gateway.fleet.borrow_mut();
        fleet.record_load(gateway.now(), &chosen.server, told.running + told.waiting);
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
        .and_then(headers::parse_keep_alive)
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
