//! Server-sent events, split out of a byte stream.

use bytes::BytesMut;

/// The longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes and yields the `data:` payload of each whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

/// An event grew over its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next whole event's data.
    pub fn next_event(&mut self) -> Option<String> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buffer.split_to(end + 2);
        let text = String::from_utf8_lossy(&event);
        let data: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("data:"))
            .map(|data| data.strip_prefix(' ').unwrap_or(data))
            .collect();
        Some(data.join("\n"))
    }
}
