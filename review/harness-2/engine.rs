//! A stand-in of an application engine: it registers, answers requests and records what it runs.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::harness::http::{self, Message};
use crate::harness::record::Record;

/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// Port of all engines.
pub const PORT: u16 = 8080;
/// Version of the weights of all engines.
pub const WEIGHT_VERSION: &str = "1";

/// Events of a stream.
pub const STREAM_EVENTS: u64 = 8;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// How an engine answers.
#[derive(Clone, Copy)]
pub enum Answers {
    /// With a short body after this time.
    Plain(Duration),
    /// With `STREAM_EVENTS` events, whose ids increase by this step from one to the next.
    Stream(u64),
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time since the start of the script.
    pub at: Duration,
    pub engine: String,
    pub zone: String,
    /// Attempt id of the client.
    pub attempt: String,
}

/// The requests that all engines ran.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    /// Adds a run.
    pub fn push(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }

    /// Returns the runs whose attempt ids begin so, in their order.
    pub fn of_attempts(&self, beginning: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        let found = runs.iter().filter(|run| run.attempt.starts_with(beginning));
        found.cloned().collect()
    }

    /// Returns the runs in a zone at `from` or later.
    pub fn in_zone_since(&self, zone: &str, from: Duration) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        let later = runs.iter().filter(|run| run.zone == zone && run.at >= from);
        later.cloned().collect()
    }
}

/// Starts an engine of a service; it picks a control VM for each heartbeat in turn.
///
/// `number` is its place among the engines.
#[allow(clippy::too_many_arguments)]
pub fn start(
    record: &Record,
    runs: &Runs,
    service: &str,
    ip: Ipv4Addr,
    zone: &str,
    number: usize,
    answers: Answers,
    control: Vec<SocketAddr>,
) -> Result<(), String> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = born.map_or(0, |time| time.as_millis());
    let id = format!("i-{born:x}{number:02x}");
    let listener = TcpListener::bind((ip, PORT)).map_err(|error| error.to_string())?;
    let (run_record, run_id, run_zone) = (record.clone(), id.clone(), zone.to_owned());
    let runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, id, zone) = (run_record.clone(), run_id.clone(), run_zone.clone());
            let runs = runs.clone();
            thread::spawn(move || serve(stream, &record, &runs, &id, &zone, answers));
        }
    });
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        // The heartbeats of the engines are spread over time and control VMs.
        thread::sleep(HEARTBEAT_INTERVAL / 40 * (number as u32 % 40));
        for sequence in 1.. {
            let first = number + sequence;
            for next in 0..control.len() {
                let to = control[(first + next) % control.len()];
                if beat(to, &service, &id, ip, &zone, born, sequence) {
                    break;
                }
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    Ok(())
}

/// Sends a heartbeat; returns whether it was confirmed within a second.
pub fn beat(
    to: SocketAddr,
    service: &str,
    id: &str,
    ip: Ipv4Addr,
    zone: &str,
    born: u128,
    sequence: usize,
) -> bool {
    let body = format!(
        r#"{{"service":"{service}","address":"{ip}:{PORT}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold-left-ms":0,"seq":{sequence},"born":{born}}}"#
    );
    let path = format!("/-/Instances.Heartbeat/{id}");
    let json = [("Content-Type", "application/json".to_owned())];
    let second = Duration::from_secs(1);
    let answer = http::call(to, "POST", &path, &json, body.as_bytes(), second);
    answer.is_ok_and(|answer| answer.status() / 100 == 2)
}

fn serve(
    mut stream: TcpStream,
    record: &Record,
    runs: &Runs,
    id: &str,
    zone: &str,
    answers: Answers,
) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer) {
        let (head, events) = answer(&request, record, runs, id, zone, answers);
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        for event in events {
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            thread::sleep(EVENT_INTERVAL);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Returns a whole answer, or the head of a stream with the content of its chunks.
fn answer(
    request: &Message,
    record: &Record,
    runs: &Runs,
    id: &str,
    zone: &str,
    answers: Answers,
) -> (String, Vec<String>) {
    let target = request.header("x-merlinrudder-target-instance");
    let version = request.header("x-merlinrudder-expect-version");
    let is_other_version = version.is_some_and(|version| version != WEIGHT_VERSION);
    if target.is_some_and(|target| target != id) || is_other_version {
        let attempt = request
            .header("x-merlinrudder-attempt-id")
            .unwrap_or("none");
        record.line(&format!("engine {id} in {zone} answers 421 to {attempt}"));
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Not-Executed: 1\r\nAt-Server: {id}\r\nX-Merlinrudder-Weight-Versions: {WEIGHT_VERSION}\r\nContent-Length: 0\r\n\r\n"
        );
        return (answer, Vec::new());
    }
    if request.start_line.starts_with("GET /health ") {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        return (answer, Vec::new());
    }
    let attempt = request
        .header("x-merlinrudder-attempt-id")
        .unwrap_or("none");
    let at = record.now();
    runs.push(Run {
        at,
        engine: id.to_owned(),
        zone: zone.to_owned(),
        attempt: attempt.to_owned(),
    });
    record.line(&format!("engine {id} in {zone} runs {attempt}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Response-Seal: seal-{attempt}\r\nX-Merlinrudder-Engine-Load: 1,0,6\r\nX-Merlinrudder-Weight-Versions: {WEIGHT_VERSION}\r\nKeep-Alive: timeout=30\r\n"
    );
    match answers {
        Answers::Plain(work) => {
            thread::sleep(work);
            (format!("{head}Content-Length: 2\r\n\r\nok"), Vec::new())
        }
        Answers::Stream(step) => {
            let last = request.header("last-event-id");
            let last: u64 = last.and_then(|last| last.parse().ok()).unwrap_or(0);
            let ids = (1..=STREAM_EVENTS).map(|number| number * step);
            let events = ids.filter(|id| *id > last);
            let mut chunks: Vec<_> = events
                .map(|id| format!("id: {id}\ndata: text\n\n"))
                .collect();
            // The empty chunk that ends the answer.
            chunks.push(String::new());
            let head = format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            (head, chunks)
        }
    }
}
