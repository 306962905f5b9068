//! A stand-in of an engine, as a process of its own that registers itself and serves HTTP/1.1.
//!
//! What it does to a request follows from its path and the parts of its prompt alone:
//! - `.../draft/...` is answered with a stream of events, all others with a plain body;
//! - `slow` in the path: the work for a plain body takes longer;
//! - `unframed` in the path: the answer has no length and ends with its channel;
//! - a prompt with the part `CRASHING_PART` that isn't its last: the process crashes as it begins to answer;
//! - `poison` in the path: the process crashes a moment after it began to run the request.
//!
//! It prints a line for each request that it runs or rejects, and one for each end of a run. It takes
//! the words `drain`, `deregister` and `exit` from its standard input.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::client;
use super::record::Record;
use super::system::{Owned, signal};

/// First argument of a process that is to be an engine.
pub const ARGUMENT: &str = "engine";
/// Part of a prompt that crashes each engine that begins to write an answer on it.
pub const CRASHING_PART: &str = "91bd3f06";
/// Bytes of each plain answer, as on the users' sheets.
pub const PLAIN_BYTES: usize = 800;

/// What an engine is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events, between the halves of a plain answer without a length, and from the
    /// begin of a run to the crash that it causes.
    pub pause: Duration,
}

impl Settings {
    fn arguments(&self) -> Vec<String> {
        let controls: Vec<_> = self.controls.iter().map(ToString::to_string).collect();
        vec![
            ARGUMENT.to_owned(),
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.address.to_string(),
            controls.join(","),
            self.events.to_string(),
            self.pause.as_millis().to_string(),
        ]
    }

    fn parse(arguments: &[String]) -> Option<Self> {
        let [id, service, zone, address, controls, events, pause] = arguments else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            zone: zone.clone(),
            address: address.parse().ok()?,
            controls: controls
                .split(',')
                .filter_map(|address| address.parse().ok())
                .collect(),
            events: events.parse().ok()?,
            pause: Duration::from_millis(pause.parse().ok()?),
        })
    }
}

/// Handle of a running engine process; the process ends when this is dropped.
pub struct Engine {
    pub settings: Settings,
    process: Owned,
    input: ChildStdin,
    /// Lines that the process has printed.
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Engine {
    pub fn start(settings: &Settings, record: &Record) -> Self {
        let program =
            std::env::current_exe().unwrap_or_else(|_| super::give_up("no path of this program"));
        let spawned = Command::new(program)
            .args(settings.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child: Child = spawned.unwrap_or_else(|_| super::give_up("cannot start an engine"));
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            super::give_up("an engine has no pipes");
        };
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (kept, record, id) = (Arc::clone(&lines), record.clone(), settings.id.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("engine {id}: {line}"));
                if let Ok(mut lines) = kept.lock() {
                    lines.push(line);
                }
            }
        });
        Self {
            settings: settings.clone(),
            process: Owned(child),
            input,
            lines,
        }
    }

    /// Gives the engine a word of its operator, such as `drain`.
    pub fn tell(&mut self, word: &str) {
        let _ = writeln!(self.input, "{word}");
        let _ = self.input.flush();
    }

    /// Ends the process as a crash does.
    pub fn kill(&self) {
        signal(&self.process.0, "KILL");
    }

    pub fn has_ended(&mut self) -> bool {
        self.process
            .0
            .try_wait()
            .is_ok_and(|status| status.is_some())
    }

    /// Number of printed lines that contain all of `parts`.
    pub fn count(&self, parts: &[&str]) -> usize {
        let lines = self
            .lines
            .lock()
            .map(|lines| lines.clone())
            .unwrap_or_default();
        lines
            .iter()
            .filter(|line| parts.iter().all(|part| line.contains(part)))
            .count()
    }
}

/// Runs an engine if this process was started as one; returns otherwise.
pub fn run_if_asked() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == ARGUMENT) {
        match Settings::parse(&arguments[1..]) {
            Some(settings) => serve(settings),
            None => super::give_up("wrong arguments of an engine"),
        }
    }
}

struct State {
    settings: Settings,
    born: u128,
    sequence: AtomicU64,
    draining: AtomicBool,
    running: AtomicU64,
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

fn serve(settings: Settings) -> ! {
    let listener = bind(settings.address);
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let state = Arc::new(State {
        settings,
        born: now.as_millis(),
        sequence: AtomicU64::new(0),
        draining: AtomicBool::new(false),
        running: AtomicU64::new(0),
    });
    let reporting = Arc::clone(&state);
    thread::spawn(move || {
        loop {
            report(&reporting);
            thread::sleep(Duration::from_millis(1200));
        }
    });
    let commanded = Arc::clone(&state);
    thread::spawn(move || {
        for word in std::io::stdin().lines().map_while(Result::ok) {
            match word.as_str() {
                "drain" => {
                    commanded.draining.store(true, Ordering::SeqCst);
                    say(&format!("draining confirmed={}", report(&commanded)));
                }
                "deregister" => {
                    let body = format!("{{\"born\":{}}}", commanded.born);
                    let path = format!("/-/Instances.Deregister/{}", commanded.settings.id);
                    say(&format!(
                        "deregistered confirmed={}",
                        tell_control(&commanded, &path, &body)
                    ));
                }
                "exit" => std::process::exit(0),
                _ => {}
            }
        }
        // The process that started this one has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let state = Arc::clone(&state);
        thread::spawn(move || {
            let _ = serve_channel(&state, &stream);
        });
    }
    std::process::exit(0);
}

/// Binds an address that an earlier lifetime may have used a moment ago.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(50));
    }
    super::give_up("an engine cannot bind its address")
}

