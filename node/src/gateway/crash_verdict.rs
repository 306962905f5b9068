//! Whether a request may be sent, by the crashes of its content and of the parts of its prompt.

use std::time::Duration;

use merlinrudder_core::crash_history::CrashVerdict;
use merlinrudder_core::names::VmId;
use merlinrudder_core::outcome::RunState;
use merlinrudder_core::rendezvous::stable_hash;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_wire::peers::WirePeer;
use slog::info;
use tokio::time::sleep;

use super::request::CallerRequest;
use super::state::Gateway;

/// Longest time for which the result of a trial is awaited.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a request waits for a trial.
const TRIAL_WAIT: Duration = Duration::from_millis(1500);
/// Time in which a trial becomes known to the VM that would start the next one.
const TRIAL_STAGGER: Duration = Duration::from_millis(30);
/// Rank beyond which entry VMs wait no longer.
const MAX_TRIAL_RANK: u32 = 10;
/// Time after which a caller may return if the trial takes longer.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time from the end of a run until a crash that it caused is in the history.
const EVIDENCE_WAIT: Duration = Duration::from_millis(450);

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Permission {
    /// It may be sent.
    Send,
    /// It may be sent once, as the trial of its content or of parts of its prompt.
    SendOnTrial,
    /// Its content or a part is on trial; the result is awaited.
    Wait,
    /// It must not be sent; its caller may return after this time.
    Refuse(Duration),
}

/// Checks whether a request may be sent, and starts the trials that it needs.
///
/// The digest of the content is only computed where crashes are known.
pub(super) fn permission(gateway: &Gateway, call: &CallerRequest) -> Permission {
    let watch = gateway.crashes.borrow();
    let history = &watch.exchange.history;
    if history.is_empty() {
        return Permission::Send;
    }
    let now = gateway.now();
    let mut on_trial = Vec::new();
    let mut quarantined = None;
    let suspects: Vec<_> = call.content.suspects().collect();
    for suspect in &suspects {
        match history.verdict_within(now, suspect, &suspects) {
            CrashVerdict::Allowed => {}
            CrashVerdict::OnTrial => on_trial.push(*suspect),
            CrashVerdict::QuarantinedUntil(until) => {
                quarantined = quarantined.max(Some((until, *suspect)));
            }
        }
    }
    let is_awaited = on_trial
        .iter()
        .any(|suspect| watch.is_on_trial(now, suspect));
    drop(watch);
    if let Some((until, suspect)) = quarantined {
        info!(gateway.log, "Request kept from servers"; "request" => call.attempt_id_text(),
            "suspect" => %suspect, "part" => suspect.is_prompt_part());
        return Permission::Refuse(until.since(now));
    }
    if on_trial.is_empty() {
        return Permission::Send;
    }
    if is_awaited && now.since(call.received_at) < TRIAL_WAIT {
        return Permission::Wait;
    }
    if is_awaited {
        return Permission::Refuse(TRIAL_RETRY_AFTER);
    }
    if now.since(call.received_at) < trial_delay(gateway, &on_trial) {
        return Permission::Wait;
    }
    for suspect in on_trial {
        start_trial(gateway, call, now, suspect);
    }
    Permission::SendOnTrial
}

/// Returns how long this VM waits before it starts a trial, by its rank among the linked entry VMs.
///
/// Copies of a request may come to several VMs at the same time, and only one of them is to be sent.
fn trial_delay(gateway: &Gateway, on_trial: &[ContentDigest]) -> Duration {
    let Some(suspect) = on_trial.first() else {
        return Duration::ZERO;
    };
    let score = |vm: &VmId| stable_hash(&[&suspect.0, vm.as_str().as_bytes()]);
    let own = score(&gateway.vm);
    let peers = gateway.links.peers();
    let entry_vms = peers.iter().filter(|peer| !peer.control);
    let before = entry_vms.filter(|peer| score(&peer.vm_id()) < own).count();
    let rank = u32::try_from(before).unwrap_or(MAX_TRIAL_RANK);
    TRIAL_STAGGER * rank.min(MAX_TRIAL_RANK)
}

/// Tells all VMs that this request is the trial of its content or of a part.
fn start_trial(gateway: &Gateway, call: &CallerRequest, now: Moment, suspect: ContentDigest) {
    let mut watch = gateway.crashes.borrow_mut();
    watch.trials.insert(suspect, now + TRIAL_TIMEOUT);
    let peers = gateway.links.peers();
    let vms = peers.iter().map(WirePeer::vm_id);
    watch.exchange.share_trial(&gateway.links, vms, suspect);
    info!(gateway.log, "Content tried again"; "content" => %suspect,
        "part" => suspect.is_prompt_part(), "request" => call.attempt_id_text());
}

/// Records that another VM tries a content or part again.
pub(super) fn receive_trial(gateway: &Gateway, suspect: [u8; 32]) {
    let end = gateway.now() + TRIAL_TIMEOUT;
    let mut watch = gateway.crashes.borrow_mut();
    watch.trials.insert(ContentDigest(suspect), end);
}

/// Waits before a retry of a request that may have crashed the server of its last attempt.
///
/// The wait is for requests whose content or parts have crashed servers, and, if the last attempt
/// may have run, for those with a part that has not completed here lately. The crash becomes known
/// within this time.
pub(super) async fn await_evidence(gateway: &Gateway, call: &CallerRequest, last: RunState) {
    let may_have_run = last != RunState::NotRun;
    if is_suspect(gateway, call) || (may_have_run && has_unproven_part(gateway, call)) {
        sleep(EVIDENCE_WAIT.min(call.time_left(gateway.now()))).await;
    }
}

/// Whether the content or a part of a request has crashed servers and was not cleared since.
pub(super) fn is_suspect(gateway: &Gateway, call: &CallerRequest) -> bool {
    let watch = gateway.crashes.borrow();
    let history = &watch.exchange.history;
    let mut suspects = call.content.suspects();
    !history.is_empty() && suspects.any(|suspect| history.is_suspect(&suspect))
}

/// Whether a request has a part that completed in no request of this VM lately.
fn has_unproven_part(gateway: &Gateway, call: &CallerRequest) -> bool {
    let now = gateway.now();
    let watch = gateway.crashes.borrow();
    let mut parts = call.content.parts.iter();
    parts.any(|part| !watch.exchange.has_completed(now, part))
}
