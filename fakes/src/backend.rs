//! A fake backend server of the hosting platform: numbered event streams and plain responses.
//!
//! It serves each HTTP/1.1 connection on its own thread and logs the requests that it executed. On
//! demand it disconnects, stalls, refuses, crashes or returns under a new id.

mod answer;
mod cut_off;
mod listener;
mod request;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use answer::{Answer, Framing};
use request::RequestHead;
pub use request::{Execution, ExecutionEnd};

use crate::cuts::Cuts;

/// Events of a complete stream, with ids from 1.
pub const STREAM_EVENTS: u64 = 12;

/// A fault that is injected into one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendFault {
    /// The request is served normally.
    #[default]
    None,
    /// The connection closes in the middle of the event after this id.
    DisconnectAfter(u64),
    /// The stream pauses for this long after the event with this id; other responses are delayed.
    StallAfter(u64, Duration),
    /// Nothing is sent for this long, not even the head.
    StallBeforeHead(Duration),
    /// The response has neither a length nor chunks, and ends with its connection.
    Unframed,
    /// The request is executed, and the connection closes without a response.
    DropResponse,
    /// The request is refused with 503, marked as not executed.
    Refuse,
}

/// Part of a path that crashes each server that runs the request.
pub const CRASHING_PATH: &str = "/crash";

/// Part of such a path for a crash after half of the answer to a plain call.
pub const CRASHING_WITHIN_PATH: &str = "/crash-within";

/// Id of a part of a prompt that crashes each server that answers it, unless it is the last part.
pub const CRASHING_PART: &str = "deadbeef";

/// Time from the arrival of a request with a crashing part to the begin of its answer.
const READ_TIME: Duration = Duration::from_millis(60);

/// How much of an answer is sent before a crashing part crashes the server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CrashPoint {
    /// The head.
    #[default]
    AfterHead,
    /// The head, and for streams a whole event.
    AfterEvent,
    /// The head, and for streams half an event.
    WithinEvent,
}

/// Body of each response that is not a stream.
const PLAIN_BODY: &str = "whole";

/// First start that a fake backend server names, in Unix milliseconds.
const FIRST_BORN: u64 = 5;

/// Handle of a running fake backend server; clones share its state.
#[derive(Clone, Debug)]
pub struct FakeBackend {
    /// Id of the first lifetime, and of all unless `set_new_ids` changes that.
    pub id: String,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Faults of the next requests, one each; requests after those are served normally.
    faults: Vec<BackendFault>,
    executions: Vec<Execution>,
    refusals: usize,
    event_interval: Duration,
    /// Start of the current lifetime; increases with each crash.
    born: u64,
    /// When the server crashed, oldest first.
    crash_times: Vec<Instant>,
    /// Those of these crashes that a part of a prompt caused.
    part_crash_times: Vec<Instant>,
    crash_point: CrashPoint,
    /// Whether all responses are sent as `BackendFault::Unframed` does.
    unframed: bool,
    /// Values of the `Server-Limit` headers of all answers.
    limits: Vec<String>,
    /// Whether each lifetime after the first has an id of its own.
    new_ids: bool,
    /// End of the downtime after a crash; `None` while the server runs.
    down_until: Option<Instant>,
    /// Callers that are cut off.
    cuts: Cuts,
    /// Listener of the current lifetime; kept to change its packet filter.
    listener: Option<TcpListener>,
    /// Connections of the current lifetime.
    connections: Vec<Weak<TcpStream>>,
    /// Time from a crash to the next start.
    downtime: Duration,
}

