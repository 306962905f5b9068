//! The roles of the platform as real processes, with stand-ins for its backend servers.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use merlinrudder_fakes::platform::{Backend, EVENTS, Fault};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tempfile::TempDir;

/// Longest wait for a state that must come; tests do not measure time.
const PATIENCE: Duration = Duration::from_mins(1);
const LOOK: Duration = Duration::from_millis(50);
const PACE: Duration = Duration::from_millis(20);

/// Time after which a stopping entry VM has closed, with the start of the stop before it.
const CLOSED_AFTER: Duration = Duration::from_millis(3400);

/// Makes the loopback addresses of each deployment in this process its own.
static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);

/// Three control VMs and some entry VMs, as processes.
struct Platform {
    folder: TempDir,
    subnet: u8,
    ports: [u16; 4],
    nodes: Vec<Node>,
}

struct Node {
    name: String,
    control: bool,
    ip: IpAddr,
    child: Option<Child>,
}

impl Platform {
    fn start(entries: u8) -> Self {
        let subnet = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        // Free ports of one address are taken to be free at the others of the test's own subnet.
        let base = free_port(subnet);
        let mut platform = Self {
            folder: tempfile::tempdir().expect("a folder"),
            subnet,
            ports: [base, base + 1, base + 2, base + 3],
            nodes: Vec::new(),
        };
        for number in 0..3 + entries {
            let control = number < 3;
            let kind = if control { "control" } else { "entry" };
            platform.nodes.push(Node {
                name: format!("{kind}-{number}"),
                control,
                ip: platform.ip(number),
                child: None,
            });
        }
        for at in 0..platform.nodes.len() {
            platform.spawn(at, true);
        }
        platform
    }

    fn ip(&self, number: u8) -> IpAddr {
        IpAddr::from([127, 77, self.subnet, 10 + number])
    }

    fn spawn(&mut self, at: usize, first_start: bool) {
        let seeds: Vec<_> = (0..3)
            .map(|n| format!("{}:{}", self.ip(n), self.ports[0]))
            .collect();
        let node = &mut self.nodes[at];
        let (name, ip) = (&node.name, node.ip);
        let [calls, callers, ready, internal] = self.ports;
        let mut text = format!(
            "node={name}\nzone=z{}\nip={ip}\nseeds={}\nbootstrap={first_start}\n\
             internal-port-range={internal},{}\nbounds.grace-s=8\n",
            at % 3,
            seeds.join(","),
            internal + 1
        );
        if node.control {
            let folder = self.folder.path().join(name);
            let folder = folder.display();
            writeln!(text, "listen.control={ip}:{calls}\ndata-dir={folder}").expect("text");
        } else {
            writeln!(
                text,
                "listen.front={ip}:{callers}\nlisten.ready={ip}:{ready}"
            )
            .expect("text");
        }
        let file = self.folder.path().join(format!("{name}.conf"));
        std::fs::write(&file, text).expect("a settings file");
        let log = self.folder.path().join(format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_merlinrudder"))
            .arg(if node.control { "control" } else { "entry" })
            .env("MERLINRUDDER_NODE_FILE", file)
            .stdout(log.try_clone().expect("a log"))
            .stderr(Stdio::from(log))
            .spawn();
        node.child = Some(child.expect("a process"));
    }

    fn signal(&self, at: usize, signal: Signal) {
        let child = self.nodes[at].child.as_ref().expect("a running process");
        let pid = Pid::from_raw(i32::try_from(child.id()).expect("a process id"));
        kill(pid, signal).expect("a process of this test");
    }

    fn kill_and_restart(&mut self, all: std::ops::Range<usize>) {
        for at in all.clone() {
            let mut child = self.nodes[at].child.take().expect("a running process");
            child.kill().expect("a process of this test");
            child.wait().expect("its end");
        }
        for at in all {
            self.spawn(at, false);
        }
    }

    fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[at].ip, self.ports[0])
    }

    fn callers(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[at].ip, self.ports[1])
    }

    fn ready(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[at].ip, self.ports[2])
    }

    fn put(&self, at: usize, document: &serde_json::Value) -> u16 {
        let body = document.to_string();
        exchange(self.control(at), "POST /-/Config.Put", "", &body).status
    }

    /// Puts a configuration until it is confirmed, as an operator does.
    fn publish(&self, document: &serde_json::Value) {
        wait_for("a confirmed configuration", || {
            (0..3).any(|at| self.put(at, document) == 200)
        });
    }

    fn read_version(&self, at: usize) -> Option<u64> {
        let answer = exchange(self.control(at), "GET /-/Config.Get", "", "");
        let document: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
        document["version"].as_u64()
    }

    fn beat(&self, backend: &Backend, service: &str) {
        let body = json!({"service": service, "address": backend.address.to_string(),
            "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "seq": 1, "born": 5});
        let call = format!("POST /-/Instances.Heartbeat/{}", backend.id);
        wait_for("a taken heartbeat", || {
            (0..3).any(|at| exchange(self.control(at), &call, "", &body.to_string()).status == 200)
        });
    }

    fn wait_ready(&self, at: usize) {
        let address = self.ready(at);
        wait_for("a ready entry VM", || {
            exchange(address, "GET /-/ready", "", "").status == 200
        });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                // It may have ended by itself.
                drop(child.kill());
                drop(child.wait());
            }
        }
        if thread::panicking() {
            for node in &self.nodes {
                let log = self.folder.path().join(format!("{}.log", node.name));
                let text = std::fs::read_to_string(log).unwrap_or_default();
                let tail: Vec<_> = text.lines().rev().take(25).collect();
                eprintln!("--- {}\n{}", node.name, tail.join("\n"));
            }
        }
    }
}

