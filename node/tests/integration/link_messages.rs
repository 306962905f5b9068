//! What entry and control VMs send over a link that opens, and over idle ones.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_core::consensus::message::{Index, Record as RaftRecord, Snapshot, Term};
use merlinrudder_core::control::{ControlState, PublishedManifest};
use merlinrudder_core::control_contact::RECENT_CONFIRMATION;
use merlinrudder_core::crash_history::{CrashReport, CrashedRun};
use merlinrudder_core::directory::Incarnation;
use merlinrudder_core::history_pull::CONTROL_WAIT;
use merlinrudder_core::link_policy::dial_delay;
use merlinrudder_core::manifest::ManifestNumber;
use merlinrudder_core::manifest_history::ManifestStep;
use merlinrudder_core::names::ServerId;
use merlinrudder_core::time::Moment;
use merlinrudder_core::units::ContentDigest;
use merlinrudder_fakes::http_client::{
    send_customer_request, send_request, send_request_with_headers,
};
use merlinrudder_fakes::nodes::sample_configuration;
use merlinrudder_store::DataFolder;
use merlinrudder_wire::compression::compress;
use merlinrudder_wire::consensus::encode_record;
use merlinrudder_wire::control::encode_state;
use merlinrudder_wire::crashes::WireCrashReport;
use merlinrudder_wire::manifest_update::WireManifestUpdate;
use merlinrudder_wire::mesh::{HISTORY_NOT_WANTED, MeshMessage, WireFeatures};
use merlinrudder_wire::peers::WirePeer;
use socket2::SockRef;
use tempfile::TempDir;

use crate::hand_link::HandLink;
use crate::in_process_vm::Vm;

/// Time in which everything that follows the opening of a link has arrived.
const SETTLE_TIME: Duration = Duration::from_millis(700);
/// Calls that are given up, each for a race between its bytes and its end.
const ABANDONED_CALLS: usize = 30;
/// Longest wait for a state that must be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns what the messages say that the sender knows when it asks for the crash history.
fn pulls(messages: &[MeshMessage]) -> Vec<u64> {
    let pulls = messages.iter().filter_map(|message| match message {
        MeshMessage::PullQuarantineList { have } => Some(*have),
        _ => None,
    });
    pulls.collect()
}

fn reports(messages: &[MeshMessage]) -> Vec<usize> {
    let reports = messages.iter().filter_map(|message| match message {
        MeshMessage::CrashReports(reports) => Some(reports.len()),
        _ => None,
    });
    reports.collect()
}

/// Returns reports of crashes of the servers and contents with these numbers, `age` ago.
fn crash_reports(numbers: Range<u8>, age: Duration) -> MeshMessage {
    let now = Moment::from_millis(10_000_000);
    let report = |number| {
        let run = CrashedRun {
            started: now - age - Duration::from_millis(50),
            ended: now - age,
            servers: 10,
            cleared: false,
        };
        let server = ServerId::from(format!("i-{number}"));
        let incarnation = Incarnation { server, born: 5 };
        let content = ContentDigest([number; 32]);
        let report = CrashReport {
            content,
            incarnation,
            run,
        };
        WireCrashReport::new(now, &report)
    };
    MeshMessage::CrashReports(numbers.map(report).collect())
}

/// Guards against a crash history that each VM gets from all other ones.
#[test]
fn an_entry_vm_asks_control_vms_for_the_crash_history_and_no_entry_vms() {
    let vm = Vm::start(false);
    let mut control = HandLink::open_kept(vm.address, "control", true);
    let mut entry = HandLink::open_kept(vm.address, "entry", false);
    let from_vm = control.read_for(SETTLE_TIME);
    assert_eq!(pulls(&from_vm), [0]);
    assert_eq!(pulls(&entry.read_for(SETTLE_TIME)), [HISTORY_NOT_WANTED]);
    // With the link to the control VM nobody else is asked later either.
    assert!(pulls(&entry.read_for(CONTROL_WAIT + SETTLE_TIME * 2)).is_empty());
    assert!(pulls(&control.read_for(SETTLE_TIME)).is_empty());
}

