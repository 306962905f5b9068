//! A stand-in of an application engine that some requests crash.

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::harness::engine::{HEARTBEAT_INTERVAL, PORT, Run, Runs, beat};
use crate::harness::http;
use crate::harness::record::Record;

/// First part of the paths of the requests that crash engines.
const CRASHING_PATH: &str = "/file/crash";
/// Time that another request takes.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Time after which a crashed engine is back.
const DOWN_TIME: Duration = Duration::from_millis(2500);
/// Times from the begin of a crashing run to the crash; each run takes the next one.
const CRASH_TIMES_MS: [u64; 12] = [100, 820, 340, 580, 220, 700, 460, 940, 160, 880, 400, 640];

/// The crashes of all engines.
#[derive(Clone, Default)]
pub struct Crashes {
    /// Crashing runs that have begun.
    begun: Arc<AtomicUsize>,
    /// When each engine crashed.
    pub times: Arc<Mutex<Vec<Duration>>>,
}

/// One lifetime of an engine.
struct Lifetime {
    record: Record,
    runs: Runs,
    crashes: Crashes,
    id: String,
    zone: String,
    /// Set once a request has crashed the engine.
    crashed: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

/// Starts an engine of service `app`, which comes back after each crash as a new lifetime.
pub fn start(
    record: &Record,
    runs: &Runs,
    crashes: &Crashes,
    ip: Ipv4Addr,
    zone: &str,
    number: usize,
    control: Vec<SocketAddr>,
) {
    let (record, runs, crashes) = (record.clone(), runs.clone(), crashes.clone());
    let zone = zone.to_owned();
    thread::spawn(move || {
        loop {
            let born = SystemTime::now().duration_since(UNIX_EPOCH);
            let born = born.map_or(0, |time| time.as_millis());
            let lifetime = Arc::new(Lifetime {
                record: record.clone(),
                runs: runs.clone(),
                crashes: crashes.clone(),
                id: format!("i-{born:x}{number:02x}"),
                zone: zone.clone(),
                crashed: AtomicBool::new(false),
                channels: Mutex::default(),
            });
            live(&lifetime, ip, number, born, &control);
            thread::sleep(DOWN_TIME);
        }
    });
}

/// Serves until the engine crashes.
fn live(lifetime: &Arc<Lifetime>, ip: Ipv4Addr, number: usize, born: u128, control: &[SocketAddr]) {
    let listener = TcpListener::bind((ip, PORT)).expect("the address is free");
    listener.set_nonblocking(true).expect("a listener");
    let (beating, control) = (Arc::clone(lifetime), control.to_vec());
    thread::spawn(move || {
        for sequence in 1.. {
            for next in 0..control.len() {
                let to = control[(number + sequence + next) % control.len()];
                let is_over = beating.crashed.load(Ordering::SeqCst);
                if is_over || beat(to, "app", &beating.id, ip, &beating.zone, born, sequence) {
                    break;
                }
            }
            if beating.crashed.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    while !lifetime.crashed.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => {
                let _ignored = stream.set_nonblocking(false);
                if let Ok(channel) = stream.try_clone() {
                    lifetime.channels.lock().unwrap().push(channel);
                }
                let lifetime = Arc::clone(lifetime);
                thread::spawn(move || serve(&lifetime, stream));
            }
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
    // What the system closes for a process that ends.
    drop(listener);
    for channel in lifetime.channels.lock().unwrap().drain(..) {
        let _ignored = channel.shutdown(Shutdown::Both);
    }
}

fn serve(lifetime: &Lifetime, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer) {
        let id = &lifetime.id;
        let attempt = request.header("x-merlinrudder-attempt-id");
        let attempt = attempt.unwrap_or("none").to_owned();
        let target = request.header("x-merlinrudder-target-instance");
        if target.is_some_and(|target| target != id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            let _ignored = stream.write_all(answer.as_bytes());
            continue;
        }
        let Lifetime { record, runs, .. } = lifetime;
        record.line(&format!("engine {id} in {} runs {attempt}", lifetime.zone));
        runs.push(Run {
            at: record.now(),
            engine: id.clone(),
            zone: lifetime.zone.clone(),
            attempt: attempt.clone(),
        });
        let path = request.start_line.split(' ').nth(1).unwrap_or_default();
        if path.starts_with(CRASHING_PATH) {
            let crashes = &lifetime.crashes;
            let begun = crashes.begun.fetch_add(1, Ordering::SeqCst);
            let time = CRASH_TIMES_MS[begun % CRASH_TIMES_MS.len()];
            thread::sleep(Duration::from_millis(time));
            if !lifetime.crashed.swap(true, Ordering::SeqCst) {
                record.line(&format!("engine {id} crashes by {attempt}"));
                crashes.times.lock().unwrap().push(record.now());
            }
            return;
        }
        thread::sleep(WORK_TIME);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Response-Seal: seal-{attempt}\r\nX-Merlinrudder-Engine-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
