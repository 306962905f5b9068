//! A fake plain application, which logs its calls to show whether one ran twice.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use merlinrudder_wire::announce::{WireAnnouncement, WireCacheEvents, WireLoad};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Header, Method, Request, Response};

use crate::announcer::{self, AnnounceOptions, unix_micros};
use crate::faults::Faults;
use crate::http_server::{KillFlag, read_body, send_json, serve};

/// Lease of an announcement, in milliseconds: it expires unless it is renewed.
const LEASE_MS: u64 = 2500;
/// Concurrent calls that it announces as its capacity.
const SLOTS: u32 = 64;
/// Interval at which a hanging call checks whether the fault or the application has ended.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a fake application.
#[derive(Clone, Debug)]
pub struct AppOptions {
    /// Name of the backend server, unique in its service.
    pub id: String,
    /// Service that it offers.
    pub service: String,
    /// Zone that it announces.
    pub zone: String,
    /// Address to listen on; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Execution time of one call.
    pub call_time: Duration,
    /// Whether an injected crash ends the whole process or just this fake.
    pub exits_on_crash: bool,
    /// VMs to announce to.
    pub announce: AnnounceOptions,
}

/// One executed call in the execution log, as `GET /log` returns it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppLogLine {
    /// HTTP method in upper case.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Idempotency key that the caller sent.
    pub key: Option<String>,
    /// Request id that the system assigned.
    pub request_id: Option<String>,
    /// Body; invalid UTF-8 is replaced.
    pub body: String,
}

/// A running fake application; clones are handles of the same one.
#[derive(Clone, Debug)]
pub struct FakeApp {
    shared: Arc<Shared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: AppOptions,
    killed: KillFlag,
    faults: Mutex<Faults>,
    log: Mutex<Vec<AppLogLine>>,
    incarnation: u64,
    leaving: Mutex<bool>,
}

impl FakeApp {
    /// Binds the port, starts serving and announces the application periodically.
    ///
    /// # Errors
    /// Fails if the port cannot be bound or a thread cannot be started.
    pub fn spawn(options: AppOptions) -> io::Result<Self> {
        let killed = KillFlag::default();
        let announce = options.announce.clone();
        let listen = options.listen;
        let shared = Arc::new(Shared {
            options,
            killed: killed.clone(),
            faults: Mutex::default(),
            log: Mutex::default(),
            incarnation: fastrand::u64(1..),
            leaving: Mutex::new(false),
        });
        let handler = Arc::clone(&shared);
        let address = serve(listen, killed.clone(), move |request| {
            handle(&handler, request);
        })?;
        let announcing = Arc::clone(&shared);
        announcer::spawn(
            announce,
            killed,
            Arc::new(move || announcement(&announcing, address)),
        )?;
        Ok(Self { shared, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and announcing, as if the process were killed.
    pub fn kill(&self) {
        self.shared.killed.set();
    }

    /// Returns the execution log, oldest call first.
    #[must_use]
    pub fn log(&self) -> Vec<AppLogLine> {
        lock(&self.shared.log).clone()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }
}

/// Returns the idempotency keys that occur more than once in all given logs together.
#[must_use]
pub fn keys_run_twice(logs: &[Vec<AppLogLine>]) -> Vec<String> {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for line in logs.iter().flatten() {
        if let Some(key) = &line.key {
            *runs.entry(key).or_default() += 1;
        }
    }
    let twice = runs.into_iter().filter(|(_, count)| *count > 1);
    twice.map(|(key, _)| key.to_owned()).collect()
}

fn announcement(shared: &Shared, address: SocketAddr) -> WireAnnouncement {
    WireAnnouncement {
        service: shared.options.service.clone(),
        zone: shared.options.zone.clone(),
        id: shared.options.id.clone(),
        address: address.to_string(),
        incarnation: shared.incarnation,
        sequence: unix_micros(),
        lease_ms: LEASE_MS,
        memory_tokens: 0,
        slots: SLOTS,
        prefill_rate: 0.0,
        decode_rate: 0.0,
        models: Vec::new(),
        load: WireLoad::default(),
        cache: WireCacheEvents::default(),
        leaving: *lock(&shared.leaving),
    }
}

fn handle(shared: &Shared, mut request: Request) {
    let path = request.url().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/health") if !lock(&shared.faults).hang => {
            send_json(request, 200, &json!({}));
        }
        (Method::Get, "/log") => send_json(request, 200, &*lock(&shared.log)),
        (Method::Post, "/faults") => match serde_json::from_slice(&read_body(&mut request)) {
            Ok(faults) => {
                *lock(&shared.faults) = faults;
                send_json(request, 200, &json!({}));
            }
            Err(error) => send_json(request, 400, &json!({ "error": error.to_string() })),
        },
        (Method::Post, "/leave") => {
            *lock(&shared.leaving) = true;
            send_json(request, 200, &json!({}));
        }
        _ => run_call(shared, request, &path),
    }
}

/// Executes a call and responds, unless a fault prevents either.
fn run_call(shared: &Shared, mut request: Request, path: &str) {
    let faults = lock(&shared.faults).clone();
    if faults.refuse {
        let mut response = Response::from_string("refused").with_status_code(503);
        if let Ok(header) = Header::from_bytes(&b"X-Not-Run"[..], &b"true"[..]) {
            response.add_header(header);
        }
        drop(request.respond(response));
        return;
    }
    while faults.hang && lock(&shared.faults).hang && !shared.killed.is_set() {
        thread::sleep(HANG_POLL_INTERVAL);
    }
    let body = String::from_utf8_lossy(&read_body(&mut request)).into_owned();
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| body.contains(text))
    {
        record_call(shared, &request, path, body);
        shared.killed.set();
        if shared.options.exits_on_crash {
            std::process::exit(101);
        }
        drop(request.into_writer());
        return;
    }
    thread::sleep(shared.options.call_time + Duration::from_millis(faults.late_ms));
    let call_count = record_call(shared, &request, path, body);
    if faults.lose_answer {
        drop(request.into_writer());
        return;
    }
    send_json(
        request,
        200,
        &json!({ "server": shared.options.id, "path": path, "run": call_count }),
    );
}

/// Appends a call to the execution log; returns the number of calls so far.
fn record_call(shared: &Shared, request: &Request, path: &str, body: String) -> usize {
    let mut log = lock(&shared.log);
    log.push(AppLogLine {
        method: request.method().to_string(),
        path: path.to_owned(),
        key: header(request, "Idempotency-Key"),
        request_id: header(request, "X-Request-Id"),
        body,
    });
    log.len()
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name));
    found.map(|header| header.value.to_string())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
