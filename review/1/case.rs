//! Case 1: the only tenant loses its keys, one after the other.

#[path = "../harness/mod.rs"]
mod harness;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use harness::engine::{self, Engine, Settings};
use harness::json::{self, KEY, Route};
use harness::record::Record;
use harness::system::System;
use harness::{client, trouble};

/// Loopback addresses of this case: 127.SUBNET.x.y.
const SUBNET: u8 = 101;
/// Second key of the tenant.
const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";
/// Time between the two revocations.
const GAP: Duration = Duration::from_millis(1500);
/// `config-apply-ms` and half a second more.
const APPLIED: Duration = Duration::from_millis(2500);

fn main() {
    engine::run_if_asked();
    let record = Record::create(Path::new("review/1/record.txt"));
    let system = System::start(SUBNET, 2, &record);
    let settings = Settings {
        id: "i-7f3a91c2".to_owned(),
        service: "bokapp".to_owned(),
        zone: System::zone(0),
        address: system.engine(0),
        controls: system.controls(),
        events: 1,
        pause: Duration::from_millis(50),
    };
    let engine = Engine::start(&settings, &record);
    let routes = [Route {
        name: "file-once",
        prefix: "/file/",
        kind: "unsafe",
        service: "bokapp",
        timeout_ms: 1200,
        slo_ms: 150,
        max_attempts: 1,
        resumable: false,
    }];
    let publish = |version: u64, keys: &[&str]| {
        record.line(&format!(
            "operator sends version {version} with the keys {keys:?}"
        ));
        system.publish(&json::configuration_with_keys(
            version,
            &routes,
            &["bokapp"],
            keys,
        ));
    };
    publish(7, &[KEY, SECOND_KEY]);
    system.await_ready();
    let send = |entry: usize, key: &str, attempt: &str| {
        record.line(&format!(
            "client sends POST /file/x attempt={attempt} to entry {entry} with key {key}"
        ));
        let front = system.front(entry);
        let answer =
            client::call_with_key(front, key, "POST", "/file/x", attempt, 2500, "a filing");
        let runs = engine.count(&[&format!("runs attempt={attempt} ")]);
        record.line(&format!(
            "client got status={}; the engine ran it {runs} times",
            answer.status
        ));
        (answer.status, runs)
    };
    if send(0, KEY, "known-before") != (200, 1)
        || send(1, UNKNOWN_KEY, "unknown-before") != (401, 0)
    {
        harness::give_up("keys were not told apart before the disruption");
    }
    if trouble() {
        publish(8, &[SECOND_KEY]);
        thread::sleep(GAP);
        publish(9, &[]);
    }
    thread::sleep(APPLIED);
    let mut broken = false;
    for entry in 0..2 {
        let dropped = send(entry, KEY, &format!("dropped-{entry}"));
        let unknown = send(entry, UNKNOWN_KEY, &format!("unknown-{entry}"));
        if trouble() {
            if dropped.1 > 0 {
                record.line("CONFIG broken: a request was run with a dropped key");
            }
            if unknown.1 > 0 {
                record.line("ROUTE broken: a request ran whose key no configuration ever held");
            }
            broken |= dropped.1 > 0 || unknown.1 > 0;
        } else if dropped != (200, 1) || unknown != (401, 0) {
            record.line("without the disruption keys were not told apart");
            exit(harness::NOT_RUN);
        }
    }
    drop((engine, system));
    exit(if broken {
        harness::BROKEN
    } else {
        harness::HELD
    });
}
