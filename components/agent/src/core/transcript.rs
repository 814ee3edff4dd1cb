//! Transcript of a response. Any number of readers can read it while it is still being received,
//! each from its own offset.

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use wire::ResponseEvent;

/// Most bytes of the response in one event for a reader.
const CHUNK_LIMIT_BYTES: usize = 64 * 1024;

/// Position of a reader in the transcript of a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    offset_bytes: usize,
    started: bool,
    ended: bool,
}

impl Cursor {
    /// Creates a cursor that skips the first `offset_bytes` of the response body.
    pub fn at(offset_bytes: u64) -> Cursor {
        Cursor { offset_bytes: offset_bytes as usize, started: false, ended: false }
    }
}

/// Result of reading the next event of a transcript.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadStep {
    /// The next event; more may follow.
    Event(ResponseEvent),
    /// No further event is available yet.
    Wait,
    /// There are no more events.
    End,
}

#[derive(Debug, Default)]
pub(super) struct Transcript {
    head: Option<(u16, String)>,
    bytes: Vec<u8>,
    end: Option<TranscriptEnd>,
}

#[derive(Debug)]
enum TranscriptEnd {
    Complete,
    Refused(Refusal),
}

impl Transcript {
    pub(super) fn start(&mut self, status: u16, content_type: String) {
        self.head = Some((status, content_type));
    }

    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    pub(super) fn finish(&mut self) {
        self.end = Some(TranscriptEnd::Complete);
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) {
        self.end = Some(TranscriptEnd::Refused(refusal));
    }

    pub(super) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Drops the body of the response. If the response was complete, readers that have not reached
    /// its end get a refusal with the code `AlreadyRan` instead.
    pub(super) fn evict(&mut self) {
        self.bytes = Vec::new();
        if matches!(self.end, Some(TranscriptEnd::Complete)) {
            self.end =
                Some(TranscriptEnd::Refused(Refusal::new(ResultCode::AlreadyRan, Outcome::Ran)));
        }
    }

    pub(super) fn read(&self, cursor: &mut Cursor) -> ReadStep {
        if cursor.ended {
            return ReadStep::End;
        }
        if let (false, Some((status, content_type))) = (cursor.started, &self.head) {
            cursor.started = true;
            return ReadStep::Event(ResponseEvent::Started {
                status: *status,
                content_type: content_type.clone(),
            });
        }
        if let Some(chunk) = self.chunk_at(cursor.offset_bytes) {
            let event = ResponseEvent::Data {
                offset_bytes: cursor.offset_bytes as u64,
                bytes: Bytes::copy_from_slice(chunk),
            };
            cursor.offset_bytes += chunk.len();
            return ReadStep::Event(event);
        }
        self.read_end(cursor)
    }

    fn chunk_at(&self, offset_bytes: usize) -> Option<&[u8]> {
        let rest = self.bytes.get(offset_bytes..).filter(|rest| !rest.is_empty())?;
        Some(&rest[..rest.len().min(CHUNK_LIMIT_BYTES)])
    }

    fn read_end(&self, cursor: &mut Cursor) -> ReadStep {
        let Some(end) = &self.end else { return ReadStep::Wait };
        cursor.ended = true;
        ReadStep::Event(match end {
            TranscriptEnd::Complete => {
                ResponseEvent::Finished { total_bytes: self.bytes.len() as u64 }
            }
            TranscriptEnd::Refused(refusal) => ResponseEvent::Refused(refusal.clone()),
        })
    }
}
