//! What in requests may make upstreams end.

use std::fmt;
use std::time::Duration;

use crate::model::RequestHash;

/// Shortest time between the first and the last of the broken attempts for a prompt part. Engines that end at the
/// same moment have a cause in common, which is not the part.
const MIN_PART_EVIDENCE_SPAN: Duration = Duration::from_millis(300);

/// The same for a request, which seldom runs at several upstreams at once: the time of two retries.
const MIN_REQUEST_EVIDENCE_SPAN: Duration = Duration::from_millis(50);

/// Time for which an answer under a prompt part speaks against later evidence. When many engines end
/// for another reason, several attempts with a common part may break before an engine answers the
/// next one.
const SOUND_PART_VALIDITY: Duration = Duration::from_secs(10);

/// The same for a request, of which fewer run at a time.
const SOUND_REQUEST_VALIDITY: Duration = Duration::from_secs(5);

/// Id of a prompt part.
pub type PartId = u64;

/// Something in requests under which upstreams may end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A part of their prompts.
    PromptPart(PartId),
    /// All that a request asks for.
    Request(RequestHash),
}

impl From<PartId> for Cause {
    fn from(part: PartId) -> Cause {
        Cause::PromptPart(part)
    }
}

impl From<RequestHash> for Cause {
    fn from(request: RequestHash) -> Cause {
        Cause::Request(request)
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::PromptPart(part) => write!(f, "part:{part:x}"),
            Cause::Request(request) => write!(f, "request:{request}"),
        }
    }
}

impl Cause {
    /// Shortest time between the first and the last evidence against it.
    pub(super) fn min_evidence_span(self) -> Duration {
        match self {
            Cause::PromptPart(_) => MIN_PART_EVIDENCE_SPAN,
            Cause::Request(_) => MIN_REQUEST_EVIDENCE_SPAN,
        }
    }

    /// Time for which an answer speaks against later evidence.
    pub(super) fn sound_validity(self) -> Duration {
        match self {
            Cause::PromptPart(_) => SOUND_PART_VALIDITY,
            Cause::Request(_) => SOUND_REQUEST_VALIDITY,
        }
    }

    /// The prompt part, if it is one.
    pub(super) fn part(self) -> Option<PartId> {
        match self {
            Cause::PromptPart(part) => Some(part),
            Cause::Request(_) => None,
        }
    }

    /// The request, if it is one.
    pub(super) fn request(self) -> Option<RequestHash> {
        match self {
            Cause::PromptPart(_) => None,
            Cause::Request(request) => Some(request),
        }
    }
}
