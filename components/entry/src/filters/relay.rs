//! Puts an answer together: every byte of the request's own dispatch once, in order, or a fault
//! that is seen.

use bytes::Bytes;
use errors::Refusal;
use identity::DispatchEpoch;
use wire::{AnswerEvent, Envelope, RequestKey};

/// How far an answer has been taken.
#[derive(Debug)]
pub struct Relay {
    key: RequestKey,
    epoch: DispatchEpoch,
    offset_bytes: u64,
    started: bool,
}

/// What a piece of an answer amounts to.
#[derive(Debug, Clone, PartialEq)]
pub enum Taken {
    /// Nothing new, but the agent is at work.
    Nothing,
    /// The head of the answer.
    Head {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// New bytes.
    Piece(Bytes),
    /// The answer is whole.
    Whole,
    /// Bytes are missing before this event.
    Gap,
    /// The event belongs to another request or another dispatch.
    Crossed,
    /// There is no answer, or no more of it.
    Refused(Refusal),
}

impl Relay {
    /// The answer to one dispatch of a request.
    pub fn new(key: RequestKey, epoch: DispatchEpoch) -> Relay {
        Relay { key, epoch, offset_bytes: 0, started: false }
    }

    /// Bytes taken so far.
    pub fn offset_bytes(&self) -> u64 {
        self.offset_bytes
    }

    /// The dispatch whose events are taken.
    pub fn epoch(&self) -> DispatchEpoch {
        self.epoch
    }

    /// Whether the upstream has begun to answer.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Takes the next event of the answer.
    pub fn take(&mut self, envelope: Envelope) -> Taken {
        if envelope.key != self.key || envelope.epoch != self.epoch {
            return Taken::Crossed;
        }
        match envelope.event {
            AnswerEvent::Started { .. } if self.started => Taken::Nothing,
            AnswerEvent::Started { status, content_type } => {
                self.started = true;
                Taken::Head { status, content_type }
            }
            AnswerEvent::Data { .. } if !self.started => Taken::Gap,
            AnswerEvent::Data { offset_bytes, bytes } => self.take_data(offset_bytes, &bytes),
            AnswerEvent::Progress { .. } => Taken::Nothing,
            AnswerEvent::Finished { total_bytes }
                if self.started && total_bytes == self.offset_bytes =>
            {
                Taken::Whole
            }
            AnswerEvent::Finished { .. } => Taken::Gap,
            AnswerEvent::Refused(refusal) => Taken::Refused(refusal),
        }
    }

    fn take_data(&mut self, offset_bytes: u64, bytes: &Bytes) -> Taken {
        if offset_bytes > self.offset_bytes {
            return Taken::Gap;
        }
        let repeated = (self.offset_bytes - offset_bytes) as usize;
        if repeated >= bytes.len() {
            return Taken::Nothing;
        }
        let fresh = bytes.slice(repeated..);
        self.offset_bytes += fresh.len() as u64;
        Taken::Piece(fresh)
    }
}
