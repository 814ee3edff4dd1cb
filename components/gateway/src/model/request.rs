//! What the heads of requests and answers say.

use std::time::Duration;

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The id of this attempt of the caller.
    pub attempt_id: String,
    /// How long the caller waits, from now.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Tokens of the prompt; `None` for a request to a plain service.
    pub prompt_tokens: Option<u32>,
    /// The most tokens that may be generated.
    pub max_output_tokens: u32,
    /// The caller's estimate of the tokens that will be generated.
    pub output_estimate: Option<u32>,
    /// The parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The event after which the caller wants the stream to go on.
    pub resume_after: Option<u64>,
}

impl RequestMetadata {
    /// Output tokens that are expected: the caller's estimate within its limit.
    pub fn expected_output_tokens(&self) -> u32 {
        self.output_estimate
            .map_or(self.max_output_tokens, |tokens| tokens.min(self.max_output_tokens))
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its size.
    pub tokens: u32,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers, where it says so.
    pub attempt_id: Option<String>,
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request and never will.
    pub not_run: bool,
    /// Whether it did not because another instance has the address now.
    pub other_instance: bool,
    /// Whether the connection may carry another request.
    pub keep_connection: bool,
    /// How long the upstream keeps an idle connection.
    pub idle_timeout: Option<Duration>,
}
