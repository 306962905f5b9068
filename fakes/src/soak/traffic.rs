//! Callers, the operator and the backend servers of a soak, and the checks on what they see.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use fastrand::Rng;

use super::{OnceCall, World, lock, sample_configuration};
use crate::http_client::{HttpResponse, send_customer_request};
use crate::nodes::CONTROL_VMS;

/// Time between two heartbeats of a backend server.
const BEAT_PERIOD: Duration = Duration::from_millis(400);
/// Time between two calls of the operator.
const OPERATOR_PERIOD: Duration = Duration::from_millis(300);
/// Longest time until the first configuration is confirmed.
const FIRST_TIME: Duration = Duration::from_mins(1);
/// Time beyond its route's bound in which a request must have its final answer, on a busy machine.
const HELD_SLACK: Duration = Duration::from_secs(5);

/// The routes that callers use, with the longest time that each allows.
const ROUTES: [(&str, Duration); 3] = [
    ("POST /stream/x", Duration::from_secs(10)),
    ("POST /file/x", Duration::from_secs(2)),
    ("GET /read/x", Duration::from_secs(2)),
];

/// Publishes the first configuration and waits until it is confirmed.
pub(super) fn publish_first(world: &World) -> Result<()> {
    let start = Instant::now();
    while !(0..CONTROL_VMS)
        .any(|at| world.nodes.put_configuration(at, &sample_configuration(1)) == 200)
    {
        if start.elapsed() > FIRST_TIME {
            bail!(
                "the first configuration was not confirmed\n{}",
                world.nodes.last_lines()
            );
        }
        thread::sleep(OPERATOR_PERIOD);
    }
    world.confirmed.store(1, Ordering::Relaxed);
    Ok(())
}

/// Sends the heartbeats of all backend servers, each to whichever control VM takes it.
pub(super) fn announce(world: &World) {
    let mut sequence = 0;
    while !world.is_over() {
        sequence += 1;
        for (backend, proxy) in &world.backends {
            // One that is not taken is repeated with the next round.
            let _taken = (0..CONTROL_VMS).any(|at| {
                world
                    .nodes
                    .send_heartbeat(at, &backend.id, proxy.address, sequence)
            });
        }
        thread::sleep(BEAT_PERIOD);
    }
}

/// Publishes one version after another, repeats confirmed ones, and reads.
pub(super) fn operate(world: &World, seed: u64) {
    let mut rng = Rng::with_seed(seed ^ 1);
    let mut version = 2;
    while !world.is_over() {
        let at = rng.usize(..CONTROL_VMS);
        if world
            .nodes
            .put_configuration(at, &sample_configuration(version))
            == 200
        {
            world.confirmed.store(version, Ordering::Relaxed);
            world.confirmations.fetch_add(1, Ordering::Relaxed);
            repeat(world, rng.usize(..CONTROL_VMS), version);
            version += rng.u64(1..4);
        }
        check_read(world, rng.usize(..CONTROL_VMS));
        thread::sleep(OPERATOR_PERIOD);
    }
}

/// Reads at a control VM: what it answers, if anything, is not older than what was confirmed before.
pub(super) fn check_read(world: &World, at: usize) {
    let before = world.confirmed.load(Ordering::Relaxed);
    let read = world.nodes.read_version(at);
    if let Some(read) = read.filter(|read| *read < before) {
        world.broke(format!(
            "control VM {at} read version {read} after {before} was confirmed"
        ));
    }
}

/// Sends a confirmed version again, which is never refused.
fn repeat(world: &World, at: usize, version: u64) {
    let status = world
        .nodes
        .put_configuration(at, &sample_configuration(version));
    if (400..500).contains(&status) {
        world.broke(format!(
            "version {version} was confirmed and then refused with {status}"
        ));
    }
}

/// Sends requests to the entry VMs until the soak is over.
pub(super) fn call(world: &World, caller: u64, seed: u64) {
    let mut rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(caller));
    let mut number = 0;
    while !world.is_over() {
        number += 1;
        let entry = rng.usize(CONTROL_VMS..world.nodes.len());
        let (call, bound) = ROUTES[rng.usize(..ROUTES.len())];
        let attempt = format!("{caller}-{number}");
        let began = world.millis();
        let start = Instant::now();
        let answer = send_customer_request(world.nodes.callers_address(entry), call, &attempt);
        let undisturbed = world.disturbed[entry].load(Ordering::Relaxed) < began;
        if undisturbed && start.elapsed() > bound + HELD_SLACK {
            world.broke(format!(
                "{attempt} ({call}) had no final answer in its time"
            ));
        }
        check(world, call, &attempt, &answer);
        if answer.status == 0 {
            thread::sleep(OPERATOR_PERIOD);
        }
    }
}

fn check(world: &World, call: &str, attempt: &str, answer: &HttpResponse) {
    world.requests.fetch_add(1, Ordering::Relaxed);
    let stream = call.contains("/stream/");
    if (200..300).contains(&answer.status) {
        let sealed = answer.head.contains("x-merlinrudder-response-seal: seal");
        let own = answer
            .head
            .contains(&format!("x-merlinrudder-attempt-id: {attempt}\r"));
        let right = if stream {
            let events = answer.events();
            let in_order = events.iter().copied().eq(1..=events.len() as u64);
            in_order && (!answer.whole || answer.is_whole_stream())
        } else {
            !answer.whole || answer.body == "whole"
        };
        if !(sealed && own && right) {
            world.broke(format!("{attempt} ({call}) got a false answer: {answer:?}"));
        }
        world
            .served
            .fetch_add(u64::from(answer.whole), Ordering::Relaxed);
    }
    if [401, 403, 404].contains(&answer.status) {
        world.broke(format!(
            "{attempt} ({call}) was denied with {}",
            answer.status
        ));
    }
    if call.contains("/file/") {
        lock(&world.once).push(OnceCall {
            attempt: attempt.to_owned(),
            status: answer.status,
        });
    }
}
