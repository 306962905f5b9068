//! Cuts a stream of server-sent events into whole events, so that none is passed on in part.

/// A whole event, with the blank line that ends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, unchanged.
    pub bytes: Vec<u8>,
    /// Its number, where it carries one.
    pub id: Option<u64>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of the event that is not whole yet; they hold no blank line.
    partial: Vec<u8>,
}

impl EventSplitter {
    /// Takes bytes in and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            let starts_line = self.partial.last().is_none_or(|byte| *byte == b'\n');
            self.partial.extend_from_slice(line);
            let blank = starts_line && matches!(line, b"\n" | b"\r\n");
            if blank || ends_blank(&self.partial) {
                let bytes = std::mem::take(&mut self.partial);
                let id = event_id(&bytes);
                events.push(Event { bytes, id });
            }
        }
        events
    }

    /// Whether an event was begun and not ended.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }
}

/// Whether the bytes end with a blank line that arrived in two parts.
fn ends_blank(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\r\n") || bytes.ends_with(b"\n\n")
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
