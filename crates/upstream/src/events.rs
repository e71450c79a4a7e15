//! Splits a stream of bytes into server-sent events.

use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;

/// The longest event that is accepted, in bytes; a replica must not fill this daemon's memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's place in its stream, if it has one that is a number.
    pub id: Option<u64>,
    /// The event as it was received.
    pub raw: Bytes,
}

impl Event {
    /// Appends the event's data to `text`, with a line feed between its lines.
    pub fn append_data(&self, text: &mut String) {
        let mut is_first = true;
        for line in self.raw.split(|byte| *byte == b'\n') {
            let Some(data) = field(line, b"data") else { continue };
            if !is_first {
                text.push('\n');
            }
            is_first = false;
            text.push_str(&String::from_utf8_lossy(data));
        }
    }

    /// Returns the event's data, with a line feed between its lines.
    pub fn data(&self) -> String {
        let mut text = String::new();
        self.append_data(&mut text);
        text
    }

    /// Returns whether the event carries data.
    pub fn has_data(&self) -> bool {
        self.raw.split(|byte| *byte == b'\n').any(|line| field(line, b"data").is_some())
    }
}

/// An event grew over the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Collects bytes until they make up whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.pending.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.pending)?;
        let raw = self.pending.split_to(end).freeze();
        let id = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| field(line, b"id"))
            .and_then(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
        Some(Event { id, raw })
    }

    /// Returns whether bytes of an unfinished event are left.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}

/// Returns the length of the first event with its empty line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let unix = memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let dos = memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (unix, dos) {
        (Some(unix), Some(dos)) => Some(unix.min(dos)),
        (unix, dos) => unix.or(dos),
    }
}

/// Returns the value of a line's field, without one leading space.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(value.strip_suffix(b"\r").unwrap_or(value))
}
