//! A control VM that was suspended carries out an order that its operator had given up and overtaken.
//!
//! The operator evacuates zone z1. Then it sends the order to end the evacuation to a control VM that
//! is frozen, gets no answer for a second, closes that connection and has the same order confirmed by
//! another control VM. It evacuates z1 again, which is confirmed, and the frozen VM wakes.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use harness::engine::{self, Answers, Runs};
use harness::node::{Deployment, Node};
use harness::operator;
use harness::record::Record;
use harness::{has_trouble, http};

/// Bound of the rule, `evacuate-ms` of the installation.
const EVACUATE_TIME: Duration = Duration::from_secs(5);
/// `outer-ms` of the installation, by which an unstable core stretches the bound at most.
const OUTER_TIME: Duration = Duration::from_secs(6);
/// Time for which requests are judged once the bound has passed.
const JUDGED_TIME: Duration = Duration::from_secs(3);
/// Times that a control VM is frozen at most.
const MAX_ROUNDS: usize = 18;
/// Time between two reads of the configuration from one control VM.
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Engines in each zone.
const ENGINES: usize = 12;

fn main() {
    harness::run(script);
}

fn script() -> Result<bool, String> {
    let record = Record::create()?;
    let deployment = Deployment::create(&record)?;
    let seeds = [1, 2, 3];
    let zones = ["z1", "z2", "z3"];
    let mut control: Vec<_> = zones
        .iter()
        .zip(seeds)
        .map(|(zone, host)| deployment.control(host, zone, &seeds, true))
        .collect();
    let mut entries: Vec<_> = zones
        .iter()
        .zip([11, 12, 13])
        .map(|(zone, host)| deployment.entry(host, zone, &seeds, true))
        .collect();
    for node in control.iter_mut().chain(&mut entries) {
        node.start()?;
    }
    let addresses: Vec<_> = control.iter().map(Node::control_address).collect();
    let config = operator::configuration(1, &[("look", "safe", "app")]);
    let patience = Duration::from_secs(15);
    operator::send_until_acked(
        &record,
        &addresses,
        "POST",
        "/-/Config.Put",
        &config,
        patience,
    )?;
    let runs = Runs::default();
    for (zone_number, zone) in zones.iter().enumerate() {
        for number in 0..ENGINES {
            let host = 100 + zone_number * ENGINES + number;
            let ip = deployment.ip(u8::try_from(host).map_err(|error| error.to_string())?);
            let number = zone_number * ENGINES + number;
            let work = Answers::Plain(Duration::from_millis(15));
            engine::start(
                &record,
                &runs,
                "app",
                ip,
                zone,
                number,
                work,
                addresses.clone(),
            )?;
        }
    }
    thread::sleep(Duration::from_secs(3));
    read_configuration(addresses.clone());
    let served = send_traffic(&record, entries.iter().map(Node::front_address).collect());
    thread::sleep(Duration::from_secs(2));
    if runs.in_zone_since("z1", Duration::ZERO).is_empty() {
        return Err("z1 serves nothing before its evacuation".to_owned());
    }
    order(&record, &addresses, "Start")?;
    let acked_at = record.now();
    thread::sleep(EVACUATE_TIME + Duration::from_secs(1));
    if !runs
        .in_zone_since("z1", acked_at + EVACUATE_TIME)
        .is_empty()
    {
        return Err("the evacuation has no effect even without trouble".to_owned());
    }
    for round in 0..MAX_ROUNDS {
        let acked_at = play_round(&record, &control, round)?;
        thread::sleep(Duration::from_millis(1500));
        if runs
            .in_zone_since("z1", acked_at + Duration::from_millis(500))
            .is_empty()
        {
            continue;
        }
        record.line("z1 gets requests; nothing more is done until its bound has passed");
        let from = acked_at + EVACUATE_TIME + OUTER_TIME;
        thread::sleep((from + JUDGED_TIME).saturating_sub(record.now()));
        let late = runs.in_zone_since("z1", from).len();
        record.line(&format!(
            "round {round}: {late} requests ran in z1 later than {from:?}, evacuated since {acked_at:?}; \
             {} requests were answered in all",
            served.load(Ordering::Relaxed)
        ));
        if late > 0 {
            return Ok(false);
        }
    }
    record.line(&format!(
        "z1 got nothing in {MAX_ROUNDS} rounds; {} requests were answered in all",
        served.load(Ordering::Relaxed)
    ));
    Ok(true)
}

