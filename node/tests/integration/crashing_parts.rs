//! Requests that share a part of their prompts which crashes servers; no two are alike.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{CRASHING_PART, CrashPoint, Execution, FakeBackend};
use merlinrudder_fakes::http_client::{HttpResponse, send_request_with_headers};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, sample_configuration, wait_for};
use serde_json::json;

use crate::deployment::{ENTRY_VMS, publish, restarting_servers, total_crashes, with_servers};

const SERVERS: usize = 12;
/// Time from a crash of a server to its next start.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Time between two requests with the crashing part.
const CRASHING_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// Time with sound requests alone.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time before the first crash in which the last of them are answered.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Crashes after which a part must be recognised.
const MAX_CRASHES: usize = 5;
/// Time after the last such crash from which on further runs are counted.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Runs that are allowed later than that.
const MAX_LATE_RUNS: usize = 3;
/// Time of traffic after the last such crash.
const TRAFFIC_TIME: Duration = Duration::from_secs(10);
/// Time after the last such crash from which on sound requests are compared.
const CALM_AFTER: Duration = Duration::from_secs(6);
/// Fewest sound requests in each of the times that are compared.
const MIN_COMPARED: usize = 20;
/// Status of a request that is not sent because its content crashed servers.
const QUARANTINED_STATUS: u16 = 429;
/// Simultaneous crashes of a third of the servers, and the time between two.
const ZONE_CRASHES: usize = 5;
const ZONE_CRASH_INTERVAL: Duration = Duration::from_secs(2);
/// Downtime of a server that crashes with its availability zone.
const ZONE_DOWNTIME: Duration = Duration::from_secs(1);

/// Last part of the next prompt; each is used once.
static NEXT_PART: AtomicU64 = AtomicU64::new(0x1000_0000);

/// A request that was answered, refused or cut.
struct Sent {
    started: Instant,
    response: HttpResponse,
}

impl Sent {
    /// Whether the caller got all of the answer without sending the request again.
    fn is_served(&self) -> bool {
        self.response.is_whole_stream()
    }
}

/// Sends a request whose prompt begins with `shared`; path and last part are used by no other.
fn send_prompt(nodes: &Nodes, shared: &str) -> Sent {
    let unique = NEXT_PART.fetch_add(1, Ordering::Relaxed);
    let entries = u64::from(ENTRY_VMS);
    let entry = CONTROL_VMS + usize::try_from(unique % entries).expect("a small number");
    let path = format!("POST /stream/{unique:x}");
    let headers = format!(
        "X-Merlinrudder-Token-Count: 2540,100\r\n\
         X-Merlinrudder-Prompt-Prefix: {shared},{unique:x}:500\r\n"
    );
    let started = Instant::now();
    let address = nodes.callers_address(entry);
    let attempt = format!("part-{unique:x}");
    let response = send_request_with_headers(address, &path, &attempt, "k1", &headers);
    Sent { started, response }
}

/// Sends requests to all entry VMs at an even pace, whatever becomes of them, until `stopped`.
fn send_prompts(
    nodes: &Nodes,
    shared: &str,
    interval: Duration,
    stopped: &AtomicBool,
) -> Vec<Sent> {
    thread::scope(|scope| {
        let mut senders = Vec::new();
        let mut due = Instant::now();
        while !stopped.load(Ordering::Relaxed) {
            senders.push(scope.spawn(|| send_prompt(nodes, shared)));
            due += interval;
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let senders = senders.into_iter();
        senders
            .map(|sender| sender.join().expect("sender finishes"))
            .collect()
    })
}

/// Runs `during` beside sound requests that share the parts `shared`; returns these requests.
fn with_sound_requests(nodes: &Nodes, shared: &str, during: impl FnOnce()) -> Vec<Sent> {
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let sound = scope.spawn(|| send_prompts(nodes, shared, SOUND_INTERVAL, &stopped));
        // The requests end also when `during` panics.
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(during));
        stopped.store(true, Ordering::Relaxed);
        let sound = sound.join().expect("sound requests end");
        if let Err(panic) = outcome {
            std::panic::resume_unwind(panic);
        }
        sound
    })
}

