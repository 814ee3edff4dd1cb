//! Puts an answer together: every byte of the request's own dispatch once, in order, or a fault
//! that is seen.

use bytes::Bytes;
use errors::Refusal;
use identity::DispatchEpoch;
use wire::{Envelope, RequestKey, ResponseEvent};

/// How far an answer has been taken.
#[derive(Debug)]
pub struct Relay {
    key: RequestKey,
    epoch: DispatchEpoch,
    offset_bytes: u64,
    started: bool,
}

/// Output of the relay for one event of the response.
#[derive(Debug, Clone, PartialEq)]
pub enum RelayOutput {
    /// Nothing new, but the agent is at work.
    NoData,
    /// The head of the answer.
    Head {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// New bytes.
    Data(Bytes),
    /// The answer is whole.
    Complete,
    /// Bytes are missing before this event.
    Gap,
    /// The event belongs to another request or another dispatch.
    WrongDispatch,
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

    /// Accepts the next event of the response.
    pub fn accept_event(&mut self, envelope: Envelope) -> RelayOutput {
        if envelope.key != self.key || envelope.epoch != self.epoch {
            return RelayOutput::WrongDispatch;
        }
        match envelope.event {
            ResponseEvent::Started { .. } if self.started => RelayOutput::NoData,
            ResponseEvent::Started { status, content_type } => {
                self.started = true;
                RelayOutput::Head { status, content_type }
            }
            ResponseEvent::Data { .. } if !self.started => RelayOutput::Gap,
            ResponseEvent::Data { offset_bytes, bytes } => self.take_data(offset_bytes, &bytes),
            ResponseEvent::Progress { .. } => RelayOutput::NoData,
            ResponseEvent::Finished { total_bytes }
                if self.started && total_bytes == self.offset_bytes =>
            {
                RelayOutput::Complete
            }
            ResponseEvent::Finished { .. } => RelayOutput::Gap,
            ResponseEvent::Refused(refusal) => RelayOutput::Refused(refusal),
        }
    }

    fn take_data(&mut self, offset_bytes: u64, bytes: &Bytes) -> RelayOutput {
        if offset_bytes > self.offset_bytes {
            return RelayOutput::Gap;
        }
        let repeated = (self.offset_bytes - offset_bytes) as usize;
        if repeated >= bytes.len() {
            return RelayOutput::NoData;
        }
        let fresh = bytes.slice(repeated..);
        self.offset_bytes += fresh.len() as u64;
        RelayOutput::Data(fresh)
    }
}
