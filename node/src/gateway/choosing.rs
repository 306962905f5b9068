//! The choice of servers for a request, and the load that it adds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use merlinrudder_core::deployment::CallKind;
use merlinrudder_core::engine_model::EngineProfile;
use merlinrudder_core::engine_placement::decision::PlacementDecision;
use merlinrudder_core::engine_placement::loads::PlacedPrompt;
use merlinrudder_core::engine_placement::{Placement, PlacementRequest};
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_platform::headers;

use super::request::CallerRequest;
use super::reservation::Holder;
use super::sharing::OwnPlacement;
use super::state::Gateway;

/// The servers of one attempt; their load counts until this is dropped.
#[derive(Debug)]
pub(super) struct Chosen {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// Engines that read further parts.
    pub(super) helpers: Vec<Holder>,
    /// Tokens of memory that each helper sets aside; 0 for none.
    pub(super) held: u64,
    /// When they were chosen.
    pub(super) at: Moment,
    /// Predicted time from then to the first event.
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

/// What to do with a request that needs servers.
pub(super) enum Choice {
    Chosen(Chosen),
    /// Ask again in a moment.
    Wait,
    /// Others would lose more than this caller gains.
    Refuse,
    Nobody,
}

/// Chooses servers for a request; engines by their model, plain servers by their load.
pub(super) fn choose(gateway: &Rc<Gateway>, call: &CallerRequest, tried: &[ServerId]) -> Choice {
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
        at: gateway.now(),
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
        PlacementDecision::Place => {}
        PlacementDecision::Wait => return Choice::Wait,
        PlacementDecision::Refuse => return Choice::Refuse,
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
    ask: &PlacementRequest,
    placement: Placement,
    lead: &Holder,
    helpers: Vec<Holder>,
) -> Chosen {
    let placed = PlacedPrompt {
        lead: placement.lead.clone(),
        helpers: placement.helpers,
        helper_tokens: placement.helper_tokens,
        prompt_tokens: ask.prompt_tokens,
        answer_tokens: ask.answer_tokens,
        asked: call.began,
        ttft_objective: ask.ttft_objective,
        pause_objective: ask.pause_objective,
    };
    let own = OwnPlacement::new(gateway, &call.service, placed);
    Chosen {
        server: placement.lead,
        address: lead.address,
        helpers,
        held: placement.helper_tokens,
        at: gateway.now(),
        predicted: Some(placement.predicted_ttft),
        placement: Some(own),
        _call: None,
    }
}

fn prompt_ask(
    gateway: &Gateway,
    call: &CallerRequest,
    profile: &EngineProfile,
    tokens: headers::TokenCounts,
) -> PlacementRequest {
    let now = gateway.now();
    let pause = match call.route.kind {
        CallKind::Stream { pause, .. } => pause,
        CallKind::Idempotent | CallKind::AtMostOnce => call.route.timeout,
    };
    PlacementRequest {
        prompt_tokens: tokens.prompt,
        answer_tokens: tokens.answer.min(profile.mean_answer * 2),
        waited: now.since(call.began),
        ttft_objective: call.route.objective,
        pause_objective: pause,
        time_left: call.left(now),
        random_seed: call.draw,
    }
}