/// Sends requests with the crashing part until some time after the last allowed crash.
fn send_crashing_prompts(nodes: &Nodes, servers: &[FakeBackend]) {
    let stopped = AtomicBool::new(false);
    let shared = format!("a11ce:40,{CRASHING_PART}:2000");
    thread::scope(|scope| {
        scope.spawn(|| send_prompts(nodes, &shared, CRASHING_INTERVAL, &stopped));
        let crashed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            wait_for("crashed servers", || {
                total_crashes(servers) >= MAX_CRASHES as u64
            });
        }));
        if crashed.is_ok() {
            thread::sleep(TRAFFIC_TIME);
        }
        stopped.store(true, Ordering::Relaxed);
        if let Err(panic) = crashed {
            std::panic::resume_unwind(panic);
        }
    });
}

/// What became of requests with the crashing part and of sound ones beside them.
struct Outcome {
    /// Crashes of all servers.
    crashes: u64,
    /// Runs with the crashing part, in all and after the stability window.
    runs: usize,
    late_runs: usize,
    /// Sound requests before the first crash.
    quiet: Vec<Sent>,
    /// Sound requests some time after the last allowed crash.
    calm: Vec<Sent>,
}

fn last_allowed_crash(servers: &[FakeBackend]) -> Instant {
    let mut crashes: Vec<_> = servers.iter().flat_map(FakeBackend::crash_times).collect();
    crashes.sort();
    crashes[MAX_CRASHES - 1]
}

/// Plays a quiet time, then requests with the crashing part beside sound ones.
fn play(crash_point: CrashPoint, unframed: bool) -> Outcome {
    let servers = restarting_servers(SERVERS, DOWNTIME);
    for server in &servers {
        server.set_crash_point(crash_point);
        server.set_unframed(unframed);
        server.set_new_ids(true);
    }
    let mut outcome = None;
    with_servers(&servers, |nodes| {
        publish_sticky_route(nodes);
        let mut quiet_end = None;
        let sound = with_sound_requests(nodes, "a11ce:40", || {
            thread::sleep(QUIET_TIME);
            quiet_end = Some(Instant::now());
            send_crashing_prompts(nodes, &servers);
        });
        let (quiet, rest): (Vec<_>, Vec<_>) = sound
            .into_iter()
            .partition(|sent| quiet_end.is_some_and(|end| sent.started + ANSWER_TIME < end));
        let last_allowed = last_allowed_crash(&servers);
        let calm = rest.into_iter();
        let executions = servers.iter().flat_map(FakeBackend::executions);
        let runs: Vec<_> = executions.filter(Execution::has_crashing_part).collect();
        let late = runs.iter();
        outcome = Some(Outcome {
            crashes: total_crashes(&servers),
            runs: runs.len(),
            late_runs: late
                .filter(|ran| ran.started > last_allowed + STABILITY_WINDOW)
                .count(),
            quiet,
            calm: calm
                .filter(|sent| sent.started > last_allowed + CALM_AFTER)
                .collect(),
        });
    });
    outcome.expect("the traffic ended")
}

/// Publishes the configuration whose routes carry requests with parts.
fn publish_sticky_route(nodes: &Nodes) {
    let mut configuration = sample_configuration(6);
    configuration["routes"][0]["sticky"] = json!(true);
    publish(nodes, &configuration);
}

fn assert_recognised(crash_point: CrashPoint, unframed: bool) {
    let outcome = play(crash_point, unframed);
    let Outcome {
        crashes,
        runs,
        late_runs,
        ..
    } = outcome;
    assert!(
        late_runs <= MAX_LATE_RUNS,
        "{late_runs} late runs, {runs} in all, {crashes} crashes"
    );
}

#[test]
fn requests_with_a_part_that_crashed_five_servers_reach_no_further_ones() {
    assert_recognised(CrashPoint::WithinEvent, false);
}

#[test]
fn a_part_that_crashes_servers_after_the_head_reaches_no_further_ones() {
    assert_recognised(CrashPoint::AfterHead, false);
}

