//! Cuts a body into whole events.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const END: &[u8] = b"\n\n";

/// Collects bytes until events are whole. An upstream may stop in the middle of an event; what is
/// not whole is never passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes and gives back the events that are whole now, as one piece.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.partial.len().saturating_sub(END.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = self.partial[searched..]
            .windows(END.len())
            .rposition(|window| window == END)
            .map(|position| searched + position + END.len())?;
        Some(self.partial.split_to(end).freeze())
    }

    /// Whether an event has begun that is not whole.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops what is not whole.
    pub fn reset(&mut self) {
        self.partial.clear();
    }
}

/// How many events a piece of whole events holds.
pub fn count_events(events: &[u8]) -> u32 {
    let ends = events.windows(END.len()).filter(|window| *window == END).count();
    u32::try_from(ends).unwrap_or(u32::MAX)
}

/// The id of the last event in a piece of whole events, from its `id:` line.
pub fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