/// Guards against VMs of this version and the version before that get no reports of crashes.
#[test]
fn entry_vms_of_this_version_and_the_one_before_get_reports() {
    let vm = Vm::start(false);
    let mut control = HandLink::open_kept(vm.address, "control", true);
    let mut new = HandLink::open_kept(vm.address, "new", false);
    let mut old = HandLink::open_kept(vm.address, "old", false);
    let have = HISTORY_NOT_WANTED;
    new.send(&MeshMessage::PullQuarantineList { have });
    old.send(&MeshMessage::PullQuarantineList { have: 0 });
    control.send(&crash_reports(0..3, Duration::from_secs(5)));
    control.read_for(Duration::from_millis(100));
    assert_eq!(reports(&new.read_for(Duration::from_millis(100))), [0]);
    // The version before asks with a number of its own and gets the history.
    old.send(&MeshMessage::PullQuarantineList { have: 0 });
    let answers = reports(&old.read_for(Duration::from_millis(500)));
    assert_eq!(answers.last(), Some(&3), "{answers:?}");
}

/// Guards against a VM without the crash history while all control VMs are down.
#[test]
fn an_entry_vm_without_control_vms_asks_another_entry_vm() {
    let vm = Vm::start(false);
    let mut entry = HandLink::open_kept(vm.address, "entry", false);
    assert_eq!(
        pulls(&entry.read_for(CONTROL_WAIT * 2)),
        [HISTORY_NOT_WANTED, 0]
    );
}

/// Guards against a log line for each crash of a history that a starting VM gets.
#[test]
fn old_crashes_are_counted_in_one_line() {
    let vm = Vm::start(false);
    let mut control = HandLink::open_kept(vm.address, "control", true);
    control.send(&crash_reports(0..40, Duration::from_mins(5)));
    control.send(&crash_reports(40..43, Duration::from_secs(5)));
    control.read_for(SETTLE_TIME);
    assert_eq!(
        vm.lines
            .count("Earlier crashes of backend servers recorded"),
        1
    );
    assert_eq!(vm.lines.count("Crash of a backend server recorded"), 3);
}

/// Guards against a quarantine that a VM lifts late, for an operator who has left, though the content crashed
/// further servers since.
#[test]
fn a_lift_whose_operator_has_left_is_not_carried_out() {
    let vm = Vm::start(true);
    let mut entry = HandLink::open_kept(vm.address, "entry", false);
    entry.send(&crash_reports(7..8, Duration::from_secs(5)));
    entry.read_for(Duration::from_millis(300));
    let request = format!(
        "DELETE /admin/quarantine/{} HTTP/1.1\r\nhost: a\r\n\r\n",
        "07".repeat(32)
    );
    for _ in 0..ABANDONED_CALLS {
        let mut stream = TcpStream::connect(vm.callers).expect("the VM accepts calls");
        // The request and the end of the connection are sent together.
        SockRef::from(&stream)
            .set_tcp_cork(true)
            .expect("a socket option");
        stream
            .write_all(request.as_bytes())
            .expect("an open connection");
    }
    entry.read_for(SETTLE_TIME);
    assert_eq!(vm.lines.count("Quarantine lifted by an operator"), 0);
    let lifted = send_request(
        vm.callers,
        &format!("DELETE /admin/quarantine/{}", "07".repeat(32)),
        "",
        "",
    );
    assert_eq!(lifted.status, 200, "an operator who waits lifts it");
}

/// Guards against links to other entry VMs that open before callers can be served.
#[test]
fn a_starting_entry_vm_dials_others_once_its_manifest_is_confirmed() {
    for confirmed in [true, false] {
        let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
        other.set_nonblocking(true).expect("a socket option");
        let start = Instant::now();
        let vm = Vm::start(false);
        let mut control = HandLink::open_kept(vm.address, "control", true);
        let address = other.local_addr().expect("a local address");
        control.send(&MeshMessage::Peers(vec![WirePeer {
            vm: "other".to_owned(),
            zone: "z".to_owned(),
            address,
            control: false,
        }]));
        if confirmed {
            // An entry VM without a manifest takes none for confirmed, so it is sent one first.
            let bytes = sample_configuration(5).to_string();
            let bytes = Arc::from(bytes.into_bytes());
            control.send(&MeshMessage::Manifest {
                number: 5,
                bytes,
                current: true,
            });
            control.send(&MeshMessage::NewestManifest {
                number: 5,
                current: true,
            });
        }
        // A VM with the higher address dials only after a while.
        let delay = dial_delay(vm.address, address);
        while other.accept().is_err() {
            control.read_for(Duration::from_millis(10));
            assert!(start.elapsed() < WAIT_TIMEOUT, "not dialled");
        }
        let took = start.elapsed();
        let hold = Duration::from_secs(1);
        let is_held = took >= hold + delay;
        assert_eq!(
            is_held, !confirmed,
            "dialled after {took:?}, delay {delay:?}"
        );
    }
}

