//! Splits a byte stream into complete server-sent events, so that none is forwarded in part.

/// Largest event, and most bytes of comments between two events.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A complete server-sent event, including the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Raw bytes of the event, unchanged.
    pub bytes: Vec<u8>,
    /// Numeric event id; `None` if there is none or it is not a number.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event may follow event number `last`; a stream without numbers is not checked.
    ///
    /// Numbers increase, and may leave some out. Between numbered events only comments have no number. Anything else was not sent as a part of
    /// the stream, such as the head of another response.
    #[must_use]
    pub fn follows(&self, last: Option<u64>) -> bool {
        match (last, self.id) {
            (Some(last), Some(id)) => id > last,
            (Some(_), None) => is_comment(&self.bytes),
            (None, _) => true,
        }
    }
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the incomplete event; they contain no blank line.
    partial: Vec<u8>,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            let starts_line = self.partial.last().is_none_or(|byte| *byte == b'\n');
            self.partial.extend_from_slice(line);
            let blank = starts_line && matches!(line, b"\n" | b"\r\n");
            if blank || ends_with_blank_line(&self.partial) {
                let bytes = std::mem::take(&mut self.partial);
                let id = event_id(&bytes);
                self.comment_bytes = if is_comment(&bytes) {
                    self.comment_bytes + bytes.len()
                } else {
                    0
                };
                events.push(Event { bytes, id });
            }
        }
        events
    }

    /// Whether an event, or comments without an event, are longer than `MAX_EVENT_BYTES`.
    #[must_use]
    pub fn is_over_limit(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES || self.comment_bytes > MAX_EVENT_BYTES
    }

    /// Returns the length of the incomplete event, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Returns whether the bytes end with a blank line, also one that arrived in two parts.
fn ends_with_blank_line(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\n\n")
}

/// Whether all lines of an event are comments or empty.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