#[derive(Debug, Default)]
struct Answer {
    status: u16,
    head: String,
    body: String,
    /// Whether the answer ended as its framing says.
    whole: bool,
}

/// Sends one request on a connection of its own; no answer has status 0.
fn exchange(address: SocketAddr, call: &str, headers: &str, body: &str) -> Answer {
    try_exchange(address, call, headers, body).unwrap_or_default()
}

fn try_exchange(
    address: SocketAddr,
    call: &str,
    headers: &str,
    body: &str,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let length = body.len();
    write!(
        stream,
        "{call} HTTP/1.1\r\nHost: h.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )?;
    let mut reader = BufReader::new(stream);
    let mut answer = Answer::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? <= 2 {
            break;
        }
        answer.head += &line.to_ascii_lowercase();
    }
    let status = answer.head.split(' ').nth(1);
    answer.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    if answer.head.contains("transfer-encoding: chunked") {
        read_chunks(&mut reader, &mut answer);
        return Ok(answer);
    }
    let length = answer
        .head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length
        .and_then(|length| length.trim().parse().ok())
        .unwrap_or(0);
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    answer.whole = true;
    Ok(answer)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, answer: &mut Answer) {
    loop {
        let mut line = String::new();
        let Ok(read) = reader.read_line(&mut line) else {
            return;
        };
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return;
        };
        if read == 0 {
            return;
        }
        let mut bytes = vec![0; length + 2];
        if reader.read_exact(&mut bytes).is_err() {
            return;
        }
        if length == 0 {
            answer.whole = true;
            return;
        }
        answer.body += &String::from_utf8_lossy(&bytes[..length]);
    }
}

fn request(address: SocketAddr, call: &str, attempt: &str) -> Answer {
    let headers = format!(
        "X-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Deadline-Ms: 10000\r\n\
         Authorization: Bearer k1\r\n"
    );
    exchange(address, call, &headers, "body")
}

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "no {what}");
        thread::sleep(LOOK);
    }
}

fn free_port(subnet: u8) -> u16 {
    let ip = IpAddr::from([127, 77, subnet, 1]);
    let listener = TcpListener::bind((ip, 0)).expect("a port");
    listener
        .local_addr()
        .expect("its address")
        .port()
        .min(60_000)
}