/// Guards against a list of all VMs that is sent every 2 s though nothing changed.
#[test]
fn a_control_vm_sends_the_list_of_vms_when_it_changed() {
    let vm = Vm::start(true);
    let lists = |messages: Vec<MeshMessage>| {
        let lists = messages.into_iter().filter_map(|message| match message {
            MeshMessage::Peers(peers) => Some(peers.len()),
            _ => None,
        });
        lists.collect::<Vec<_>>()
    };
    let mut first = HandLink::open_kept(vm.address, "first", false);
    let opened = lists(first.read_for(Duration::from_millis(2500)));
    assert_eq!(
        opened.first(),
        Some(&2),
        "a VM whose link opens gets the list"
    );
    assert!(opened.len() <= 2, "{opened:?}");
    let quiet = lists(first.read_for(Duration::from_secs(5)));
    assert!(quiet.is_empty(), "{quiet:?}");
    let mut second = HandLink::open_kept(vm.address, "second", false);
    let start = Instant::now();
    let told = lists(first.read_for(Duration::from_millis(500)));
    assert_eq!(told, [3], "told of the new VM after {:?}", start.elapsed());
    assert_eq!(
        lists(second.read_for(Duration::from_millis(300))).first(),
        Some(&3)
    );
}

/// Guards against callers that all return at the same moment after a start of all VMs.
#[test]
fn refusals_of_a_starting_vm_spread_the_return_of_callers() {
    let vm = Vm::start(false);
    let callers = vm.callers;
    let refused = (0..40).map(|number| {
        thread::spawn(move || {
            let attempt = format!("start-{number}");
            send_customer_request(callers, "POST /file/x", &attempt)
        })
    });
    let refused: Vec<_> = refused.collect();
    let mut waits = Vec::new();
    for response in refused {
        let response = response.join().expect("caller thread finishes");
        assert_eq!(response.status, 503, "{response:?}");
        let header = response.head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("retry-after").then_some(value)
        });
        let wait: f64 = header
            .expect("a Retry-After")
            .trim()
            .parse()
            .expect("a number");
        assert!((0.3..=1.0).contains(&wait), "{wait}");
        waits.push(wait);
    }
    let shortest = waits.iter().copied().fold(f64::MAX, f64::min);
    let longest = waits.iter().copied().fold(0.0, f64::max);
    assert!(longest - shortest > 0.1, "{waits:?}");
    assert!(longest > 0.65, "{waits:?}");
}

/// Returns which manifests the sender has that asks for a newer one.
fn manifest_pulls(messages: &[MeshMessage]) -> Vec<u64> {
    let pulls = messages.iter().filter_map(|message| match message {
        MeshMessage::PullManifest { have } => Some(*have),
        _ => None,
    });
    pulls.collect()
}

fn newest(number: u64) -> MeshMessage {
    MeshMessage::NewestManifest {
        number,
        current: true,
    }
}

/// Returns the difference between two configurations; `digest` is that of the newer one.
fn update(base: u64, number: u64, digest: ContentDigest) -> MeshMessage {
    let document = |number| match number {
        0 => Vec::new(),
        _ => sample_configuration(number).to_string().into_bytes(),
    };
    let step = ManifestStep {
        base: ManifestNumber(base),
        number: ManifestNumber(number),
        length: document(number).len(),
        data: Arc::from(compress(&document(number), &document(base))),
    };
    MeshMessage::ManifestUpdate(WireManifestUpdate::new(digest, vec![step]))
}

fn digest(number: u64) -> ContentDigest {
    ContentDigest::of(sample_configuration(number).to_string().as_bytes())
}

