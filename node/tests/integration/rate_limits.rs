//! Backend servers that name a limit on the rate of their requests, under several times that load.

use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::FakeBackend;
use merlinrudder_fakes::nodes::{CONTROL_VMS, wait_for};
use nix::sys::signal::Signal;

use crate::load::{start_servers, under_load};

/// Methods and paths that callers request.
const PATHS: [&str; 2] = ["POST /stream/x", "GET /read/x"];
/// Span in which the requests that reach a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time from a server's first answer with a limit until all VMs must keep to it.
const TELL_TIME: Duration = Duration::from_secs(1);
/// Longest time for a refusal of what cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(1500);

/// Returns the most requests that reached a server in one window between two moments.
fn most_arrivals(server: &FakeBackend, from: Instant, to: Instant) -> usize {
    let times: Vec<_> = server
        .executions()
        .iter()
        .map(|ran| ran.started)
        .filter(|started| (from..to).contains(started))
        .collect();
    let in_window = |start: &Instant| {
        let window = *start..*start + WINDOW;
        times.iter().filter(|time| window.contains(*time)).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

fn assert_kept(server: &FakeBackend, limit: f64, from: Instant, to: Instant) {
    let arrivals = most_arrivals(server, from + TELL_TIME, to);
    let allowed = limit * WINDOW.as_secs_f64() * 1.5 + SLACK;
    #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
    let is_kept = arrivals as f64 <= allowed;
    assert!(
        is_kept,
        "{} named {limit} a second and got {arrivals} in a window, {allowed} allowed",
        server.id
    );
}

/// Plays limits of two of four servers for eight seconds.
fn play_two_limits(entry_vms: u8) {
    let servers = start_servers(4);
    let mut named = Instant::now();
    let calls = under_load(&servers, entry_vms, &PATHS, |_| {
        servers[0].set_limits(&["2"]);
        servers[1].set_limits(&["0.7"]);
        named = Instant::now();
        thread::sleep(Duration::from_secs(8));
    });
    let end = Instant::now();
    assert_kept(&servers[0], 2.0, named, end);
    assert_kept(&servers[1], 0.7, named, end);
    let failed = calls.iter().filter(|call| call.response.status != 200);
    assert_eq!(failed.count(), 0, "failed of {}", calls.len());
    for limited in &servers[..2] {
        assert!(
            most_arrivals(limited, named + TELL_TIME, end) >= 2,
            "{} gets nothing",
            limited.id
        );
    }
}

#[test]
fn three_vms_together_keep_to_the_limits_of_two_servers() {
    play_two_limits(3);
}

#[test]
fn seven_vms_together_keep_to_the_limits_of_two_servers() {
    play_two_limits(7);
}

#[test]
fn a_falling_limit_is_kept_and_an_ended_one_is_noticed() {
    let servers = start_servers(2);
    let mut times = Vec::new();
    under_load(&servers, 3, &PATHS, |_| {
        for limits in [&["8"] as &[_], &["1"]] {
            servers[0].set_limits(limits);
            times.push(Instant::now());
            thread::sleep(Duration::from_secs(7));
        }
        times.push(Instant::now());
        servers[0].set_limits(&[]);
        let ended = Instant::now();
        wait_for("requests without a limit", || {
            most_arrivals(&servers[0], ended, Instant::now()) > 40
        });
    });
    assert_kept(&servers[0], 8.0, times[0], times[1]);
    assert_kept(&servers[0], 1.0, times[1], times[2]);
}

#[test]
fn limits_are_kept_while_vms_restart_and_are_cut_off() {
    let servers = start_servers(3);
    let mut named = Instant::now();
    under_load(&servers, 3, &PATHS, |nodes| {
        servers[0].set_limits(&["1.5"]);
        servers[1].set_limits(&["4"]);
        named = Instant::now();
        for entry in CONTROL_VMS..nodes.len() {
            thread::sleep(Duration::from_secs(2));
            nodes.kill(entry).expect("entry VM is killed");
            thread::sleep(Duration::from_millis(500));
            nodes.start(entry, false).expect("entry VM starts");
        }
        nodes.signal(3, Signal::SIGSTOP).expect("entry VM runs");
        thread::sleep(Duration::from_secs(3));
        nodes.signal(3, Signal::SIGCONT).expect("entry VM runs");
        thread::sleep(Duration::from_secs(3));
    });
    let end = Instant::now();
    assert_kept(&servers[0], 1.5, named, end);
    assert_kept(&servers[1], 4.0, named, end);
}

#[test]
fn requests_for_servers_that_all_have_limits_are_served_at_the_limit_or_refused_at_once() {
    let servers = start_servers(2);
    let mut named = Instant::now();
    let calls = under_load(&servers, 3, &PATHS, |_| {
        servers[0].set_limits(&["3"]);
        servers[1].set_limits(&["2"]);
        named = Instant::now();
        thread::sleep(Duration::from_secs(8));
    });
    let end = Instant::now();
    assert_kept(&servers[0], 3.0, named, end);
    assert_kept(&servers[1], 2.0, named, end);
    let ran = servers
        .iter()
        .map(|server| most_arrivals(server, named + TELL_TIME, end));
    let ran: usize = ran.sum();
    assert!(
        ran >= 12,
        "{ran} requests reached the servers in 4 s; 20 are allowed"
    );
    for call in &calls {
        let (response, took) = (&call.response, call.took);
        assert!([200, 503].contains(&response.status), "{response:?}");
        if response.status == 503 {
            assert!(response.head.contains("retry-after: "), "{response:?}");
            assert!(took < REFUSAL_TIME, "{took:?}: {response:?}");
        }
    }
}

#[test]
fn a_limit_of_zero_lets_trials_pass_and_one_that_is_no_rate_changes_nothing() {
    let servers = start_servers(3);
    let mut named = Instant::now();
    let calls = under_load(&servers, 3, &PATHS, |_| {
        servers[0].set_limits(&["0"]);
        servers[1].set_limits(&["nan"]);
        named = Instant::now();
        thread::sleep(Duration::from_secs(7));
    });
    let end = Instant::now();
    assert_kept(&servers[0], 0.0, named, end);
    assert!(most_arrivals(&servers[1], named + TELL_TIME, end) > 40);
    let failed = calls.iter().filter(|call| call.response.status != 200);
    assert_eq!(failed.count(), 0, "failed of {}", calls.len());
}
