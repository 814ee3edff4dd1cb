//! The answer of a request as it grows; read by any number of readers, each from its own offset.

use bytes::Bytes;
use errors::{Outcome, Refusal, ResultCode};
use wire::ResponseEvent;

/// Largest piece that a reader gets at once.
const PIECE_LIMIT_BYTES: usize = 64 * 1024;

/// How far a reader has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    offset_bytes: usize,
    started: bool,
    ended: bool,
}

impl Cursor {
    /// A reader that holds the first bytes already.
    pub fn at(offset_bytes: u64) -> Cursor {
        Cursor { offset_bytes: offset_bytes as usize, started: false, ended: false }
    }
}

/// What a reader is due.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadStep {
    /// Pass this on and read again.
    Event(ResponseEvent),
    /// Nothing yet.
    Wait,
    /// There is no more.
    End,
}

#[derive(Debug, Default)]
pub(super) struct Transcript {
    head: Option<(u16, String)>,
    bytes: Vec<u8>,
    end: Option<End>,
}

#[derive(Debug)]
enum End {
    Whole,
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
        self.end = Some(End::Whole);
    }

    pub(super) fn refuse(&mut self, refusal: Refusal) {
        self.end = Some(End::Refused(refusal));
    }

    /// Bytes held.
    pub(super) fn len_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Gives the bytes up; a reader that still needs them is told so.
    pub(super) fn evict(&mut self) {
        self.bytes = Vec::new();
        if matches!(self.end, Some(End::Whole)) {
            self.end = Some(End::Refused(Refusal::new(ResultCode::AlreadyRan, Outcome::Ran)));
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
        if let Some(piece) = self.piece(cursor.offset_bytes) {
            let event = ResponseEvent::Data {
                offset_bytes: cursor.offset_bytes as u64,
                bytes: Bytes::copy_from_slice(piece),
            };
            cursor.offset_bytes += piece.len();
            return ReadStep::Event(event);
        }
        self.read_end(cursor)
    }

    fn piece(&self, offset_bytes: usize) -> Option<&[u8]> {
        let rest = self.bytes.get(offset_bytes..).filter(|rest| !rest.is_empty())?;
        Some(&rest[..rest.len().min(PIECE_LIMIT_BYTES)])
    }

    fn read_end(&self, cursor: &mut Cursor) -> ReadStep {
        let Some(end) = &self.end else { return ReadStep::Wait };
        cursor.ended = true;
        ReadStep::Event(match end {
            End::Whole => ResponseEvent::Finished { total_bytes: self.bytes.len() as u64 },
            End::Refused(refusal) => ResponseEvent::Refused(refusal.clone()),
        })
    }
}
