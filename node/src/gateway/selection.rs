//! Selects the servers of an attempt and accounts for its load on them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::directory::ServerRecord;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::decision::{PlacementDecision, Weighed};
use merlinrudder_core::engine_placement::loads::{EngineLoad, PlacedPrompt};
use merlinrudder_core::engine_placement::{Placement, PlacementRequest};
use merlinrudder_core::fleet::NoChoice;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::rank::pause_objective;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::headers;

use super::capacity::{Awaited, PendingSample};
use super::cold;
use super::placement_sync::LocalPlacement;
use super::rate_limits;
use super::relay::{self, RelayGuard};
use super::request::CallerRequest;
use super::reservation::EngineEndpoint;
use super::state::Gateway;
use super::tally::Tally;
use super::target::{Excluded, Target};
use super::waiting;

/// Servers selected for one attempt.
///
/// The attempt counts as load of these servers until this is dropped.
#[derive(Debug)]
pub(super) struct SelectedServers {
    /// Server that receives the request, or another VM that selects one.
    ///
    /// Of several engines, it is the one that generates the output.
    pub(super) target: Target,
    pub(super) address: SocketAddr,
    /// Engines that prefill further parts of the prompt.
    pub(super) helpers: Vec<EngineEndpoint>,
    /// Engine memory, in tokens, to reserve at each helper; 0 if none is needed.
    pub(super) reserved_tokens: u64,
    /// Time of the selection.
    pub(super) selected_at: Moment,
    /// Predicted time from `selected_at` to the first event.
    ///
    /// `None` if the server was selected by its running requests.
    pub(super) predicted_wait: Option<Duration>,
    /// The same time if all engines had their nominal pace.
    pub(super) nominal_wait: Option<Duration>,
    /// Shows the capacity of the servers once they answer; `None` if it is not learned from this.
    pub(super) sample: Option<PendingSample>,
    /// Entry of the attempt in the load table of the engines.
    ///
    /// `None` if the server was selected by its running requests.
    pub(super) placement: Option<LocalPlacement>,
    /// Counts the request as running at the server; `None` with a `placement`.
    _call_guard: Option<RunningCallGuard>,
    /// Counts the request as in progress by way of another VM.
    _relay_guard: Option<RelayGuard>,
}

impl SelectedServers {
    /// Selects another VM, which selects the servers.
    pub(super) fn by_way_of(
        gateway: &Gateway,
        target: Target,
        address: SocketAddr,
        guard: RelayGuard,
    ) -> Self {
        Self {
            target,
            address,
            helpers: Vec::new(),
            reserved_tokens: 0,
            selected_at: gateway.now(),
            predicted_wait: None,
            nominal_wait: None,
            sample: None,
            placement: None,
            _call_guard: None,
            _relay_guard: Some(guard),
        }
    }
}

/// Counts a request as running at a server until this is dropped.
#[derive(Debug)]
struct RunningCallGuard {
    gateway: Rc<Gateway>,
    server: ServerId,
}

impl Drop for RunningCallGuard {
    fn drop(&mut self) {
        self.gateway.fleet.borrow_mut().call_ended(&self.server);
    }
}

/// Result of a selection.
pub(super) enum Selection {
    /// Send the request to these servers.
    Selected(Box<SelectedServers>),
    /// No engine should take the prompt now; select again after a short wait.
    Wait(Weighed),
    /// No engines have room for the prompt now; select again after a short wait.
    AwaitRoom,
    /// Refuse the prompt: other requests would lose more than its caller gains.
    Refuse(Weighed),
    /// No engines have room for the prompt soon enough.
    NoRoom,
    /// All servers have limits on their request rates; a permit for one of them is expected.
    AwaitPermit,
    /// All servers have limits on their request rates; none of them takes the request soon.
    RateLimited,
    /// All servers are cold; this VM has a turn at one of them within the time that the request may wait.
    AwaitTurn,
    /// All servers are cold; the request may come back after this time.
    Cold(Duration),
    /// All servers want no requests; holds the shortest time left.
    HeldBack(Duration),
    /// This VM is cut off from the service, and no other VM reaches it.
    NoPath,
    /// No server is left to select.
    NoServer,
}

