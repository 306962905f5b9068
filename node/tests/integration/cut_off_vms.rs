//! Entry VMs that are cut off from all backend servers, while callers and other VMs reach them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::backend::{ExecutionEnd, FakeBackend};
use merlinrudder_fakes::cuts::CutMode;
use merlinrudder_fakes::http_client::{
    send_customer_request, send_request, send_request_with_headers,
};
use merlinrudder_fakes::nodes::{CONTROL_VMS, Nodes, wait_for};
use merlinrudder_fakes::raw_server::RawServer;
use nix::sys::signal::Signal;

use crate::deployment::{register, start_deployment, start_with};
use crate::load::{Call, start_servers, under_load};

const ENTRY_VMS: u8 = 7;
const SERVERS: usize = 6;
/// Methods and paths that callers request.
const PATHS: [&str; 3] = ["POST /stream/x", "GET /read/x", "POST /file/x"];
/// Time from the begin of a cut until its VM must serve its callers again.
const DETECTION_TIME: Duration = Duration::from_secs(1);
const CUT_TIME: Duration = Duration::from_secs(4);
/// Time from the end of a cut until its VM must use its own connections again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Longest time for a refusal of what cannot be served.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Time within which a server learns that a caller has left.
const CANCEL_TIME: Duration = Duration::from_millis(500);
/// Time between two events of a slow stream.
const SLOW_INTERVAL: Duration = Duration::from_millis(250);

fn cut(nodes: &Nodes, servers: &[FakeBackend], entries: &[usize], mode: CutMode) {
    let addresses: Vec<IpAddr> = entries.iter().map(|entry| nodes.ip(*entry)).collect();
    for server in servers {
        server.set_cuts(&addresses, mode);
    }
}

/// Asserts that the first tries at cut-off VMs succeed two thirds as often as those at the others.
fn assert_served(calls: &[Call], cut: &[usize], from: Instant, to: Instant, what: &str) {
    let in_cut = |call: &&Call| call.started >= from && call.started + call.took <= to;
    let (mut served, mut sent) = ([0_usize; 2], [0_usize; 2]);
    for call in calls.iter().filter(in_cut) {
        let side = usize::from(cut.contains(&call.entry));
        sent[side] += 1;
        served[side] += usize::from(call.is_served());
    }
    assert!(
        sent[1] > 20,
        "{what}: only {} first tries at cut-off VMs",
        sent[1]
    );
    let is_kept = served[1] * 3 * sent[0] >= served[0] * 2 * sent[1];
    assert!(
        is_kept,
        "{what}: {} of {} first tries served at cut-off VMs, {} of {} at the others",
        served[1], sent[1], served[0], sent[0]
    );
}

/// Asserts that no call that may run once ran twice, and that none ran that was refused.
fn assert_outcomes_are_true(calls: &[Call], servers: &[FakeBackend]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for ran in servers.iter().flat_map(FakeBackend::executions) {
        *runs.entry(ran.attempt).or_default() += 1;
    }
    for call in calls {
        let ran = runs.get(&call.attempt).copied().unwrap_or_default();
        let limit = if call.path.contains("/file/") { 1 } else { 2 };
        assert!(ran <= limit, "{ran} runs of {call:?}");
        let is_refused = [408, 421, 429, 503].contains(&call.response.status);
        assert!(!is_refused || ran == 0 || limit > 1, "{call:?} ran");
        assert_ne!(call.response.status, 429, "{call:?}");
    }
}

/// Cuts off one, three and all but one of seven VMs in turn, under load.
fn play_cuts(mode: CutMode) {
    let servers = start_servers(SERVERS);
    let mut cuts = Vec::new();
    let calls = under_load(&servers, ENTRY_VMS, &PATHS, |nodes| {
        thread::sleep(DETECTION_TIME);
        for count in [1, 3, 6] {
            let entries: Vec<_> = (CONTROL_VMS..CONTROL_VMS + count).collect();
            let start = Instant::now();
            cut(nodes, &servers, &entries, mode);
            thread::sleep(CUT_TIME);
            cuts.push((entries, start, Instant::now()));
            cut(nodes, &servers, &[], mode);
            thread::sleep(RETURN_TIME);
        }
    });
    for (entries, start, end) in &cuts {
        let what = format!("{mode:?} of {} VMs", entries.len());
        assert_served(&calls, entries, *start + DETECTION_TIME, *end, &what);
    }
    assert_outcomes_are_true(&calls, &servers);
}

#[test]
fn callers_of_vms_whose_packets_to_servers_are_lost_are_served() {
    play_cuts(CutMode::Drop);
}

