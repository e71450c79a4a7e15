//! Splits a byte stream into server-sent events.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// The longest accepted event, so that a replica cannot exhaust the memory of the daemon.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number in the event's `id` field, if it has one.
    pub id: Option<u64>,
    /// The bytes of the event as received.
    pub raw: Bytes,
}

impl Event {
    /// Appends the event's data to `text`, with its lines joined by line feeds.
    pub fn append_data(&self, text: &mut String) {
        let mut is_first = true;
        for line in self.raw.split(|byte| *byte == b'\n') {
            let Some(data) = field_value(line, b"data") else { continue };
            if !is_first {
                text.push('\n');
            }
            is_first = false;
            text.push_str(&String::from_utf8_lossy(data));
        }
    }

    /// Returns the event's data, with its lines joined by line feeds.
    pub fn data(&self) -> String {
        let mut text = String::new();
        self.append_data(&mut text);
        text
    }

    /// Returns whether the event has a `data` field.
    pub fn has_data(&self) -> bool {
        self.raw.split(|byte| *byte == b'\n').any(|line| field_value(line, b"data").is_some())
    }
}

/// The error for an event over the length limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next complete event, or returns `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.pending)?;
        let raw = self.pending.split_to(end).freeze();
        let id = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| field_value(line, b"id"))
            .and_then(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
        Some(Event { id, raw })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let lf_end = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let crlf_end = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}

/// Returns the value of the field `name` if `line` holds it, without one leading space.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(value.strip_suffix(b"\r").unwrap_or(value))
}
