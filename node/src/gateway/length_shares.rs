//! Counts how often prompts of each length are placed, and shares refusals among entry VMs.

use merlinrudder_core::engine_placement::Placement;
use merlinrudder_core::engine_placement::shares::{LengthDecision, is_final_refusal};
use merlinrudder_core::names::ServiceName;
use merlinrudder_wire::mesh::MeshMessage;
use merlinrudder_wire::peers::WireRefusedPrompt;
use slog::info;

use super::request::CallerRequest;
use super::state::Gateway;

/// Counts a refusal, and tells the other entry VMs, unless the caller is likely to come back.
pub(super) fn record_refusal(gateway: &Gateway, call: &CallerRequest) {
    if !is_final_refusal(call.spent_before()) {
        return;
    }
    let refused = WireRefusedPrompt {
        service: call.service.to_string(),
        prompt_tokens: call.prompt_tokens(),
    };
    let vms = gateway.links.vms_with(|features| features.refusals);
    let message = MeshMessage::PromptRefused(refused.clone());
    gateway.links.send_all(&vms, &message);
    receive(gateway, refused);
}

/// Returns whether prompts of the length of a request are placed far less often than others.
pub(super) fn is_underserved(gateway: &Gateway, call: &CallerRequest) -> bool {
    let fleet = gateway.fleet.borrow();
    let tokens = call.prompt_tokens();
    fleet
        .shares
        .is_short_of_service(gateway.now(), &call.service, tokens)
}

/// Logs a prompt that is placed while its length is short of its share.
pub(super) fn log_helped(gateway: &Gateway, call: &CallerRequest, placement: &Placement) {
    info!(gateway.log, "Prompt of an underserved length placed";
        "request" => call.attempt_id_text(), "prompt_tokens" => call.prompt_tokens(),
        "waited_ms" => gateway.now().since(call.received_at).as_millis(),
        "external_cost" => placement.external_cost.total(),
        "engines" => placement.helpers.len() + 1,
        "predicted_ms" => placement.predicted_ttft.as_millis());
}

/// Counts a refusal of this or another VM.
pub(super) fn receive(gateway: &Gateway, refused: WireRefusedPrompt) {
    let service = ServiceName::from(refused.service);
    record(
        gateway,
        &service,
        refused.prompt_tokens,
        LengthDecision::Refused,
    );
}

/// Counts a decision on a prompt for a service with engines.
pub(super) fn record(
    gateway: &Gateway,
    service: &ServiceName,
    prompt_tokens: u64,
    decision: LengthDecision,
) {
    let Some(deployment) = gateway.deployment() else {
        return;
    };
    let rule = deployment.services.get(service);
    if let Some(profile) = rule.and_then(|rule| rule.engine.as_ref()) {
        let mut fleet = gateway.fleet.borrow_mut();
        let now = gateway.now();
        fleet
            .shares
            .record(now, service, profile, prompt_tokens, decision);
    }
}
