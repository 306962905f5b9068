//! A stand-in for a plain application with calls that must not run twice.

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

use crate::announcer::{self, AnnounceOptions, wall_micros};
use crate::faults::Faults;
use crate::http_server::{Life, read_body, send_json, serve};

/// Time that an announcement holds, in milliseconds.
const LEASE_MS: u64 = 2500;
/// Calls that run side by side.
const SLOTS: u32 = 64;
/// Time between two looks of a hanging call at whether the application is dead.
const HANG_LOOK: Duration = Duration::from_millis(50);

/// What a stand-in application is started with.
#[derive(Clone, Debug)]
pub struct AppOptions {
    /// Name.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time of one call.
    pub call_time: Duration,
    /// Whether a crash ends the process.
    pub exits_on_crash: bool,
    /// Where to announce.
    pub announce: AnnounceOptions,
}

/// One line of the execution log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppLogLine {
    /// HTTP method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Idempotency key of the caller.
    pub key: Option<String>,
    /// Request id that the system gave.
    pub request_id: Option<String>,
    /// Body.
    pub body: String,
}

/// A running stand-in application.
#[derive(Clone, Debug)]
pub struct FakeApp {
    shared: Arc<Shared>,
    address: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    options: AppOptions,
    life: Life,
    faults: Mutex<Faults>,
    log: Mutex<Vec<AppLogLine>>,
    incarnation: u64,
    leaving: Mutex<bool>,
}

impl FakeApp {
    /// Binds the port, starts the application and announces it.
    ///
    /// # Errors
    /// Fails where the port cannot be bound or no thread can be started.
    pub fn spawn(options: AppOptions) -> io::Result<Self> {
        let life = Life::default();
        let announce = options.announce.clone();
        let listen = options.listen;
        let shared = Arc::new(Shared {
            options,
            life: life.clone(),
            faults: Mutex::default(),
            log: Mutex::default(),
            incarnation: fastrand::u64(1..),
            leaving: Mutex::new(false),
        });
        let handler = Arc::clone(&shared);
        let address = serve(listen, life.clone(), move |request| {
            handle(&handler, request);
        })?;
        let describer = Arc::clone(&shared);
        announcer::spawn(
            announce,
            life,
            Arc::new(move || describe(&describer, address)),
        )?;
        Ok(Self { shared, address })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dies like a killed process.
    pub fn kill(&self) {
        self.shared.life.end();
    }

    /// Returns the execution log.
    #[must_use]
    pub fn log(&self) -> Vec<AppLogLine> {
        lock(&self.shared.log).clone()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }
}

/// Returns the keys that ran more than once in the given logs.
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

fn describe(shared: &Shared, address: SocketAddr) -> WireAnnouncement {
    WireAnnouncement {
        service: shared.options.service.clone(),
        zone: shared.options.zone.clone(),
        id: shared.options.id.clone(),
        address: address.to_string(),
        incarnation: shared.incarnation,
        sequence: wall_micros(),
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
    while faults.hang && lock(&shared.faults).hang && !shared.life.is_over() {
        thread::sleep(HANG_LOOK);
    }
    let body = String::from_utf8_lossy(&read_body(&mut request)).into_owned();
    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| body.contains(text))
    {
        log_call(shared, &request, path, body);
        shared.life.end();
        if shared.options.exits_on_crash {
            std::process::exit(101);
        }
        drop(request.into_writer());
        return;
    }
    thread::sleep(shared.options.call_time + Duration::from_millis(faults.late_ms));
    let run = log_call(shared, &request, path, body);
    if faults.lose_answer {
        drop(request.into_writer());
        return;
    }
    send_json(
        request,
        200,
        &json!({ "server": shared.options.id, "path": path, "run": run }),
    );
}

/// Enters a call in the execution log; returns its number.
fn log_call(shared: &Shared, request: &Request, path: &str, body: String) -> usize {
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