#[test]
fn a_part_whose_crashes_look_like_ends_of_answers_reaches_no_further_servers() {
    assert_recognised(CrashPoint::AfterEvent, true);
}

#[test]
fn sound_requests_beside_a_crashing_part_begin_at_their_first_attempt() {
    let Outcome { quiet, calm, .. } = play(CrashPoint::WithinEvent, false);
    let served = |sent: &[Sent]| sent.iter().filter(|sent| sent.is_served()).count();
    let (quiet_served, calm_served) = (served(&quiet), served(&calm));
    let figures = format!(
        "{quiet_served} of {} served in quiet, {calm_served} of {} later",
        quiet.len(),
        calm.len()
    );
    assert!(quiet.len().min(calm.len()) >= MIN_COMPARED, "{figures}");
    assert!(quiet_served > 0, "{figures}");
    assert!(
        2 * calm_served * quiet.len() >= quiet_served * calm.len(),
        "{figures}"
    );
}

#[test]
fn a_part_at_the_end_of_a_prompt_crashes_nothing_and_is_served() {
    let servers = restarting_servers(SERVERS, DOWNTIME);
    with_servers(&servers, |nodes| {
        publish_sticky_route(nodes);
        for entry in CONTROL_VMS..nodes.len() {
            let address = nodes.callers_address(entry);
            let headers = format!("X-Merlinrudder-Prompt-Prefix: a11ce:40,{CRASHING_PART}:9\r\n");
            let attempt = format!("end-{entry}");
            let response =
                send_request_with_headers(address, "POST /stream/x", &attempt, "k1", &headers);
            assert!(response.is_whole_stream(), "{response:?}");
        }
        assert_eq!(total_crashes(&servers), 0);
    });
}

#[test]
fn a_zone_that_crashes_convicts_no_part() {
    let servers = restarting_servers(SERVERS, ZONE_DOWNTIME);
    for server in &servers {
        server.set_new_ids(true);
    }
    with_servers(&servers, |nodes| {
        publish_sticky_route(nodes);
        let mut last_crash = None;
        let sent = with_sound_requests(nodes, "a11ce:40,b0b:700", || {
            thread::sleep(QUIET_TIME);
            for _ in 0..ZONE_CRASHES {
                for server in servers.iter().step_by(3) {
                    server.crash();
                }
                last_crash = Some(Instant::now());
                thread::sleep(ZONE_CRASH_INTERVAL);
            }
            thread::sleep(STABILITY_WINDOW);
        });
        let afterwards: Vec<_> = sent
            .iter()
            .filter(|sent| last_crash.is_some_and(|crash| sent.started > crash))
            .collect();
        assert!(afterwards.len() >= MIN_COMPARED);
        let refused = afterwards
            .iter()
            .filter(|sent| sent.response.status == QUARANTINED_STATUS);
        let (refused, all) = (refused.count(), afterwards.len());
        assert_eq!(refused, 0, "of {all} requests after the crashes");
    });
}

/// Guards against a part that all prompts share, blamed with the crashing one that came with it, when
/// no prompt had completed lately.
#[test]
fn sound_requests_are_served_though_their_first_part_came_with_the_crashing_one() {
    let servers = restarting_servers(SERVERS, DOWNTIME);
    with_servers(&servers, |nodes| {
        let crashing = format!("a11ce:40,{CRASHING_PART}:2000");
        wait_for("crashed servers", || {
            let _cut = send_prompt(nodes, &crashing);
            total_crashes(&servers) >= MAX_CRASHES as u64
        });
        thread::sleep(CALM_AFTER);
        let crashes = total_crashes(&servers);
        let sound: Vec<_> = (0..MIN_COMPARED)
            .map(|_| send_prompt(nodes, "a11ce:40"))
            .collect();
        let served = sound.iter().filter(|sent| sent.is_served()).count();
        assert!(
            served * 2 >= MIN_COMPARED,
            "{served} of {MIN_COMPARED} served"
        );
        let again = send_prompt(nodes, &crashing);
        assert_eq!(again.response.status, QUARANTINED_STATUS);
        assert_eq!(total_crashes(&servers), crashes);
    });
}
