//! Compares what engines hold with what is placed there, and cancels what nobody owns.

use std::collections::HashSet;
use std::thread;

use anyhow::Result;
use attohttpc::Method;
use crossbeam::channel::bounded;
use merlinrudder_core::time::duration_millis;
use merlinrudder_wire::engine::{EngineCancel, EngineHolding, EngineReserve};
use slog::{Logger, o, warn};

use super::{post_json, request};
use crate::constants::{ORPHAN_AGE, PROBE_TIMEOUT, RECONCILE_PERIOD};
use crate::control::Control;
use crate::control::input::{ControlInput, PlacedServer};
use crate::timer::Timer;

/// Starts the loop; it ends with the timer service.
///
/// # Errors
/// Fails where no thread can be started.
pub fn spawn(control: Control, timer: &Timer, log: &Logger) -> Result<()> {
    let log = log.new(o!("part" => "reconcile"));
    let ticks = timer.every(RECONCILE_PERIOD);
    thread::Builder::new()
        .name("reconcile".to_owned())
        .spawn(move || {
            let mut seen = HashSet::new();
            while ticks.recv().is_ok() {
                seen = reconcile(&control, &log, &seen);
            }
        })?;
    Ok(())
}

/// Cancels what was an orphan in the last round too; returns the orphans of this round.
fn reconcile(control: &Control, log: &Logger, seen: &HashSet<String>) -> HashSet<String> {
    let (reply, placed) = bounded(1);
    control.send(ControlInput::Holdings(reply));
    let mut orphans = HashSet::new();
    for server in placed.recv().unwrap_or_default() {
        if !server.engine {
            continue;
        }
        for holding in orphans_of(&server) {
            let name = format!("{}/{}/{}", server.id, holding.request_id, holding.attempt);
            if seen.contains(&name) {
                warn!(log, "Cancelling an orphan"; "server" => %server.id,
                    "request" => &holding.request_id, "tokens" => holding.tokens);
                cancel(&server, &holding);
            }
            orphans.insert(name);
        }
    }
    orphans
}

fn orphans_of(server: &PlacedServer) -> Vec<EngineHolding> {
    let sent = request(Method::GET, &server.address, "/holdings")
        .read_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .send();
    let Ok(body) = sent.and_then(attohttpc::Response::bytes) else {
        return Vec::new();
    };
    let holdings: Vec<EngineHolding> = serde_json::from_slice(&body).unwrap_or_default();
    let placed: HashSet<_> = server
        .requests
        .iter()
        .map(|(id, attempt)| (id.to_string(), attempt.0))
        .collect();
    let old = duration_millis(ORPHAN_AGE);
    holdings
        .into_iter()
        .filter(|holding| holding.age_ms >= old)
        .filter(|holding| !placed.contains(&(holding.request_id.clone(), holding.attempt)))
        .collect()
}

fn cancel(server: &PlacedServer, holding: &EngineHolding) {
    let (request_id, attempt) = (holding.request_id.clone(), holding.attempt);
    let body = EngineCancel {
        request_id: request_id.clone(),
        attempt,
    };
    drop(post_json(&server.address, "/cancel", &body, PROBE_TIMEOUT));
    let body = EngineReserve {
        request_id,
        attempt,
        tokens: 0,
        lease_ms: 0,
    };
    drop(post_json(
        &server.address,
        "/kv/release",
        &body,
        PROBE_TIMEOUT,
    ));
}