#[test]
fn callers_of_vms_whose_connections_to_servers_are_reset_are_served() {
    play_cuts(CutMode::Reset);
}

#[test]
fn callers_of_vms_whose_new_connections_to_servers_are_refused_are_served() {
    play_cuts(CutMode::Refuse);
}

/// Starts two servers with slow streams and three VMs.
fn start_slow() -> (Vec<FakeBackend>, Nodes) {
    let servers: Vec<_> = (0..2)
        .map(|number| FakeBackend::bind(&format!("i-{number}"), SLOW_INTERVAL))
        .collect::<Result<_, _>>()
        .expect("fake backend servers listen");
    let nodes = start_deployment(3, &servers.iter().collect::<Vec<_>>());
    (servers, nodes)
}

/// Returns all executions of a request at any server.
fn executions(
    servers: &[FakeBackend],
    attempt: &str,
) -> Vec<merlinrudder_fakes::backend::Execution> {
    let all = servers.iter().flat_map(FakeBackend::executions);
    all.filter(|ran| ran.attempt == attempt).collect()
}

#[test]
fn a_stream_that_began_before_its_vm_was_cut_off_goes_on_by_way_of_another_vm() {
    for mode in [CutMode::Reset, CutMode::Drop] {
        let (servers, nodes) = start_slow();
        let callers = nodes.callers_address(3);
        let stream = thread::spawn(move || send_customer_request(callers, "POST /stream/x", "s1"));
        wait_for("running stream", || executions(&servers, "s1").len() == 1);
        thread::sleep(SLOW_INTERVAL * 3);
        cut(&nodes, &servers, &[3], mode);
        let response = stream.join().expect("caller thread finishes");
        assert!(response.is_whole_stream(), "{mode:?}: {response:?}");
        let last = executions(&servers, "s1").pop().expect("a second run");
        assert_ne!(last.sender, Some(nodes.ip(3)), "{mode:?}");
    }
}

#[test]
fn callers_are_refused_at_once_when_all_vms_are_cut_off() {
    let (servers, nodes) = start_slow();
    cut(&nodes, &servers, &[3, 4, 5], CutMode::Drop);
    for number in 0..20 {
        let path = ["POST /stream/x", "GET /read/x"][number % 2];
        let entry = 3 + number % 3;
        let attempt = format!("all-{number}");
        let start = Instant::now();
        let response = send_customer_request(nodes.callers_address(entry), path, &attempt);
        let took = start.elapsed();
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.head.contains("retry-after: "), "{response:?}");
        assert!(number < 9 || took < REFUSAL_TIME, "refused after {took:?}");
    }
    cut(&nodes, &servers, &[], CutMode::Drop);
    let healed = Instant::now();
    wait_for("served request", || {
        let response = send_customer_request(nodes.callers_address(4), "GET /read/x", "healed");
        response.status == 200
    });
    assert!(healed.elapsed() < RETURN_TIME, "{:?}", healed.elapsed());
}

#[test]
fn a_vm_uses_its_own_connections_again_soon_after_a_cut() {
    let servers = start_servers(SERVERS);
    let mut healed = Instant::now();
    let mut own = None;
    let calls = under_load(&servers, 3, &PATHS, |nodes| {
        own = Some(nodes.ip(3));
        cut(nodes, &servers, &[3], CutMode::Drop);
        thread::sleep(CUT_TIME);
        cut(nodes, &servers, &[], CutMode::Drop);
        healed = Instant::now();
        thread::sleep(RETURN_TIME * 2);
    });
    let later = |call: &&Call| call.entry == 3 && call.started > healed + RETURN_TIME;
    let later: Vec<_> = calls.iter().filter(later).collect();
    assert!(!later.is_empty());
    for call in later {
        assert!(call.is_served(), "{call:?}");
        for ran in executions(&servers, &call.attempt) {
            assert_eq!(ran.sender, own, "{call:?}");
        }
    }
}

#[test]
fn a_caller_that_leaves_a_cut_off_vm_ends_the_work_at_the_server() {
    let (servers, nodes) = start_slow();
    cut(&nodes, &servers, &[3], CutMode::Drop);
    let _warm_up = send_customer_request(nodes.callers_address(3), "GET /read/x", "w1");
    let mut caller = TcpStream::connect(nodes.callers_address(3)).expect("entry VM accepts");
    write!(
        caller,
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Merlinrudder-Attempt-Id: c1\r\n\
         X-Merlinrudder-Deadline-Ms: 9000\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
    )
    .expect("the request is sent");
    let mut reader = BufReader::new(&caller);
    let mut line = String::new();
    while !line.starts_with("data:") {
        line.clear();
        let read = reader.read_line(&mut line).expect("the stream goes on");
        assert!(read > 0, "the stream ended");
    }
    drop(caller);
    let left = Instant::now();
    let ran = || executions(&servers, "c1").pop().expect("a run");
    assert!(ran().remaining_ms < 9000, "{:?}", ran());
    wait_for("abandoned run", || ran().end == ExecutionEnd::Abandoned);
    // The server notices at its next event, at most one interval after the close.
    let took = left.elapsed();
    assert!(took < CANCEL_TIME + SLOW_INTERVAL, "{took:?}");
}

