//! Compares what engines hold with what is placed there, and cancels what nobody owns.

use std::collections::HashSet;
use std::thread;

use anyhow::Result;
use attohttpc::Method;
use crossbeam::channel::bounded;
use merlinrudder_core::registry::{CacheView, ServerKey};
use merlinrudder_core::time::duration_millis;
use merlinrudder_wire::announce::WireCacheSnapshot;
use merlinrudder_wire::engine::{EngineCancel, EngineHolding, EngineKvRequest};
use serde::de::DeserializeOwned;
use slog::{Logger, o, warn};

use super::{post_json, request};
use crate::constants::{MIN_ORPHAN_AGE, PROBE_TIMEOUT, RECONCILE_PERIOD};
use crate::control::ControlHandle;
use crate::control::input::{ControlInput, ServerPlacements};
use crate::timer::Timer;

/// Starts the loop; it ends with the timer service.
///
/// # Errors
/// Fails where no thread can be started.
pub fn spawn(control: ControlHandle, timer: &Timer, log: &Logger) -> Result<()> {
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
fn reconcile(control: &ControlHandle, log: &Logger, seen: &HashSet<String>) -> HashSet<String> {
    let (reply, placed) = bounded(1);
    control.send(ControlInput::Placements(reply));
    let mut orphans = HashSet::new();
    for server in placed.recv().unwrap_or_default() {
        if !server.is_engine {
            continue;
        }
        if server.out_of_sync {
            read_cache(control, &server);
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

fn orphans_of(server: &ServerPlacements) -> Vec<EngineHolding> {
    let holdings: Vec<EngineHolding> = get_json(&server.address, "/holdings").unwrap_or_default();
    let placed: HashSet<_> = server
        .requests
        .iter()
        .map(|(id, attempt)| (id.to_string(), attempt.0))
        .collect();
    let old = duration_millis(MIN_ORPHAN_AGE);
    holdings
        .into_iter()
        .filter(|holding| holding.age_ms >= old)
        .filter(|holding| !placed.contains(&(holding.request_id.clone(), holding.attempt)))
        .collect()
}

/// Reads an engine's whole cache, where events of it were lost.
fn read_cache(control: &ControlHandle, server: &ServerPlacements) {
    let Some(cache) = get_json::<WireCacheSnapshot>(&server.address, "/cache") else {
        return;
    };
    let key = ServerKey {
        service: server.service.clone(),
        id: server.id.clone(),
    };
    let view = CacheView::from_snapshot(cache.next, cache.blocks);
    control.send(ControlInput::CacheRead(key, cache.incarnation, view));
}

fn get_json<T: DeserializeOwned>(address: &str, path: &str) -> Option<T> {
    let sent = request(Method::GET, address, path)
        .read_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .send();
    serde_json::from_slice(&sent.and_then(attohttpc::Response::bytes).ok()?).ok()
}

fn cancel(server: &ServerPlacements, holding: &EngineHolding) {
    let (request_id, attempt) = (holding.request_id.clone(), holding.attempt);
    let body = EngineCancel {
        request_id: request_id.clone(),
        attempt,
    };
    drop(post_json(&server.address, "/cancel", &body, PROBE_TIMEOUT));
    let body = EngineKvRequest {
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
