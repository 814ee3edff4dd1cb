//! Metadata in the heads of requests and responses.

use std::time::Duration;

/// Metadata that a caller sends with a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of this attempt by the caller.
    pub attempt_id: String,
    /// Time that the caller waits for the response, from receipt of the request.
    pub timeout: Option<Duration>,
    /// Key that identifies the customer.
    pub key: Option<String>,
    /// Number of prompt tokens; `None` for a request to a plain service.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens that may be generated.
    pub max_output_tokens: u32,
    /// Caller's estimate of the number of tokens that will be generated.
    pub output_estimate: Option<u32>,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Id of the event after which the stream should resume.
    pub resume_after: Option<u64>,
    /// Attempt of the caller that brought the first event of the stream that should resume.
    pub resumes: Option<String>,
}

impl RequestMetadata {
    /// Ids of the prompt's parts without the last, which belongs to the request or its session.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> + '_ {
        let count = self.prompt_parts.len().saturating_sub(1);
        self.prompt_parts.iter().take(count).map(|part| part.id)
    }

    /// Expected number of output tokens: the caller's estimate, capped at its maximum.
    pub fn expected_output_tokens(&self) -> u32 {
        self.output_estimate
            .map_or(self.max_output_tokens, |tokens| tokens.min(self.max_output_tokens))
    }
}

/// A part of a prompt, which prompts of other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// What a response says of the requests a second that its upstream takes from all gateways
/// together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StatedLimit {
    /// It names no limit.
    #[default]
    None,
    /// It names this rate, finite and not negative.
    PerSecond(f64),
    /// It names something that is not a rate, which says neither that there is a limit nor that one
    /// has ended.
    Unreadable,
}

/// Metadata in the head of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the attempt that the response belongs to, if it contains one.
    pub attempt_id: Option<String>,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request and never will.
    pub not_run: bool,
    /// Whether the request was not run because another instance now has the address.
    pub other_instance: bool,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// Requests a second that the upstream takes.
    pub limit: StatedLimit,
    /// Time for which the upstream wants no requests of this gateway.
    pub pause: Option<Duration>,
    /// Whether the connection may be reused.
    pub keep_connection: bool,
    /// Time for which the upstream keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
}
