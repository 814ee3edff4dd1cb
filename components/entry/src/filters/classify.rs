//! Filter that parses a request into a model call or a call of a plain service, with its tier and
//! its time limit.

use std::time::Duration;

use configuration::{Customer, Document};
use errors::{Refusal, ResultCode};
use identity::{ModelId, ServiceId};
use schedule::cost::estimate_tokens;
use serde::Deserialize;
use web::Request;
use wire::{ModelCall, ServiceCall, Work};

use super::identify::is_valid_id;
use super::{Filter, FilterContext, FilterDecision, ParsedRequest};

const COMPLETIONS_PATH: &str = "/v1/chat/completions";
const SERVICES_PATH: &str = "/services/";

/// Header with the time in milliseconds that the caller is ready to wait.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Filter that parses the request into a [`ParsedRequest`].
#[derive(Debug)]
pub struct Classify;

/// Fields of a chat-completions body that the scheduler needs.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl Filter for Classify {
    fn name(&self) -> &'static str {
        "classify"
    }

    fn apply(&self, context: &mut FilterContext<'_>) -> FilterDecision {
        let document = &context.view.configuration.document;
        let customer = context.customer.as_ref().and_then(|name| document.customers.get(name));
        let Some(customer) = customer else {
            return FilterDecision::Reject(Refusal::not_run(ResultCode::UnknownKey));
        };
        match parse_request(context.request, document, customer) {
            Ok(parsed_request) => {
                context.parsed_request = Some(parsed_request);
                FilterDecision::Continue
            }
            Err(refusal) => FilterDecision::Reject(refusal),
        }
    }
}

fn parse_request(
    request: &Request,
    document: &Document,
    customer: &Customer,
) -> Result<ParsedRequest, Refusal> {
    if request.body_truncated || request.body.len() > document.requests.body_limit_bytes as usize {
        let message =
            format!("body: larger than the allowed {} bytes", document.requests.body_limit_bytes);
        return Err(Refusal::not_run(ResultCode::BodyTooLarge).with_message(message));
    }
    let time_limit = parse_time_limit(request, document)?;
    if request.path == COMPLETIONS_PATH && request.method == "POST" {
        return parse_model_call(request, document, customer, time_limit);
    }
    match request.path.strip_prefix(SERVICES_PATH) {
        Some(rest) => parse_service_call(request, document, customer, time_limit, rest),
        None => Err(Refusal::not_run(ResultCode::NotFound)),
    }
}

fn parse_time_limit(request: &Request, document: &Document) -> Result<Duration, Refusal> {
    let limits = &document.requests;
    let Some(value) = request.headers.get(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(limits.default_deadline_ms));
    };
    match value.parse::<u64>() {
        Ok(ms) if (1..=limits.max_deadline_ms).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => Err(field_out_of_range(format!(
            "X-Deadline-Ms: given {value:?}, allowed 1 to {}",
            limits.max_deadline_ms
        ))),
    }
}

fn parse_model_call(
    request: &Request,
    document: &Document,
    customer: &Customer,
    time_limit: Duration,
) -> Result<ParsedRequest, Refusal> {
    let body: CompletionBody = serde_json::from_slice(&request.body).map_err(|error| {
        let code =
            if error.is_data() { ResultCode::FieldOutOfRange } else { ResultCode::MalformedJson };
        Refusal::not_run(code).with_message(error.to_string())
    })?;
    let model = ModelId::new(body.model);
    let (Some(limits), Some(granted)) = (document.models.get(&model), customer.models.get(&model))
    else {
        return Err(Refusal::not_run(ResultCode::UnknownModel));
    };
    let max_tokens = body.max_tokens.unwrap_or(limits.max_tokens);
    if !(1..=limits.max_tokens).contains(&max_tokens) {
        return Err(field_out_of_range(format!(
            "max_tokens: given {max_tokens}, allowed 1 to {}",
            limits.max_tokens
        )));
    }
    let text_bytes: usize = body.messages.iter().map(|message| message.content.len()).sum();
    let prompt_tokens = estimate_tokens(text_bytes);
    if prompt_tokens.saturating_add(max_tokens) > limits.context_tokens {
        return Err(field_out_of_range(format!(
            "messages: about {prompt_tokens} prompt tokens and {max_tokens} to generate, allowed {} in total",
            limits.context_tokens
        )));
    }
    let call = ModelCall { model, body: request.body.clone(), prompt_tokens, max_tokens };
    Ok(ParsedRequest {
        work: Work::Model(call),
        tier: granted.tier,
        non_idempotent: false,
        streamed: body.stream,
        time_limit,
    })
}

fn parse_service_call(
    request: &Request,
    document: &Document,
    customer: &Customer,
    time_limit: Duration,
    rest: &str,
) -> Result<ParsedRequest, Refusal> {
    let (name, path) = match rest.find('/') {
        Some(slash) => rest.split_at(slash),
        None => (rest, "/"),
    };
    let service = ServiceId::new(name);
    if !customer.services.contains(&service) {
        return Err(Refusal::not_run(ResultCode::UnknownService));
    }
    let rule = document
        .find_rule(&service, &request.method, path)
        .ok_or_else(|| Refusal::not_run(ResultCode::UnknownService))?;
    let idempotency_key = request.headers.get("idempotency-key").unwrap_or_default();
    if !rule.idempotent && idempotency_key.is_empty() {
        return Err(Refusal::not_run(ResultCode::IdempotencyKeyRequired));
    }
    if !idempotency_key.is_empty() && !is_valid_id(idempotency_key) {
        return Err(field_out_of_range(
            "Idempotency-Key: allowed are 1 to 128 of A-Z a-z 0-9 . _ : -".to_owned(),
        ));
    }
    let query =
        if request.query.is_empty() { String::new() } else { format!("?{}", request.query) };
    let call = ServiceCall {
        service,
        method: request.method.clone(),
        target: format!("{path}{query}"),
        content_type: request.headers.get("content-type").unwrap_or_default().to_owned(),
        idempotency_key: idempotency_key.to_owned(),
        body: request.body.clone(),
    };
    Ok(ParsedRequest {
        work: Work::Service(call),
        tier: rule.tier,
        non_idempotent: !rule.idempotent,
        streamed: false,
        time_limit,
    })
}

fn field_out_of_range(message: String) -> Refusal {
    Refusal::not_run(ResultCode::FieldOutOfRange).with_message(message)
}