fn document(version: u64) -> serde_json::Value {
    json!({
        "version": version,
        "routes": [
            {"name": "drafts", "host": "h.example", "path-prefix": "/stream/", "kind": "streaming",
             "timeout-ms": 10_000, "slo-ms": 300, "service": "app", "max-attempts": 2,
             "resumable": true, "gap-target-ms": 250},
            {"name": "file", "host": "h.example", "path-prefix": "/file/", "kind": "unsafe",
             "timeout-ms": 2000, "service": "app", "max-attempts": 1},
            {"name": "read", "host": "h.example", "path-prefix": "/read/", "kind": "safe",
             "timeout-ms": 2000, "service": "app", "max-attempts": 2},
        ],
        "services": [{"name": "app", "max-conns": 50}],
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    })
}

/// Starts a deployment that serves through one entry VM, node 3.
fn serving(backends: &[&Backend]) -> Platform {
    let platform = Platform::start(1);
    platform.publish(&document(5));
    for backend in backends {
        platform.beat(backend, "app");
    }
    platform.wait_ready(3);
    platform
}

fn backend(id: &str) -> Backend {
    Backend::bind(id, PACE).expect("a stand-in")
}

fn whole_stream(answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
    let ids: Vec<u64> = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn requests_of_each_kind_are_served_and_others_refused() {
    let server = backend("i-1");
    let platform = serving(&[&server]);
    let callers = platform.callers(3);
    whole_stream(&request(callers, "POST /stream/x", "a1"));
    let filed = request(callers, "POST /file/x", "a2");
    assert_eq!((filed.status, filed.body.as_str()), (200, "whole"));
    assert!(filed.head.contains("x-merlinrudder-response-seal: seal"));
    assert_eq!(request(callers, "GET /nowhere/x", "a3").status, 404);
    let stranger = exchange(
        callers,
        "POST /file/x",
        "X-Merlinrudder-Attempt-Id: a4\r\n",
        "",
    );
    assert_eq!(stranger.status, 401);
    let ran = server.ran();
    assert_eq!(ran.len(), 2, "{ran:?}");
    assert!(
        ran.iter()
            .all(|ran| ran.customer == "t1" && ran.left_ms <= 10_000)
    );
    let mut invalid = document(9);
    invalid["routes"][0]["service"] = json!("nobody");
    assert_eq!(platform.put(0, &invalid), 400);
    wait_for("a read", || platform.read_version(1) == Some(5));
}

#[test]
fn a_stream_that_breaks_in_an_event_goes_on_elsewhere_without_gap() {
    let (one, two) = (backend("i-1"), backend("i-2"));
    let platform = serving(&[&one, &two]);
    for fault in [
        Fault::BreakAfter(4),
        Fault::BreakAfter(0),
        Fault::LoseAnswer,
    ] {
        one.set_faults(&[fault]);
        two.set_faults(&[]);
        for attempt in 0..4 {
            let answer = request(
                platform.callers(3),
                "POST /stream/x",
                &format!("b{attempt}"),
            );
            whole_stream(&answer);
        }
    }
}

#[test]
fn a_call_that_may_run_once_is_not_sent_again_after_its_answer_was_lost() {
    let (one, two) = (backend("i-1"), backend("i-2"));
    let platform = serving(&[&one, &two]);
    for server in [&one, &two] {
        server.set_faults(&[Fault::LoseAnswer, Fault::LoseAnswer]);
    }
    for attempt in ["c1", "c2", "c3", "c4"] {
        let answer = request(platform.callers(3), "POST /file/x", attempt);
        assert!([200, 502].contains(&answer.status), "{answer:?}");
        let ran = one.ran().into_iter().chain(two.ran());
        assert_eq!(ran.filter(|ran| ran.attempt == attempt).count(), 1);
    }
    for server in [&one, &two] {
        server.set_faults(&[Fault::Refuse]);
    }
    let answer = request(platform.callers(3), "POST /file/x", "c5");
    let ran = one.ran().into_iter().chain(two.ran());
    let runs = ran.filter(|ran| ran.attempt == "c5").count();
    assert!(answer.status == 503 && runs == 0 || answer.status == 200 && runs == 1);
}

/// Seen on the platform: a stream on its last attempt was cut after 1.6 s of silence.
#[test]
fn a_stream_with_no_attempt_left_waits_for_a_silent_server() {
    let (one, two) = (backend("i-1"), backend("i-2"));
    let platform = serving(&[&one, &two]);
    let silent = Fault::SilentAfter(5, Duration::from_millis(2500));
    for server in [&one, &two] {
        server.set_faults(&[Fault::LoseAnswer, silent]);
    }
    // The first attempt breaks at once; the next server loses its first answer to another caller.
    let callers = platform.callers(3);
    drop(request(callers, "POST /file/x", "d0"));
    let answer = request(callers, "POST /stream/x", "d1");
    whole_stream(&answer);
}

/// Seen on the platform: a caller that came 5 s after the signal was taken and then cut.
#[test]
fn a_planned_stop_cuts_no_stream_and_takes_nobody_late() {
    let server = backend("i-1");
    let platform = serving(&[&server]);
    let callers = platform.callers(3);
    let streams: Vec<_> = (0..6)
        .map(|n| thread::spawn(move || request(callers, "POST /stream/x", &format!("e{n}"))))
        .collect();
    wait_for("running streams", || server.ran().len() == 6);
    platform.signal(3, Signal::SIGTERM);
    wait_for("an unready VM", || {
        exchange(platform.ready(3), "GET /-/ready", "", "").status != 200
    });
    for stream in streams {
        whole_stream(&stream.join().expect("a stream"));
    }
    // Callers that come once it closes would still be served when the process must end.
    let long = Fault::SilentAfter(1, Duration::from_secs(6));
    server.set_faults(&[long; 40]);
    thread::sleep(CLOSED_AFTER);
    // Stopped, the process finds connections and requests at the same moment, as under load.
    platform.signal(3, Signal::SIGSTOP);
    let late: Vec<_> = (0..20)
        .map(|n| thread::spawn(move || request(callers, "POST /stream/x", &format!("f{n}"))))
        .collect();
    thread::sleep(LOOK * 4);
    platform.signal(3, Signal::SIGCONT);
    for caller in late {
        let answer = caller.join().expect("an answer");
        assert!(matches!(answer.status, 0 | 503), "taken late: {answer:?}");
    }
}

#[test]
fn a_confirmed_configuration_outlives_a_kill_of_all_control_vms() {
    let server = backend("i-1");
    let mut platform = serving(&[&server]);
    platform.publish(&document(8));
    platform.kill_and_restart(0..3);
    wait_for("a read after the restart", || {
        (0..3).any(|at| platform.read_version(at).is_some())
    });
    for at in 0..3 {
        wait_for("the newest version", || {
            platform.read_version(at) == Some(8)
        });
    }
    assert_eq!(
        platform.put(1, &document(8)),
        200,
        "a repeated change is confirmed again"
    );
    let mut other = document(8);
    other["routes"][1]["path-prefix"] = json!("/other/");
    platform.put(2, &other);
    wait_for("the first content", || {
        let answer = exchange(platform.control(2), "GET /-/Config.Get", "", "");
        answer.body.contains("/file/")
    });
}

#[test]
fn a_change_is_in_force_on_an_entry_vm_that_starts_later() {
    let server = backend("i-1");
    let mut platform = serving(&[&server]);
    let mut changed = document(6);
    changed["routes"][1]["path-prefix"] = json!("/filed/");
    platform.publish(&changed);
    wait_for("the change", || {
        request(platform.callers(3), "POST /filed/x", "g1").status == 200
    });
    assert_eq!(
        request(platform.callers(3), "POST /file/x", "g2").status,
        404
    );
    platform.kill_and_restart(3..4);
    wait_for("service again", || {
        request(platform.callers(3), "POST /filed/x", "g3").status == 200
    });
    assert_eq!(
        request(platform.callers(3), "POST /file/x", "g4").status,
        404
    );
}
