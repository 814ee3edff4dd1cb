//! Assembles the response of one dispatch from the agent's events. Each byte is delivered once and
//! in order; a missing byte, or an event of another dispatch, is detected.

use bytes::Bytes;
use errors::Refusal;
use identity::DispatchEpoch;
use wire::{Envelope, RequestKey, ResponseEvent};

/// Assembles the response of one dispatch and tracks how much of it has been accepted.
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
    /// The event carries no new data. It still shows that the agent is working on the request.
    NoData,
    /// The head of the response.
    Head {
        /// HTTP status of the upstream.
        status: u16,
        /// Content type of the response.
        content_type: String,
    },
    /// The next bytes of the response.
    Data(Bytes),
    /// The response is complete.
    Complete,
    /// Bytes are missing before this event.
    Gap,
    /// The event belongs to another request or another dispatch.
    WrongDispatch,
    /// The agent refused the request or ended its response.
    Refused(Refusal),
}

impl Relay {
    /// Starts the response of one dispatch of a request.
    pub fn new(key: RequestKey, epoch: DispatchEpoch) -> Relay {
        Relay { key, epoch, offset_bytes: 0, started: false }
    }

    /// Number of bytes accepted so far.
    pub fn offset_bytes(&self) -> u64 {
        self.offset_bytes
    }

    /// The epoch of the dispatch whose events are accepted.
    pub fn epoch(&self) -> DispatchEpoch {
        self.epoch
    }

    /// Whether the upstream has started its response.
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
            ResponseEvent::Data { offset_bytes, bytes } => self.accept_data(offset_bytes, &bytes),
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

    /// Accepts the bytes that follow those accepted before, and skips repeated ones.
    fn accept_data(&mut self, offset_bytes: u64, bytes: &Bytes) -> RelayOutput {
        if offset_bytes > self.offset_bytes {
            return RelayOutput::Gap;
        }
        let already_accepted = (self.offset_bytes - offset_bytes) as usize;
        if already_accepted >= bytes.len() {
            return RelayOutput::NoData;
        }
        let new_bytes = bytes.slice(already_accepted..);
        self.offset_bytes += new_bytes.len() as u64;
        RelayOutput::Data(new_bytes)
    }
}