/// Sends a status report; returns whether it was confirmed.
fn report(state: &State) -> bool {
    let Settings {
        id,
        service,
        zone,
        address,
        ..
    } = &state.settings;
    let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
    let stage = if state.draining.load(Ordering::SeqCst) {
        "draining"
    } else {
        "ready"
    };
    let body = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{stage}","cold-left-ms":0,"seq":{sequence},"born":{}}}"#,
        state.born
    );
    tell_control(state, &format!("/-/Instances.Heartbeat/{id}"), &body)
}

/// Calls one control machine after the other until one confirms.
fn tell_control(state: &State, path: &str, body: &str) -> bool {
    let controls = &state.settings.controls;
    let first = usize::try_from(state.born % 3).unwrap_or_default();
    (0..controls.len()).any(|turn| {
        let address = controls[(first + turn) % controls.len()];
        client::control(address, "POST", path, body, Duration::from_secs(1)).status == 200
    })
}

struct Request {
    method: String,
    path: String,
    fields: Vec<(String, String)>,
}

impl Request {
    fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, path) = (
        words.next().unwrap_or_default().to_owned(),
        words.next().unwrap_or_default().to_owned(),
    );
    let mut fields = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let request = Request {
        method,
        path,
        fields,
    };
    let length = request.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(request))
}

fn serve_channel(state: &State, stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        if !answer(state, stream, &request)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers a request; returns whether the channel is kept.
fn answer(state: &State, mut stream: &TcpStream, request: &Request) -> std::io::Result<bool> {
    let id = &state.settings.id;
    let attempt = request.field("x-merlinrudder-attempt-id").to_owned();
    let target = request.field("x-merlinrudder-target-instance");
    if !target.is_empty() && target != id {
        say(&format!("rejected attempt={attempt} status=421"));
        write!(
            stream,
            "HTTP/1.1 421 Misdirected Request\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
             X-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    if request.path == "/health" {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        )?;
        return Ok(true);
    }
    let tenant = request.field("x-merlinrudder-tenant");
    say(&format!(
        "runs attempt={attempt} {} {} tenant={tenant}",
        request.method, request.path
    ));
    if request.path.contains("poison") {
        // The process ends a moment into the work, as in a crash.
        thread::sleep(state.settings.pause);
        std::process::abort();
    }
    if has_crashing_part(request) {
        let head = head(state, &attempt, 1, 0, "Transfer-Encoding: chunked\r\n");
        stream.write_all(head.as_bytes())?;
        thread::sleep(state.settings.pause);
        std::process::abort();
    }
    let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
    let result = if request.path.contains("/draft/") {
        send_stream(state, stream, request, &attempt, running)
    } else {
        send_plain(state, stream, request, &attempt, running)
    };
    state.running.fetch_sub(1, Ordering::SeqCst);
    match result {
        Ok(kept) => {
            say(&format!("ends attempt={attempt} whole=true"));
            Ok(kept)
        }
        Err(error) => {
            say(&format!("ends attempt={attempt} whole=false ({error})"));
            Err(error)
        }
    }
}

/// Whether a part of the prompt, other than the last, is the one that crashes engines.
fn has_crashing_part(request: &Request) -> bool {
    let parts = request.field("x-merlinrudder-prompt-prefix");
    let mut parts: Vec<_> = parts
        .split(',')
        .map(|part| part.split(':').next())
        .collect();
    parts.pop();
    parts.contains(&Some(CRASHING_PART))
}

/// The whole body of the plain answer to an attempt.
pub fn plain_body(attempt: &str) -> String {
    let mut body = format!("answer to {attempt};");
    while body.len() < PLAIN_BYTES - 4 {
        body.push('.');
    }
    body + "end\n"
}

fn head(state: &State, attempt: &str, running: u64, bytes: usize, fields: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\n\
         X-Merlinrudder-Response-Seal: {}.{bytes}\r\nX-Merlinrudder-Engine-Load: {running},0,16\r\n{fields}\r\n",
        state.settings.id
    )
}

fn send_plain(
    state: &State,
    mut stream: &TcpStream,
    request: &Request,
    attempt: &str,
    running: u64,
) -> std::io::Result<bool> {
    let body = plain_body(attempt);
    if request.path.contains("unframed") {
        let head = head(state, attempt, running, body.len(), "Connection: close\r\n");
        let (first, second) = body.split_at(body.len() / 2);
        stream.write_all(head.as_bytes())?;
        stream.write_all(first.as_bytes())?;
        thread::sleep(state.settings.pause);
        stream.write_all(second.as_bytes())?;
        return Ok(false);
    }
    let slow = request.path.contains("slow");
    thread::sleep(Duration::from_millis(if slow { 200 } else { 30 }));
    let head = head(
        state,
        attempt,
        running,
        body.len(),
        &format!("Content-Length: {}\r\n", body.len()),
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())?;
    Ok(true)
}

fn send_stream(
    state: &State,
    mut stream: &TcpStream,
    request: &Request,
    attempt: &str,
    running: u64,
) -> std::io::Result<bool> {
    let unframed = request.path.contains("unframed");
    let framing = if unframed {
        "Connection: close\r\n"
    } else {
        "Transfer-Encoding: chunked\r\n"
    };
    let fields = format!("Content-Type: text/event-stream\r\n{framing}");
    stream.write_all(head(state, attempt, running, 0, &fields).as_bytes())?;
    let first = request.field("last-event-id").parse().unwrap_or(0) + 1;
    for id in first..=state.settings.events {
        let event = format!(
            "id: {id}\ndata: piece {id} of {}\n\n",
            state.settings.events
        );
        if unframed {
            stream.write_all(event.as_bytes())?;
        } else {
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        if id < state.settings.events {
            thread::sleep(state.settings.pause);
        }
    }
    if !unframed {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(!unframed)
}
