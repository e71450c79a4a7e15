//! Splits a byte stream into server-sent events.

use std::collections::VecDeque;
use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memchr;

/// The longest accepted event, so that a replica cannot exhaust the memory of the daemon.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

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

    /// Returns whether a line is a comment or has a field that events may have, unlike other text.
    pub fn has_known_field(&self) -> bool {
        self.raw.split(|byte| *byte == b'\n').any(|line| {
            line.starts_with(b":")
                || [b"id".as_slice(), b"data", b"event", b"retry"]
                    .iter()
                    .any(|name| field_value(line, name).is_some())
        })
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
    // The lengths of the complete events at the start of `pending`.
    complete: VecDeque<usize>,
    // Where the incomplete event starts in `pending`.
    partial_start: usize,
    // How much of `pending` has been searched for the end of an event.
    searched: usize,
    is_too_long: bool,
}

impl EventSplitter {
    /// Appends received bytes to the buffer; fails from the first event on that is over the length
    /// limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if !self.is_too_long {
            self.pending.extend_from_slice(bytes);
            self.is_too_long = self.find_ends().is_err();
        }
        if self.is_too_long { Err(EventTooLong) } else { Ok(()) }
    }

    /// Takes the next complete event, or returns `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let length = self.complete.pop_front()?;
        let raw = self.pending.split_to(length).freeze();
        self.partial_start -= length;
        self.searched -= length;
        let id = raw
            .split(|byte| *byte == b'\n')
            .find_map(|line| field_value(line, b"id"))
            .and_then(|text| std::str::from_utf8(text).ok()?.trim().parse().ok());
        Some(Event { id, raw })
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        self.partial_start < self.pending.len()
    }

    /// Returns the size of the buffer in memory, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records the complete events that have arrived.
    fn find_ends(&mut self) -> Result<(), EventTooLong> {
        while let Some(offset) = memchr(b'\n', &self.pending[self.searched..]) {
            let after_line = self.searched + offset + 1;
            let end = match &self.pending[after_line..] {
                [b'\n', ..] => after_line + 1,
                [b'\r', b'\n', ..] => after_line + 2,
                [] | [b'\r'] => {
                    self.searched = after_line - 1;
                    return self.check_length(self.pending.len());
                }
                _ => {
                    self.searched = after_line;
                    continue;
                }
            };
            self.check_length(end)?;
            self.complete.push_back(end - self.partial_start);
            self.partial_start = end;
            self.searched = end;
        }
        self.searched = self.pending.len();
        self.check_length(self.pending.len())
    }

    fn check_length(&self, end: usize) -> Result<(), EventTooLong> {
        if end - self.partial_start > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }
}

/// Returns the value of the field `name` if `line` holds it, without one leading space.
fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(value.strip_suffix(b"\r").unwrap_or(value))
}