/// Ends the evacuation and begins it again; returns when that was confirmed.
fn play_round(record: &Record, control: &[Node], round: usize) -> Result<Duration, String> {
    let followers: Vec<_> = control.iter().filter(|node| !leads(node)).collect();
    let first = followers[round % followers.len()];
    let others: Vec<_> = control
        .iter()
        .filter(|node| node.name != first.name)
        .map(Node::control_address)
        .collect();
    if has_trouble() {
        first.freeze();
    }
    let path = "/-/Evacuations.End/z1";
    let answer = operator::send(record, first.control_address(), "POST", path, "");
    if answer.is_ok_and(|answer| answer.status() == 200) {
        record.line("the order was confirmed at once");
    } else {
        order(record, &others, "End")?;
    }
    order(record, &others, "Start")?;
    let acked_at = record.now();
    if has_trouble() {
        first.thaw();
    }
    Ok(acked_at)
}

/// Sends an order about z1 until it is confirmed.
fn order(record: &Record, nodes: &[SocketAddr], verb: &str) -> Result<(), String> {
    let path = format!("/-/Evacuations.{verb}/z1");
    let patience = Duration::from_secs(10);
    operator::send_until_acked(record, nodes, "POST", &path, "", patience).map(|_| ())
}

/// Whether a control VM leads the control log, by the metrics that the deploy file names.
fn leads(node: &Node) -> bool {
    let time_limit = Duration::from_secs(1);
    let answer = http::call(
        node.metrics_address(),
        "GET",
        "/metrics",
        &[],
        b"",
        time_limit,
    );
    answer.is_ok_and(|answer| {
        let text = answer.text();
        text.lines()
            .any(|line| line.trim() == "merlinrudder_log_leads 1")
    })
}

/// Reads the configuration from each control VM again and again until the script ends.
fn read_configuration(nodes: Vec<SocketAddr>) {
    for node in nodes {
        thread::spawn(move || {
            loop {
                let time_limit = operator::PATIENCE;
                drop(http::call(
                    node,
                    "GET",
                    "/-/Config.Get",
                    &[],
                    b"",
                    time_limit,
                ));
                thread::sleep(READ_INTERVAL);
            }
        });
    }
}

/// Sends requests to all entry VMs until the script ends; returns the count of those served.
fn send_traffic(record: &Record, entries: Vec<SocketAddr>) -> Arc<AtomicU64> {
    let served = Arc::new(AtomicU64::new(0));
    for (number, entry) in entries.into_iter().enumerate() {
        let (record, served) = (record.clone(), Arc::clone(&served));
        thread::spawn(move || {
            for sequence in 0_u64.. {
                let attempt = format!("a{number}{sequence:08x}");
                let headers = [
                    ("Host", "app.example".to_owned()),
                    ("X-Merlinrudder-Attempt-Id", attempt.clone()),
                    ("X-Merlinrudder-Deadline-Ms", "2500".to_owned()),
                ];
                let time_limit = Duration::from_millis(2500);
                let answer = http::call(entry, "GET", "/look/x", &headers, b"", time_limit);
                match answer {
                    Ok(answer) if answer.status() == 200 => {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    Ok(answer) => record.line(&format!("client {attempt}: {}", answer.status())),
                    Err(error) => record.line(&format!("client {attempt}: {error}")),
                }
                thread::sleep(Duration::from_millis(60));
            }
        });
    }
    served
}
