//! Loop that cancels orphans: requests held by an engine that its dispatcher does not know.
//!
//! It also reads the prefix cache of engines whose cache events were lost.

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

use super::{post_json, read_limited, request_builder};
use crate::constants::{MIN_ORPHAN_AGE, PROBE_TIMEOUT, RECONCILE_PERIOD};
use crate::control::ControlHandle;
use crate::control::input::{ControlInput, ServerPlacements};
use crate::timer::Timer;

/// Largest list of held requests or cached blocks that an engine sends, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Starts the reconcile loop on a new thread; it ends with the timer service.
///
/// # Errors
/// Returns an error if the thread cannot be started.
pub fn spawn(control: ControlHandle, timer: &Timer, log: &Logger) -> Result<()> {
    let log = log.new(o!("part" => "reconcile"));
    let ticks = timer.every(RECONCILE_PERIOD);
    thread::Builder::new()
        .name("reconcile".to_owned())
        .spawn(move || {
            let mut previous_orphans = HashSet::new();
            while ticks.recv().is_ok() {
                previous_orphans = reconcile(&control, &log, &previous_orphans);
            }
        })?;
    Ok(())
}

/// Runs one round and returns the orphans found.
///
/// Only orphans that the previous round found too are cancelled.
fn reconcile(
    control: &ControlHandle,
    log: &Logger,
    previous_orphans: &HashSet<String>,
) -> HashSet<String> {
    let (reply, placed) = bounded(1);
    control.send(ControlInput::Placements(reply));
    let mut orphans = HashSet::new();
    for server in placed.recv().unwrap_or_default() {
        if !server.is_engine {
            continue;
        }
        if server.out_of_sync {
            refresh_cache_view(control, &server);
        }
        for holding in find_orphans(&server) {
            let orphan = format!("{}/{}/{}", server.id, holding.request_id, holding.attempt);
            if previous_orphans.contains(&orphan) {
                warn!(log, "Cancelling orphaned request"; "server" => %server.id,
                    "request" => &holding.request_id, "tokens" => holding.tokens);
                cancel_orphan(&server, &holding);
            }
            orphans.insert(orphan);
        }
    }
    orphans
}

/// Returns what the engine has held for `MIN_ORPHAN_AGE` without the dispatcher having placed it.
fn find_orphans(server: &ServerPlacements) -> Vec<EngineHolding> {
    let holdings: Vec<EngineHolding> = get_json(&server.address, "/holdings").unwrap_or_default();
    let placed: HashSet<_> = server
        .requests
        .iter()
        .map(|(id, attempt)| (id.to_string(), attempt.0))
        .collect();
    let min_age_ms = duration_millis(MIN_ORPHAN_AGE);
    holdings
        .into_iter()
        .filter(|holding| holding.age_ms >= min_age_ms)
        .filter(|holding| !placed.contains(&(holding.request_id.clone(), holding.attempt)))
        .collect()
}

/// Replaces the view of an engine's cache by a snapshot, after events were lost.
fn refresh_cache_view(control: &ControlHandle, server: &ServerPlacements) {
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

/// Sends a GET request and parses the JSON answer; returns `None` on any error.
fn get_json<T: DeserializeOwned>(address: &str, path: &str) -> Option<T> {
    let sent = request_builder(Method::GET, address, path)
        .read_timeout(PROBE_TIMEOUT)
        .timeout(PROBE_TIMEOUT)
        .send();
    serde_json::from_slice(&read_limited(sent.ok()?, MAX_LIST_BYTES).ok()?).ok()
}

/// Cancels a request at an engine and releases memory reserved for it.
fn cancel_orphan(server: &ServerPlacements, holding: &EngineHolding) {
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
