//! A stand-in for a backend server of the users' platform: numbered streams and plain answers.
//!
//! It speaks HTTP/1.1 over one connection a thread, keeps a log of what it ran, and breaks off, falls
//! silent or refuses as it is told.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// What the next requests meet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendFault {
    /// Nothing.
    #[default]
    None,
    /// The stream ends in the middle of the event after this many.
    DisconnectAfter(u64),
    /// The stream is silent for a time after this many events.
    StallAfter(u64, Duration),
    /// The connection ends without an answer, though the request has run.
    DropResponse,
    /// The request is refused and has not run.
    Refuse,
}

/// What the server ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Customer that was named.
    pub customer: String,
    /// Time that was left, in milliseconds.
    pub remaining_ms: u64,
}

/// Handle of a running stand-in.
#[derive(Clone, Debug)]
pub struct FakeBackend {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Faults of the next requests, in order; then none.
    faults: Vec<BackendFault>,
    ran: Vec<Execution>,
    pace: Duration,
}

impl FakeBackend {
    /// Listens on a free port; `pace` is the time between two events.
    ///
    /// # Errors
    /// Fails where no port can be bound.
    pub fn bind(id: &str, pace: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let backend = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                pace,
                ..State::default()
            })),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = serving.clone();
                thread::spawn(move || {
                    // A caller that goes away ends the connection.
                    drop(backend.serve(stream));
                });
            }
        });
        Ok(backend)
    }

    /// Sets the faults of the next requests.
    pub fn set_faults(&self, faults: &[BackendFault]) {
        self.state().faults = faults.to_vec();
    }

    /// Returns what ran.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.state().ran.clone()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            if head.get("x-merlinrudder-target-instance") != self.id {
                let id = &self.id;
                write!(
                    writer,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Merlinrudder-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            let fault = {
                let mut state = self.state();
                if state.faults.is_empty() {
                    BackendFault::None
                } else {
                    state.faults.remove(0)
                }
            };
            if fault == BackendFault::Refuse {
                write!(
                    writer,
                    "HTTP/1.1 503 Service Unavailable\r\nX-Merlinrudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )?;
                continue;
            }
            self.state().ran.push(head.ran());
            match fault {
                BackendFault::DropResponse => return Ok(()),
                _ if head.is_stream => self.stream(&mut writer, &head, fault)?,
                _ => answer(&mut writer, &head, "whole")?,
            }
            if let BackendFault::DisconnectAfter(_) = fault {
                return Ok(());
            }
        }
        Ok(())
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        head: &Head,
        fault: BackendFault,
    ) -> std::io::Result<()> {
        let attempt = head.get("x-merlinrudder-attempt-id");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let first = head.get("last-event-id").parse().unwrap_or(0) + 1;
        let pace = self.state().pace;
        for id in first..=EVENTS {
            let event = format!("id: {id}\ndata: token {id}\n\n");
            match fault {
                BackendFault::DisconnectAfter(last) if id > last => {
                    return chunk(writer, &event[..event.len() / 2]);
                }
                BackendFault::StallAfter(last, silence) if id == last + 1 => thread::sleep(silence),
                _ => {}
            }
            chunk(writer, &event)?;
            thread::sleep(pace);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// The head of a request, with its body read and dropped.
struct Head {
    headers: Vec<(String, String)>,
    is_stream: bool,
}

impl Head {
    fn read(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut head = Self {
            headers: Vec::new(),
            is_stream: line.contains("/stream/"),
        };
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim().split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(header);
        }
        let length = head.get("content-length").parse().unwrap_or(0);
        std::io::copy(&mut reader.take(length), &mut std::io::sink())?;
        Ok(Some(head))
    }

    fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    fn ran(&self) -> Execution {
        Execution {
            attempt: self.get("x-merlinrudder-attempt-id").to_owned(),
            customer: self.get("x-merlinrudder-tenant").to_owned(),
            remaining_ms: self.get("x-merlinrudder-deadline-ms").parse().unwrap_or(0),
        }
    }
}

fn answer(writer: &mut TcpStream, head: &Head, body: &str) -> std::io::Result<()> {
    let attempt = head.get("x-merlinrudder-attempt-id");
    let length = body.len();
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nX-Merlinrudder-Attempt-Id: {attempt}\r\nX-Merlinrudder-Response-Seal: seal\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

fn chunk(writer: &mut TcpStream, text: &str) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())
}
