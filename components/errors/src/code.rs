//! Result codes, each with a number, a name, a description and an HTTP status.

use serde::{Deserialize, Serialize};

/// Outcome of the work that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The work did not run and will not run: it was not sent to an upstream, or the upstream
    /// rejected it.
    NotRun,
    /// The work ran, completely or in part.
    Ran,
    /// It is not known whether the work ran.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in error bodies.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($variant:ident = $number:literal, $status:literal, $name:literal, $description:literal;)*) => {
        /// Numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $(#[doc = $description] $variant,)*
        }

        impl ResultCode {
            /// Every code, in ascending order of the numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// Number in error bodies; callers and scripts match on it.
            pub fn number(self) -> u32 {
                match self { $(ResultCode::$variant => $number,)* }
            }

            /// Name that accompanies the number.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => $name,)* }
            }

            /// Human-readable description, the default message of a refusal.
            pub fn description(self) -> &'static str {
                match self { $(ResultCode::$variant => $description,)* }
            }

            /// HTTP status of a response with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }
        }
    };
}

result_codes! {
    MalformedJson = 1001, 400, "malformed_json", "The body is not valid JSON.";
    FieldOutOfRange = 1002, 400, "field_out_of_range", "A field is missing or outside its allowed range.";
    BodyTooLarge = 1003, 413, "body_too_large", "The body is larger than the configured limit.";
    UnknownModel = 1004, 404, "unknown_model", "No such model is configured for this customer.";
    UnknownService = 1005, 404, "unknown_service", "No such service or call is configured.";
    IdempotencyKeyRequired = 1006, 400, "idempotency_key_required", "This call is not idempotent and needs an Idempotency-Key header.";
    IdempotencyKeyReused = 1007, 409, "idempotency_key_reused", "The key was used before with another body.";
    NotFound = 1008, 404, "not_found", "The requested resource was not found.";
    MalformedRequest = 1009, 400, "malformed_request", "The request's head or body is not well formed.";
    HeaderTooLarge = 1010, 431, "header_too_large", "The headers are larger than the configured limit.";
    RequestTooSlow = 1011, 408, "request_too_slow", "The rest of the request did not arrive in time.";
    UnknownKey = 1101, 401, "unknown_key", "The bearer key is missing or belongs to no customer.";
    NotPermitted = 1102, 403, "not_permitted", "The customer may not make this call.";
    LimitReached = 2001, 429, "limit_reached", "The customer's rate limit has been reached.";
    Overloaded = 2002, 503, "overloaded", "No suitable upstream can serve the request in time.";
    Preempted = 2003, 503, "preempted", "The request was preempted by a request of a higher tier.";
    DeadlinePassed = 2004, 504, "deadline_passed", "The request cannot finish within its deadline.";
    NoUpstream = 2005, 503, "no_upstream", "No suitable upstream is known to be available.";
    Draining = 2006, 503, "draining", "This process is stopping and accepts no new requests.";
    ConfigurationMissing = 2007, 503, "configuration_missing", "No configuration has been received yet.";
    RetryBudgetSpent = 2008, 503, "retry_budget_spent", "Too many requests are being retried at the moment.";
    PromptQuarantined = 2009, 503, "prompt_quarantined", "The prompt has a part under which upstreams have ended; it is tried again from time to time.";
    RequestQuarantined = 2010, 503, "request_quarantined", "Upstreams have ended under the same request; it is tried again from time to time.";
    StreamVersionGone = 2011, 503, "stream_version_gone", "The software version that began the stream is not in service, so that the stream cannot go on; a new one can begin.";
    StreamOriginUnknown = 2012, 503, "stream_origin_unknown", "It is not known which software version began the stream, so that the stream cannot go on; a new one can begin.";
    GatewayFull = 2013, 503, "gateway_full", "This process holds as many bytes of requests and responses as it may.";
    UpstreamFailed = 3001, 502, "upstream_failed", "The upstream failed while processing the request.";
    UpstreamLost = 3002, 504, "upstream_lost", "Communication with the upstream was lost after the request was dispatched.";
    AlreadyRunning = 3003, 409, "already_running", "The same request is already being processed.";
    AlreadyRan = 3004, 409, "already_ran", "The same request has already run, and its response is no longer available.";
    Withdrawn = 3005, 409, "withdrawn", "The request was withdrawn, or its dispatch is out of date.";
    StaleFencingToken = 3006, 409, "stale_fencing_token", "The order carries an older fencing token than one already seen.";
    AnswerBroken = 3007, 502, "answer_broken", "The response arrived with a gap that could not be filled.";
    StoreUnavailable = 4001, 503, "store_unavailable", "The platform's key-value service is unavailable.";
    VersionConflict = 4002, 409, "version_conflict", "The configuration has changed since the stated version.";
    PatchRejected = 4003, 422, "patch_rejected", "The patch does not apply, or the resulting configuration fails validation.";
    WriteUnknown = 4004, 504, "write_unknown", "It is unknown whether the write to the store took effect.";
    Internal = 5001, 500, "internal", "An internal error occurred.";
}

impl ResultCode {
    /// Finds the code with this number, as received from another process.
    pub fn from_number(number: u32) -> Option<ResultCode> {
        ResultCode::ALL.iter().copied().find(|code| code.number() == number)
    }
}