/// Guards against a manifest in force that a damaged difference made up, and one that stays old.
#[test]
fn a_damaged_difference_is_not_in_force_and_the_whole_manifest_is_requested() {
    let vm = Vm::start(false);
    let mut control = HandLink::open_kept(vm.address, "control", true);
    control.send(&newest(5));
    assert_eq!(manifest_pulls(&control.read_for(SETTLE_TIME))[0], 0);
    control.send(&update(0, 5, digest(5)));
    control.read_for(SETTLE_TIME);
    assert_eq!(vm.lines.count("Manifest in force"), 1);
    control.send(&newest(6));
    assert_eq!(manifest_pulls(&control.read_for(SETTLE_TIME))[0], 5);
    control.send(&update(5, 6, digest(7)));
    let later = manifest_pulls(&control.read_for(SETTLE_TIME * 3));
    assert_eq!(vm.lines.count("Cannot decode manifest"), 1);
    assert_eq!(vm.lines.count("Manifest in force"), 1);
    assert!(
        !later.is_empty() && later.iter().all(|have| *have == 0),
        "{later:?}"
    );
    control.send(&update(0, 6, digest(6)));
    control.read_for(SETTLE_TIME);
    assert_eq!(vm.lines.count("Manifest in force"), 2);
}

/// Starts an entry VM whose manifest 5 is in force, with a link from a control VM.
fn start_with_manifest() -> (Vm, HandLink) {
    let vm = Vm::start(false);
    let mut control = HandLink::open_kept(vm.address, "control", true);
    control.send(&update(0, 5, digest(5)));
    control.read_for(SETTLE_TIME);
    (vm, control)
}

/// Sends a request on a path without a route; returns the status of its answer.
fn status_of_unknown_path(vm: &Vm) -> u16 {
    send_customer_request(vm.callers, "POST /added/x", "attempt").status
}

/// Guards against callers that are denied by a manifest that no control VM has confirmed yet.
#[test]
fn a_vm_whose_manifest_is_not_confirmed_denies_no_request() {
    let (vm, mut control) = start_with_manifest();
    assert_eq!(status_of_unknown_path(&vm), 503);
    control.send(&newest(5));
    control.read_for(SETTLE_TIME);
    // A control VM tells it again and again, or it has lost the leader.
    control.send(&newest(5));
    control.read_for(Duration::from_millis(100));
    assert_eq!(status_of_unknown_path(&vm), 404);
    control.read_for(RECENT_CONFIRMATION);
    assert_eq!(status_of_unknown_path(&vm), 503);
}

/// Guards against callers that are denied by a manifest that the VM knows to be outdated.
#[test]
fn a_vm_that_knows_of_a_newer_manifest_denies_no_request_by_its_own() {
    let (vm, mut control) = start_with_manifest();
    control.send(&newest(5));
    control.send(&newest(6));
    control.read_for(Duration::from_millis(100));
    assert_eq!(status_of_unknown_path(&vm), 503);
}

/// Guards against a refusal of callers who come just before a newer manifest is in force.
#[test]
fn a_request_without_a_route_waits_for_the_newer_manifest() {
    let (vm, mut control) = start_with_manifest();
    control.send(&newest(5));
    control.send(&newest(6));
    control.read_for(Duration::from_millis(100));
    let callers = vm.callers;
    let request =
        thread::spawn(move || send_customer_request(callers, "POST /added/x", "attempt").status);
    control.read_for(Duration::from_millis(100));
    control.send(&update(5, 6, digest(6)));
    // Manifest 6 has no such route either, and says so at once.
    assert_eq!(request.join().expect("no panic"), 404);
    assert_eq!(vm.lines.count("Manifest in force"), 2);
}

/// Returns a data folder whose snapshot holds manifest 5.
fn folder_with_manifest() -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut opened, _) = DataFolder::open(folder.path()).expect("a new data folder");
    let state = ControlState {
        manifest: Some(PublishedManifest {
            number: ManifestNumber(5),
            bytes: Arc::from(sample_configuration(5).to_string().into_bytes()),
        }),
        ..ControlState::default()
    };
    let snapshot = Snapshot {
        index: Index(9),
        term: Term(1),
        data: encode_state(&state),
        ..Snapshot::default()
    };
    let record = encode_record(RaftRecord::Snapshot(snapshot));
    opened.journal.append(&[record]).expect("a written journal");
    folder
}

