//! Tells the other entry VMs of long prompts, so that each knows how often every length is placed.

use merlinrudder_core::engine_placement::decision::is_weighed;
use merlinrudder_core::engine_placement::length_shares::{LengthShare, PromptClass};
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WireReceivedPrompt;
use slog::info;

use super::request::CallerRequest;
use super::state::Gateway;
use crate::metrics;

/// Records a long prompt of a caller, and tells the other entry VMs.
///
/// Returns whether prompts of its length are placed far less often than others. It is false for a
/// caller that comes back, whose prompt was counted before.
pub(super) fn record_received(gateway: &Gateway, call: &CallerRequest) -> bool {
    let Some(profile) = call.engine_profile.as_ref() else {
        return false;
    };
    let tokens = call.prompt_tokens();
    if !is_weighed(profile, tokens) {
        return false;
    }
    let class = PromptClass::new(&call.service, call.route.objective);
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    let share = fleet.shares.share(now, &class, tokens);
    let is_new = fleet.shares.record_received(now, &class, tokens);
    drop(fleet);
    if !is_new {
        return false;
    }
    let message = MeshMessage::PromptReceived(WireReceivedPrompt::new(&class, tokens));
    let vms = gateway.links.vms_with(|features| features.received_prompts);
    gateway.links.send_all(&vms, &message);
    let short = share.filter(LengthShare::is_short);
    if let Some(share) = &short {
        metrics::count_underserved(call.service.as_str());
        log_underserved(gateway, call, share);
    }
    short.is_some()
}

/// Returns how often prompts of about the length of a request were placed lately.
pub(super) fn share(gateway: &Gateway, call: &CallerRequest) -> Option<LengthShare> {
    let class = PromptClass::new(&call.service, call.route.objective);
    let shares = &gateway.fleet.borrow().shares;
    shares.share(gateway.now(), &class, call.prompt_tokens())
}

fn log_underserved(gateway: &Gateway, call: &CallerRequest, share: &LengthShare) {
    info!(gateway.log, "Prompt of an underserved length"; "request" => call.attempt_id_text(),
        "prompt_tokens" => call.prompt_tokens(), "placed_rate" => share.group_rate,
        "class_rate" => share.class_rate, "target" => share.target,
        "prompts" => share.prompts, "oldest_ms" => share.oldest.as_millis());
}

/// Records a long prompt that another entry VM received.
pub(super) fn receive(gateway: &Gateway, received: WireReceivedPrompt) {
    let (class, tokens) = received.into_core();
    let mut fleet = gateway.fleet.borrow_mut();
    fleet.shares.record_received(gateway.now(), &class, tokens);
}