/// Selects the servers of the next attempt, none of them in `excluded`.
///
/// A VM that is cut off from the service selects another VM, and so does a request that found no
/// connection several times. A request of another VM is not passed on.
pub(super) fn select_servers(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    tally: &Tally,
    excluded: &Excluded,
    is_waiting: bool,
) -> Selection {
    let is_cut_off = gateway.reach.borrow().is_cut_off(&call.service);
    if call.relayed.is_none() && (is_cut_off || tally.prefers_relay()) {
        if let Some(selected) = relay::select(gateway, call, excluded) {
            return Selection::Selected(Box::new(selected));
        }
        if is_cut_off && !gateway.relays.borrow().is_empty() {
            return Selection::NoPath;
        }
    } else if is_cut_off {
        return Selection::NoPath;
    }
    let selection = select_reached(gateway, call, tally, &excluded.here(), is_waiting);
    let may_ask = call.relayed.is_none() && !excluded.unreached.is_empty();
    if matches!(selection, Selection::NoServer) && may_ask {
        let selected = relay::select(gateway, call, excluded);
        let selected = selected.map(|selected| Selection::Selected(Box::new(selected)));
        return selected.unwrap_or(Selection::NoServer);
    }
    selection
}

/// Selects servers that this VM reaches itself.
///
/// Engines are selected by the performance model of their service. Plain servers, and engines
/// for a request without token counts, are selected by their share of busy slots. A request that
/// waits for a permit or a turn, `is_waiting`, goes before those that come later.
fn select_reached(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    tally: &Tally,
    excluded: &[ServerId],
    is_waiting: bool,
) -> Selection {
    let now = gateway.now();
    // Before permits are asked for: servers that are held back need none.
    if let Some(left) = gateway.fleet.borrow().all_held_back(now, &call.service) {
        return Selection::HeldBack(left);
    }
    request_permits(gateway, call, excluded);
    let earlier = if is_waiting {
        None
    } else {
        waiting::awaited_earlier(gateway, call, excluded)
    };
    let selection = if let Some(reason) = earlier {
        Err(reason)
    } else {
        let selection = select_admitted(gateway, call, tally, excluded);
        cold::count_left_out(gateway);
        selection
    };
    match selection {
        Err(NoChoice::NoServer) => Selection::NoServer,
        Err(NoChoice::AwaitRoom) => Selection::AwaitRoom,
        Err(NoChoice::NoRoom) => Selection::NoRoom,
        Err(NoChoice::HeldBack(left)) => Selection::HeldBack(left),
        Err(NoChoice::RateLimited) => rate_limits::outlook(gateway, call, excluded, is_waiting),
        Err(NoChoice::Cold) => cold::outlook(gateway, call, excluded, is_waiting),
        Ok(selection) => {
            if let Selection::Selected(selected) = &selection
                && let Some(incarnation) = selected.target.incarnation()
            {
                let mut fleet = gateway.fleet.borrow_mut();
                fleet.rates.spend(gateway.now(), &incarnation.server);
                fleet.cold.count_sent(gateway.now(), &incarnation.server);
            }
            selection
        }
    }
}

/// Asks for permits for the servers with limits that the request might be sent to.
fn request_permits(gateway: &Gateway, call: &CallerRequest, excluded: &[ServerId]) {
    let mut fleet = gateway.fleet.borrow_mut();
    if fleet.rates.has_limits() {
        fleet.request_permits(gateway.now(), &call.service, excluded);
        drop(fleet);
        rate_limits::flush(gateway);
    }
}

fn select_admitted(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    tally: &Tally,
    excluded: &[ServerId],
) -> Result<Selection, NoChoice> {
    if let Some((profile, tokens)) = call.engine_profile.as_ref().zip(call.token_counts) {
        return select_engines(gateway, call, profile, tokens, tally, excluded);
    }
    let selected = select_least_loaded(gateway, call, excluded)?;
    Ok(Selection::Selected(Box::new(selected)))
}

fn select_least_loaded(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    excluded: &[ServerId],
) -> Result<SelectedServers, NoChoice> {
    let mut fleet = gateway.fleet.borrow_mut();
    let server = fleet.choose_server(gateway.now(), &call.service, excluded)?;
    let record = fleet.directory.get(&server).ok_or(NoChoice::NoServer)?;
    let (address, incarnation) = (record.address, record.incarnation());
    let awaited = Awaited {
        service: call.service.clone(),
        zone: record.zone.clone(),
        servers: vec![incarnation.clone()],
        busy: fleet.busy(gateway.now(), record),
        selected_at: gateway.now(),
        nominal: None,
        is_overdue: false,
    };
    fleet.call_began(&server);
    drop(fleet);
    // Streams are not compared with whole answers.
    let is_stream = matches!(call.route.kind, CallKind::Stream { .. });
    let sample = (!is_stream).then(|| PendingSample::new(gateway, awaited));
    let sample = sample.flatten();
    let call_guard = RunningCallGuard {
        gateway: Rc::clone(gateway),
        server,
    };
    Ok(SelectedServers {
        target: Target::Server(incarnation),
        address,
        helpers: Vec::new(),
        reserved_tokens: 0,
        selected_at: gateway.now(),
        predicted_wait: None,
        nominal_wait: None,
        sample,
        placement: None,
        _call_guard: Some(call_guard),
        _relay_guard: None,
    })
}