impl FakeBackend {
    /// Listens on a free loopback port.
    ///
    /// `event_interval` is the time between two events of a stream.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub fn bind(id: &str, event_interval: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let backend = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                event_interval,
                born: FIRST_BORN,
                ..State::default()
            })),
        };
        let serving = backend.clone();
        thread::spawn(move || serving.accept_connections(listener));
        Ok(backend)
    }

    /// Sets the time from a crash to the next start; zero at first.
    pub fn set_downtime(&self, downtime: Duration) {
        self.lock_state().downtime = downtime;
    }

    /// Sets how much of an answer is sent before a crashing part crashes the server.
    pub fn set_crash_point(&self, crash_point: CrashPoint) {
        self.lock_state().crash_point = crash_point;
    }

    /// Sets whether responses have neither a length nor chunks; they have one of both at first.
    pub fn set_unframed(&self, unframed: bool) {
        self.lock_state().unframed = unframed;
    }

    /// Sets the values of the `Server-Limit` headers of all further answers; none at first.
    pub fn set_limits(&self, limits: &[&str]) {
        self.lock_state().limits = limits.iter().map(ToString::to_string).collect();
    }

    /// Returns the `Server-Limit` lines of an answer.
    fn limit_lines(&self) -> String {
        let state = self.lock_state();
        let limits = state.limits.iter();
        limits.fold(String::new(), |lines, limit| {
            lines + "Server-Limit: " + limit + "\r\n"
        })
    }

    /// Sets whether the server returns from a crash under a new id; it keeps its id at first.
    pub fn set_new_ids(&self, new_ids: bool) {
        self.lock_state().new_ids = new_ids;
    }

    /// Returns the id of the current lifetime; requests for another id get 421.
    #[must_use]
    pub fn current_id(&self) -> String {
        let state = self.lock_state();
        if state.new_ids && state.born > FIRST_BORN {
            format!("{}-{}", self.id, state.born)
        } else {
            self.id.clone()
        }
    }

    /// Returns the start of the current lifetime, or `None` while the server is down.
    #[must_use]
    pub fn born(&self) -> Option<u64> {
        let state = self.lock_state();
        state.down_until.is_none().then_some(state.born)
    }

    /// Returns how often the server has crashed.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.lock_state().born - FIRST_BORN
    }

    /// Returns when the server crashed, oldest first.
    #[must_use]
    pub fn crash_times(&self) -> Vec<Instant> {
        self.lock_state().crash_times.clone()
    }

    /// Returns when parts of prompts crashed the server, oldest first.
    #[must_use]
    pub fn part_crash_times(&self) -> Vec<Instant> {
        self.lock_state().part_crash_times.clone()
    }

    /// Ends the current lifetime: closes the listener and all connections without an answer.
    pub fn crash(&self) {
        let born = self.lock_state().born;
        self.end_lifetime(born);
    }

    /// Crashes the server unless the lifetime that started at `born` has ended already.
    ///
    /// Returns whether it had not.
    fn end_lifetime(&self, born: u64) -> bool {
        let mut state = self.lock_state();
        if state.down_until.is_some() || state.born != born {
            return false;
        }
        state.born += 1;
        state.crash_times.push(Instant::now());
        state.down_until = Some(Instant::now() + state.downtime);
        state.listener = None;
        let connections = state.connections.drain(..);
        for connection in connections.filter_map(|connection| connection.upgrade()) {
            // Fails where the peer has already disconnected.
            drop(connection.shutdown(Shutdown::Both));
        }
        true
    }

    /// Replaces the faults of the next requests; each request uses up one, in order.
    pub fn set_faults(&self, faults: &[BackendFault]) {
        self.lock_state().faults = faults.to_vec();
    }

    /// Returns the executed requests, oldest first.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.lock_state().executions.clone()
    }

    /// Returns how many requests were refused.
    #[must_use]
    pub fn refusals(&self) -> usize {
        self.lock_state().refusals
    }

    fn lock_state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_fault(&self) -> BackendFault {
        let mut state = self.lock_state();
        if state.faults.is_empty() {
            BackendFault::None
        } else {
            state.faults.remove(0)
        }
    }

    /// Serves the requests of one connection until it closes or a fault ends it.
    ///
    /// `born` is the start of the lifetime that accepted the connection.
    fn serve(&self, mut writer: &TcpStream, born: u64) -> std::io::Result<()> {
        let mut reader = BufReader::new(writer);
        while let Some(head) = RequestHead::read(&mut reader)? {
            let id = self.current_id();
            if head.header("x-merlinrudder-target-instance") != id {
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\n\
                     X-Merlinrudder-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let fault = self.next_fault();
            if fault == BackendFault::Refuse {
                self.lock_state().refusals += 1;
                write!(
                    writer,
                    "HTTP/1.1 503 Service Unavailable\r\n{}\
                     X-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.limit_lines()
                )?;
                continue;
            }
            let framing = self.framing(&head, fault);
            let execution = head.execution(framing == Framing::Close);
            let number = self.record(execution);
            let end = self.execute(writer, &head, fault, framing, born);
            // A crash closes the connection as well.
            let crashed = self.born() != Some(born);
            let end = match end {
                Ok(end) => end,
                Err(_) if crashed => ExecutionEnd::BrokenOff,
                Err(_) => ExecutionEnd::Abandoned,
            };
            self.lock_state().executions[number].end = end;
            let is_last = framing == Framing::Close
                || end != ExecutionEnd::Whole
                || matches!(fault, BackendFault::DisconnectAfter(_));
            if is_last {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records an execution; returns its index.
    fn record(&self, execution: Execution) -> usize {
        let mut state = self.lock_state();
        state.executions.push(execution);
        state.executions.len() - 1
    }

    /// Executes and answers a request; an error means that the connection has closed.
    fn execute(
        &self,
        writer: &TcpStream,
        head: &RequestHead,
        fault: BackendFault,
        framing: Framing,
        born: u64,
    ) -> std::io::Result<ExecutionEnd> {
        if head.target.contains(CRASHING_PATH) {
            if head.target.contains(CRASHING_WITHIN_PATH) {
                // The server crashes also if its caller has left.
                drop(self.send_half(writer, head, framing));
            }
            self.end_lifetime(born);
            return Ok(ExecutionEnd::BrokenOff);
        }
        if head.execution(false).has_crashing_part() {
            // The server crashes also if its caller has left.
            drop(self.begin_answer(writer, head, framing));
            self.crash_by_part(born);
            return Ok(ExecutionEnd::BrokenOff);
        }
        match fault {
            BackendFault::DropResponse => return Ok(ExecutionEnd::BrokenOff),
            BackendFault::StallBeforeHead(delay) => thread::sleep(delay),
            BackendFault::StallAfter(_, delay) if !head.is_stream => thread::sleep(delay),
            _ => {}
        }
        if head.is_stream {
            return self.send_stream(writer, head, fault, framing);
        }
        let mut answer = self.begin(writer, head, framing)?;
        answer.write(PLAIN_BODY)?;
        answer.end()?;
        Ok(ExecutionEnd::Whole)
    }

    /// Begins an answer with the headers of this server.
    fn begin<'a>(
        &'a self,
        writer: &'a TcpStream,
        head: &RequestHead,
        framing: Framing,
    ) -> std::io::Result<Answer<'a>> {
        Answer::begin(self, writer, head, framing)
    }

    /// Crashes the server and records that a part of a prompt was the reason.
    fn crash_by_part(&self, born: u64) {
        if self.end_lifetime(born) {
            self.lock_state().part_crash_times.push(Instant::now());
        }
    }

    fn framing(&self, head: &RequestHead, fault: BackendFault) -> Framing {
        if fault == BackendFault::Unframed || self.lock_state().unframed {
            Framing::Close
        } else if head.is_stream {
            Framing::Chunks
        } else {
            Framing::Length(PLAIN_BODY.len())
        }
    }

    /// Sends as much of an answer as the crash point allows.
    fn begin_answer(
        &self,
        writer: &TcpStream,
        head: &RequestHead,
        framing: Framing,
    ) -> std::io::Result<()> {
        thread::sleep(READ_TIME);
        let mut answer = self.begin(writer, head, framing)?;
        if !head.is_stream {
            return Ok(());
        }
        let event = event_text(head.first_event());
        let crash_point = self.lock_state().crash_point;
        match crash_point {
            CrashPoint::AfterHead => Ok(()),
            CrashPoint::AfterEvent => answer.write(&event),
            CrashPoint::WithinEvent => answer.write(&event[..event.len() / 2]),
        }
    }

    /// Sends the first half of the answer to a plain call.
    fn send_half(
        &self,
        writer: &TcpStream,
        head: &RequestHead,
        framing: Framing,
    ) -> std::io::Result<()> {
        let mut answer = self.begin(writer, head, framing)?;
        answer.write(&PLAIN_BODY[..PLAIN_BODY.len() / 2])?;
        thread::sleep(READ_TIME);
        Ok(())
    }

    /// Streams the events after the id in `Last-Event-ID`, or all of them.
    fn send_stream(
        &self,
        writer: &TcpStream,
        head: &RequestHead,
        fault: BackendFault,
        framing: Framing,
    ) -> std::io::Result<ExecutionEnd> {
        let mut answer = self.begin(writer, head, framing)?;
        let event_interval = self.lock_state().event_interval;
        for id in head.first_event()..=STREAM_EVENTS {
            let event = event_text(id);
            match fault {
                BackendFault::DisconnectAfter(last) if id > last => {
                    answer.write(&event[..event.len() / 2])?;
                    return Ok(ExecutionEnd::BrokenOff);
                }
                BackendFault::StallAfter(last, silence) if id == last + 1 => thread::sleep(silence),
                _ => {}
            }
            answer.write(&event)?;
            thread::sleep(event_interval);
        }
        answer.end()?;
        Ok(ExecutionEnd::Whole)
    }
}

fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}