/// Guards against entry VMs that get no manifest from a control VM which has restored a snapshot.
#[test]
fn a_control_vm_that_has_restored_a_snapshot_answers_with_its_manifest() {
    let vm = Vm::start_in(true, folder_with_manifest());
    // It has advertised the manifest before the link opens.
    thread::sleep(SETTLE_TIME);
    let features = WireFeatures {
        manifest_updates: true,
        ..WireFeatures::default()
    };
    let mut entry = HandLink::open_with(vm.address, "entry", false, &features).keep();
    entry.read_for(SETTLE_TIME);
    entry.send(&MeshMessage::PullManifest { have: 0 });
    let answers = entry.read_for(SETTLE_TIME);
    let numbers = answers.iter().filter_map(|message| match message {
        MeshMessage::ManifestUpdate(update) => Some(update.number),
        _ => None,
    });
    assert_eq!(numbers.collect::<Vec<_>>(), [5]);
}

/// Guards against orders that are carried out long after the operator has given them up.
///
/// A control VM opens its data folder late if the disk is full; here another process holds the lock.
#[test]
fn a_control_vm_that_opens_its_folder_late_ignores_calls_that_were_given_up() {
    let folder = folder_with_manifest();
    let (locked, _) = DataFolder::open(folder.path()).expect("it opens");
    let vm = Vm::start_in(true, folder);
    let document = sample_configuration(6).to_string();
    for (path, body) in [
        ("/-/Evacuations.Start/z", ""),
        ("/-/Config.Put", document.as_str()),
    ] {
        let mut operator = TcpStream::connect(vm.callers).expect("a connection");
        let length = body.len();
        let request =
            format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: {length}\r\n\r\n{body}");
        operator
            .write_all(request.as_bytes())
            .expect("the request is written");
        thread::sleep(SETTLE_TIME);
    }
    drop(locked);
    let end = Instant::now() + WAIT_TIMEOUT;
    while vm.lines.count("Opened the data folder") == 0 && Instant::now() < end {
        thread::sleep(SETTLE_TIME);
    }
    thread::sleep(SETTLE_TIME);
    assert_eq!(vm.lines.count("Opened the data folder"), 1);
    assert_eq!(vm.lines.count("Evacuation ordered"), 0);
    assert_eq!(vm.lines.count("Manifest submitted"), 0);
}

/// Returns reports of runs with one part of a prompt that crashed these servers at the same moment.
fn part_crashes(servers: Range<u8>, part: ContentDigest) -> MeshMessage {
    let now = Moment::from_millis(10_000_000);
    let report = |number| {
        let run = CrashedRun {
            started: now - Duration::from_millis(5050),
            ended: now - Duration::from_secs(5),
            servers: 10,
            cleared: false,
        };
        let server = ServerId::from(format!("i-{number}"));
        let report = CrashReport {
            content: part,
            incarnation: Incarnation { server, born: 5 },
            run,
        };
        WireCrashReport::new(now, &report)
    };
    MeshMessage::CrashReports(servers.map(report).collect())
}

/// Guards against callers that are refused for the rest of a trial whose result, a crash, is known.
#[test]
fn a_trial_ends_with_the_crash_that_it_causes() {
    const QUARANTINED: u16 = 429;
    let (vm, mut control) = start_with_manifest();
    let part = ContentDigest::of_prompt_part("app", "p1");
    let status = |attempt: &str| {
        let headers = "X-Merlinrudder-Prompt-Prefix: p1:10,last:5\r\n";
        let path = "POST /stream/x";
        send_request_with_headers(vm.callers, path, attempt, "k1", headers).status
    };
    control.send(&part_crashes(0..3, part));
    control.send(&MeshMessage::TrialStarted(part.0));
    control.read_for(Duration::from_millis(100));
    assert_eq!(status("awaits-the-trial"), QUARANTINED);
    control.send(&part_crashes(3..4, part));
    control.read_for(Duration::from_millis(100));
    // It is the next trial, for which there is no server here.
    assert_ne!(status("is-the-next-trial"), QUARANTINED);
}
