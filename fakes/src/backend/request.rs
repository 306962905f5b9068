//! Requests to a fake backend server, and the record of those that it executed.

use std::io::{BufRead, BufReader, Read};
use std::net::{IpAddr, TcpStream};
use std::time::Instant;

use super::CRASHING_PART;

/// How the execution of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionEnd {
    /// It has not ended.
    Running,
    /// The answer was sent whole.
    Whole,
    /// The server ended it, by a fault or a crash.
    BrokenOff,
    /// The caller closed the connection while the server was at work.
    Abandoned,
}

/// One executed request, as its headers describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Execution {
    /// Attempt id that the caller chose.
    pub attempt: String,
    /// Customer that the entry VM named.
    pub customer: String,
    /// How it ended.
    pub end: ExecutionEnd,
    /// Ids of the parts of the prompt, in order; empty if not given.
    pub parts: Vec<String>,
    /// Address of the VM that sent it; `None` if it has left at once.
    pub sender: Option<IpAddr>,
    /// Time until the request's deadline, in milliseconds; 0 if not given.
    pub remaining_ms: u64,
    /// Path and query of the request.
    pub target: String,
    /// Whether the answer has neither a length nor chunks.
    pub unframed: bool,
    /// When the server began to run it.
    pub started: Instant,
}

impl Execution {
    /// Whether a part of the prompt other than the last one crashes servers.
    #[must_use]
    pub fn has_crashing_part(&self) -> bool {
        let shared = self.parts.split_last().map(|(_, shared)| shared);
        shared.is_some_and(|shared| shared.iter().any(|part| part == CRASHING_PART))
    }
}

/// The head of a request, with lower-case header names; its body is discarded.
pub(super) struct RequestHead {
    headers: Vec<(String, String)>,
    /// Path and query.
    pub(super) target: String,
    pub(super) is_stream: bool,
    sender: Option<IpAddr>,
}

impl RequestHead {
    /// Reads the next request; returns `None` if the connection has closed.
    pub(super) fn read(reader: &mut BufReader<&TcpStream>) -> std::io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut head = Self {
            headers: Vec::new(),
            target: line.split(' ').nth(1).unwrap_or_default().to_owned(),
            is_stream: line.contains("/stream/"),
            sender: reader.get_ref().peer_addr().ok().map(|peer| peer.ip()),
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
        let length = head.header("content-length").parse().unwrap_or(0);
        std::io::copy(&mut reader.take(length), &mut std::io::sink())?;
        Ok(Some(head))
    }

    /// Returns the value of a header, or an empty string; `name` is in lower case.
    pub(super) fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the id of the first event that the caller wants.
    pub(super) fn first_event(&self) -> u64 {
        self.header("last-event-id").parse().unwrap_or(0) + 1
    }

    pub(super) fn execution(&self, unframed: bool) -> Execution {
        let parts = self.header("x-merlinrudder-prompt-prefix").split(',');
        let ids = parts.filter_map(|part| part.trim().split(':').next());
        Execution {
            attempt: self.header("x-merlinrudder-attempt-id").to_owned(),
            customer: self.header("x-merlinrudder-tenant").to_owned(),
            end: ExecutionEnd::Running,
            parts: ids
                .filter(|id| !id.is_empty())
                .map(ToOwned::to_owned)
                .collect(),
            sender: self.sender,
            remaining_ms: self
                .header("x-merlinrudder-deadline-ms")
                .parse()
                .unwrap_or(0),
            target: self.target.clone(),
            unframed,
            started: Instant::now(),
        }
    }
}