fn select_engines(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    profile: &EngineProfile,
    tokens: headers::TokenCounts,
    tally: &Tally,
    excluded: &[ServerId],
) -> Result<Selection, NoChoice> {
    let prompt = describe_prompt(gateway, call, profile, tokens, tally);
    let now = gateway.now();
    gateway.fleet.borrow_mut().loads.remove_lapsed(now);
    let fleet = gateway.fleet.borrow();
    let (placement, decision) =
        fleet.choose_engines(gateway.now(), &call.service, profile, &prompt, excluded)?;
    match decision {
        PlacementDecision::Place => {}
        PlacementDecision::Wait(weighed) => return Ok(Selection::Wait(weighed)),
        PlacementDecision::Refuse(weighed) => return Ok(Selection::Refuse(weighed)),
    }
    let endpoint = |id: &ServerId| {
        let address = fleet.directory.get(id)?.address;
        let server = id.clone();
        Some(EngineEndpoint { server, address })
    };
    let lead = fleet.directory.get(&placement.lead).cloned();
    let lead = lead.ok_or(NoChoice::NoServer)?;
    let helpers = placement.helpers.iter().filter_map(endpoint).collect();
    drop(fleet);
    let selected = record_placement(gateway, call, &prompt, placement, &lead, helpers);
    Ok(Selection::Selected(Box::new(selected)))
}

/// Records a placement in the load table and shares it with the other entry VMs.
fn record_placement(
    gateway: &Rc<Gateway>,
    call: &CallerRequest,
    prompt: &PlacementRequest,
    placement: Placement,
    lead: &ServerRecord,
    helpers: Vec<EngineEndpoint>,
) -> SelectedServers {
    let placed_prompt = PlacedPrompt {
        lead: placement.lead.clone(),
        helpers: placement.helpers,
        helper_tokens: placement.helper_tokens,
        prompt_tokens: prompt.prompt_tokens,
        answer_tokens: prompt.answer_tokens,
        received_at: call.received_at,
        ttft_objective: prompt.ttft_objective,
        pause_objective: prompt.pause_objective,
        weight: prompt.weight,
    };
    let fleet = gateway.fleet.borrow();
    let engines = std::iter::once(&placement.lead).chain(&placed_prompt.helpers);
    let incarnations = engines.filter_map(|id| fleet.directory.get(id));
    let running = fleet.loads.load(&lead.id);
    let running = running.map_or(0, EngineLoad::lead_count);
    let awaited = Awaited {
        service: call.service.clone(),
        zone: lead.zone.clone(),
        servers: incarnations.map(ServerRecord::incarnation).collect(),
        busy: u32::try_from(running).unwrap_or(u32::MAX),
        selected_at: gateway.now(),
        nominal: Some(placement.nominal_ttft),
        is_overdue: false,
    };
    drop(fleet);
    // An answer that is read whole shows no time to its first token.
    let is_stream = matches!(call.route.kind, CallKind::Stream { .. });
    let sample = is_stream.then(|| PendingSample::new(gateway, awaited));
    let sample = sample.flatten();
    let local_placement = LocalPlacement::new(gateway, &call.service, placed_prompt);
    SelectedServers {
        target: Target::Server(lead.incarnation()),
        address: lead.address,
        helpers,
        reserved_tokens: placement.helper_tokens,
        selected_at: gateway.now(),
        predicted_wait: Some(placement.predicted_ttft),
        nominal_wait: Some(placement.nominal_ttft),
        sample,
        placement: Some(local_placement),
        _call_guard: None,
        _relay_guard: None,
    }
}

/// Describes the prompt for the engine selection.
///
/// The expected output is the caller's maximum, but at most twice the usual output of the service.
fn describe_prompt(
    gateway: &Gateway,
    call: &CallerRequest,
    profile: &EngineProfile,
    tokens: headers::TokenCounts,
    tally: &Tally,
) -> PlacementRequest {
    let now = gateway.now();
    PlacementRequest {
        prompt_tokens: tokens.prompt,
        answer_tokens: tokens.answer.min(profile.mean_answer * 2),
        waited: now.since(call.received_at),
        ttft_objective: call.route.objective,
        pause_objective: pause_objective(&call.route),
        weight: call.standing.weight,
        time_left: call.time_left(now),
        is_underserved: tally.is_underserved.get(),
        random_seed: call.tie_breaker,
    }
}
