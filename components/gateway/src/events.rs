//! Splits a response body into complete server-sent events.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Largest event of a stream. Events hold some tokens of text, a kilobyte at most.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Blank line that ends an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// Buffers bytes until events are complete. An upstream may stop in the middle of an event;
/// incomplete events are never forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

/// Error of a stream with an event that is longer than `MAX_EVENT_BYTES`, or without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event exceeds the limit of {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now, as one buffer. Fails if the last
    /// event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        let events = self.take_complete(bytes);
        if self.partial.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(events) }
    }

    fn take_complete(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let search_from = self.partial.len().saturating_sub(EVENT_DELIMITER.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = self.partial[search_from..]
            .windows(EVENT_DELIMITER.len())
            .rposition(|window| window == EVENT_DELIMITER)
            .map(|position| search_from + position + EVENT_DELIMITER.len())?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Length of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the incomplete event.
    pub fn reset(&mut self) {
        self.partial.clear();
    }
}
