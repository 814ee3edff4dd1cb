//! What a caller got, taken apart.

use serde_json::Value;

/// The last event of a streamed answer.
const STREAM_END: &str = "[DONE]";

/// The response to one request, as its caller received it.
#[derive(Debug, Clone, Default)]
pub struct CallerResponse {
    /// The HTTP status; 0 where none came.
    pub status: u16,
    /// The request id that came back.
    pub request_id: String,
    /// The body as far as it came.
    pub body: String,
    /// Why it broke off, where it did.
    pub broken: Option<String>,
    /// The body ended by itself.
    pub ended: bool,
    /// The text that the engine generates for this request.
    pub expected: String,
}

impl CallerResponse {
    /// The text of a streamed or whole model answer, as far as it came.
    pub fn text(&self) -> String {
        if self.body.starts_with('{') {
            let body = self.json();
            let content = &body["choices"][0]["message"]["content"];
            return content.as_str().unwrap_or_default().to_owned();
        }
        self.events().filter_map(|event| delta(&event)).collect()
    }

    /// Tokens of a model answer, as far as they came.
    pub fn tokens(&self) -> usize {
        self.text().split_whitespace().count()
    }

    /// Whether a streamed answer came to its stated end.
    pub fn is_done(&self) -> bool {
        self.status == 200
            && self.broken.is_none()
            && self.events().last().is_some_and(|event| event == STREAM_END)
    }

    /// Whether a model answer came whole and is the answer to this very request.
    pub fn is_whole(&self) -> bool {
        let ended = self.is_done() || (self.status == 200 && self.body.starts_with('{'));
        ended && self.broken.is_none() && self.text() == self.expected
    }

    /// Whether any part of a model answer is not the start of the answer to this request.
    pub fn is_crossed(&self) -> bool {
        !self.expected.starts_with(&self.text())
    }

    /// The body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The result code of a refusal or of an error event in the stream; 0 where there is none.
    pub fn code(&self) -> u64 {
        self.refusal()["code"].as_u64().unwrap_or_default()
    }

    /// The `outcome` of a refusal or error event; empty where there is none.
    pub fn outcome(&self) -> String {
        self.refusal()["outcome"].as_str().unwrap_or_default().to_owned()
    }

    fn refusal(&self) -> Value {
        let body = self.json();
        if body.get("code").is_some() {
            return body;
        }
        let parsed = self.events().filter_map(|event| serde_json::from_str::<Value>(&event).ok());
        let found = parsed.filter_map(|value| match value.get("error") {
            Some(error) => Some(error.clone()),
            None => value.get("code").is_some().then(|| value.clone()),
        });
        found.last().unwrap_or_default()
    }

    fn events(&self) -> impl Iterator<Item = String> {
        self.body.split("\n\n").filter_map(|event| {
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            Some(data.to_owned())
        })
    }
}

fn delta(event: &str) -> Option<String> {
    let value: Value = serde_json::from_str(event).ok()?;
    value["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
}
