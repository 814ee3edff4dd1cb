//! Decides whether what upstreams send is the event stream that a request waits for, and whether its
//! end is complete.
//!
//! Load pattern: streams that break off by the dozen when upstreams end, beside upstreams in trouble
//! that answer a resumed stream with an error text, with events that the caller has, or with nothing,
//! under a status of success. The caller has a part of the stream by then, and would take all of
//! that for the rest.

use std::fmt;

/// Progress of a stream over all its runs at upstreams.
#[derive(Debug)]
pub struct EventSequence {
    /// Id of the last event that the caller has.
    last_id: Option<u64>,
    /// Whether the caller has the events before the current run.
    goes_on: bool,
    /// Whether the current run has brought an event.
    has_events: bool,
    /// Whether the stream holds something that has no id, after which it cannot go on elsewhere.
    has_unnumbered: bool,
}

/// What the end of a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream is complete.
    Complete,
    /// The upstream has broken off.
    Broken,
}

/// What an upstream sent is not what follows in the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceError {
    /// The ids of events do not increase.
    Repeated {
        /// Id of the event.
        id: u64,
        /// Id of the event before it.
        last_id: u64,
    },
    /// Within a stream that goes on, something that is no numbered event.
    NotAnEvent,
}

impl fmt::Display for SequenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SequenceError::Repeated { id, last_id } => {
                write!(f, "event {id} follows event {last_id}")
            }
            SequenceError::NotAnEvent => write!(f, "something other than an event follows"),
        }
    }
}

impl std::error::Error for SequenceError {}

enum Block {
    Event { id: u64 },
    Comment,
    Unnumbered,
}

impl EventSequence {
    /// Begins the first run of a request. `resume_after` is the id of the last event that its caller
    /// has from an earlier attempt.
    pub fn begin(resume_after: Option<u64>) -> EventSequence {
        EventSequence {
            last_id: resume_after,
            goes_on: resume_after.is_some(),
            has_events: false,
            has_unnumbered: false,
        }
    }

    /// Begins another run, which goes on after the last event. `None` if that is not known, or is not
    /// the last that the caller has.
    #[must_use]
    pub fn begin_further_run(&mut self) -> Option<u64> {
        self.goes_on = true;
        self.has_events = false;
        self.last_id.filter(|_| !self.has_unnumbered)
    }

    /// Id of the last event that the caller has.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the current run has brought an event.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Accepts complete events of the current run and returns their number. Accepts nothing if one of
    /// them does not follow.
    pub fn accept(&mut self, events: &[u8]) -> Result<u32, SequenceError> {
        let (mut last_id, mut count, mut has_unnumbered) = (self.last_id, 0, self.has_unnumbered);
        for block in blocks(events) {
            match classify(block) {
                Block::Comment => continue,
                Block::Event { id } => {
                    if let Some(last_id) = last_id.filter(|last_id| id <= *last_id) {
                        return Err(SequenceError::Repeated { id, last_id });
                    }
                    last_id = Some(id);
                }
                Block::Unnumbered if self.goes_on => return Err(SequenceError::NotAnEvent),
                Block::Unnumbered => has_unnumbered = true,
            }
            count += 1;
        }
        (self.last_id, self.has_unnumbered) = (last_id, has_unnumbered);
        self.has_events |= count > 0;
        Ok(count)
    }

    /// Decides what the end of the current run is. `is_framed` tells whether the response had another
    /// end than that of its connection. A stream that goes on may have broken off after its last
    /// event; a new one has at least one event.
    pub fn end_run(&self, is_framed: bool) -> RunEnd {
        if self.has_events || (self.goes_on && is_framed) {
            RunEnd::Complete
        } else {
            RunEnd::Broken
        }
    }
}

/// Whether a response with this content type may be an event stream.
pub fn is_event_stream(content_type: Option<&str>) -> bool {
    let media_type = content_type.map(|given| given.split(';').next().unwrap_or_default().trim());
    media_type.is_none_or(|given| given.eq_ignore_ascii_case("text/event-stream"))
}

/// Splits complete events at the blank lines that end them.
fn blocks(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = rest.windows(2).position(|window| window == b"\n\n")?;
        let block = &rest[..end];
        rest = &rest[end + 2..];
        Some(block)
    })
}

fn classify(block: &[u8]) -> Block {
    let (mut id, mut is_comment, mut has_fields_only) = (None, true, true);
    for line in block.split(|byte| *byte == b'\n') {
        if line.is_empty() || line[0] == b':' {
            continue;
        }
        is_comment = false;
        match line.iter().position(|byte| *byte == b':') {
            Some(2) if line.starts_with(b"id") => id = parse_id(&line[3..]),
            Some(colon) if is_field_name(&line[..colon]) => {}
            _ => has_fields_only = false,
        }
    }
    match id.filter(|_| has_fields_only) {
        Some(id) => Block::Event { id },
        None if is_comment => Block::Comment,
        None => Block::Unnumbered,
    }
}

fn parse_id(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Whether a name may be that of an event's field, unlike those in the head of a response.
fn is_field_name(name: &[u8]) -> bool {
    name.iter().all(|byte| byte.is_ascii_lowercase() || *byte == b'-')
}