#[test]
fn streams_of_a_cut_off_vm_survive_the_stop_and_the_end_of_the_vm_that_serves_them() {
    let (servers, nodes) = start_slow();
    cut(&nodes, &servers, &[3], CutMode::Drop);
    for (number, signal) in [Signal::SIGTERM, Signal::SIGKILL].into_iter().enumerate() {
        let attempt = format!("e{number}");
        let (callers, id) = (nodes.callers_address(3), attempt.clone());
        let stream = thread::spawn(move || send_customer_request(callers, "POST /stream/x", &id));
        wait_for("running stream", || {
            !executions(&servers, &attempt).is_empty()
        });
        thread::sleep(SLOW_INTERVAL * 2);
        let ran = executions(&servers, &attempt).pop().expect("a run");
        let helper = (4..6).find(|entry| ran.sender == Some(nodes.ip(*entry)));
        let helper = helper.expect("another VM sent it");
        nodes.signal(helper, signal).expect("entry VM runs");
        let response = stream.join().expect("caller thread finishes");
        assert!(response.is_whole_stream(), "{signal:?}: {response:?}");
        wait_for("ended VM", || nodes.has_ended(helper));
        nodes.start(helper, false).expect("entry VM starts");
        wait_for("ready VM", || nodes.is_ready(helper));
    }
}

#[test]
fn a_caller_that_knows_the_address_for_other_vms_gets_nothing_there() {
    let (servers, nodes) = start_slow();
    for headers in [
        "",
        "merlinrudder-relay-token: 00000000000000000000000000000000\r\n",
    ] {
        let headers = format!(
            "{headers}merlinrudder-relay-service: app\r\nmerlinrudder-relay-manifest: 1\r\n\
             X-Merlinrudder-Tenant: t1\r\n"
        );
        let response = send_request_with_headers(
            nodes.relay_address(3),
            "GET /read/x",
            "intruder",
            "k1",
            &headers,
        );
        assert_eq!(response.status, 403, "{response:?}");
    }
    assert!(executions(&servers, "intruder").is_empty());
}

#[test]
fn headers_between_vms_that_a_caller_sends_reach_no_server_and_change_nothing() {
    let server = RawServer::bind(|connection, request| {
        write!(
            connection,
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {}\r\n\
             X-Merlinrudder-Response-Seal: seal\r\nmerlinrudder-relay-reason: no_path\r\n\
             merlinrudder-relay-run: not_run\r\nContent-Length: 5\r\n\r\nwhole",
            request.attempt
        )
    })
    .expect("raw server listens");
    let nodes = start_with(1, |nodes| register(nodes, "i-1", server.address));
    let headers = "merlinrudder-relay-excluded: i-1\r\nmerlinrudder-relay-trial: 1\r\n";
    let response = send_request_with_headers(
        nodes.callers_address(3),
        "GET /read/x",
        "plain",
        "k1",
        headers,
    );
    assert_eq!(
        (response.status, response.whole),
        (200, true),
        "{response:?}"
    );
    assert!(
        !response.head.contains("merlinrudder-relay"),
        "{response:?}"
    );
}

#[test]
fn a_vm_that_is_cut_off_accuses_no_server_of_a_crash() {
    let servers = start_servers(SERVERS);
    let calls = under_load(&servers, 3, &["POST /stream/x", "GET /read/x"], |nodes| {
        for _ in 0..6 {
            cut(nodes, &servers, &[3], CutMode::Reset);
            thread::sleep(Duration::from_millis(700));
            cut(nodes, &servers, &[], CutMode::Reset);
            thread::sleep(Duration::from_millis(700));
        }
        for control in 0..CONTROL_VMS {
            let address = nodes.control_address(control);
            let list = send_request(address, "GET /admin/quarantine", "", "");
            assert!(list.body.contains("\"quarantined\":[]"), "{list:?}");
        }
    });
    let accused = calls.iter().filter(|call| call.response.status == 429);
    assert_eq!(accused.count(), 0);
}
