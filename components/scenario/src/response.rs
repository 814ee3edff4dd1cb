//! The response that a caller received, with accessors for the parts that scenarios check.

use serde_json::Value;

/// Data of the last event of a complete streamed response.
const STREAM_END: &str = "[DONE]";

/// The response to one request, as its caller received it.
#[derive(Debug, Clone, Default)]
pub struct CallerResponse {
    /// The HTTP status; 0 until the head of the response has arrived.
    pub status: u16,
    /// The request id in the response headers.
    pub request_id: String,
    /// The part of the body that has arrived.
    pub body: String,
    /// The error of the request or of its response, or a note that the wait for it timed out.
    pub error: Option<String>,
    /// Whether the body has ended without an error.
    pub ended: bool,
    /// The text that the engine generates for this request.
    pub expected_text: String,
}

impl CallerResponse {
    /// The part of a model's text that has arrived, streamed or in one piece.
    pub fn text(&self) -> String {
        if self.body.starts_with('{') {
            let body = self.json();
            let content = &body["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        self.event_data().filter_map(|data| parse_delta(&data)).collect()
    }

    /// Number of tokens of a model's text that have arrived.
    pub fn tokens(&self) -> usize {
        self.text().split_whitespace().count()
    }

    /// Whether a streamed response with status 200 arrived up to its end event.
    pub fn has_stream_end(&self) -> bool {
        self.status == 200
            && self.error.is_none()
            && self.event_data().last().is_some_and(|data| data == STREAM_END)
    }

    /// Whether a model response is complete and holds exactly the text expected for this request.
    pub fn is_complete(&self) -> bool {
        let ended = self.has_stream_end() || (self.status == 200 && self.body.starts_with('{'));
        ended && self.error.is_none() && self.text() == self.expected_text
    }

    /// Whether the text differs from the start of the text expected for this request, as it does
    /// if the caller received a part of another request's response.
    pub fn has_foreign_text(&self) -> bool {
        !self.expected_text.starts_with(&self.text())
    }

    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The result code of an error response or of an error event in the stream; 0 if there is none.
    pub fn code(&self) -> u64 {
        self.error_object()["code"].as_u64().unwrap_or_default()
    }

    /// The `outcome` of an error response or error event; empty if there is none.
    pub fn outcome(&self) -> String {
        self.error_object()["outcome"].as_str().unwrap_or_default().to_owned()
    }

    fn error_object(&self) -> Value {
        let body = self.json();
        if body.get("code").is_some() {
            return body;
        }
        let values = self.event_data().filter_map(|data| serde_json::from_str::<Value>(&data).ok());
        let errors = values.filter_map(|value| match value.get("error") {
            Some(error) => Some(error.clone()),
            None => value.get("code").is_some().then(|| value.clone()),
        });
        errors.last().unwrap_or_default()
    }

    /// The `data` line of each event of a streamed response.
    fn event_data(&self) -> impl Iterator<Item = String> {
        self.body.split("\n\n").filter_map(|event| {
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            Some(data.to_owned())
        })
    }
}

/// The text that a chunk of a streamed model response adds.
fn parse_delta(data: &str) -> Option<String> {
    let value: Value = serde_json::from_str(data).ok()?;
    value["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
}
