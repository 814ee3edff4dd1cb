//! Metrics of an entry process.

use anyhow::Result;
use identity::Tier;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder};

/// Counters that `/metrics` shows.
pub(crate) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    seconds: HistogramVec,
}

impl Metrics {
    pub(crate) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new("dragonflyfront_answers_total", "Answers by tier and result"),
            &["tier", "result"],
        )?;
        let seconds = HistogramVec::new(
            HistogramOpts::new("dragonflyfront_answer_seconds", "Time to the whole answer"),
            &["tier"],
        )?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Metrics { registry, answers, seconds })
    }

    /// Counts one answer; `result` is `whole` or the name of a result code.
    pub(crate) fn count(&self, tier: Option<Tier>, result: &str, seconds: f64) {
        let tier = tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string());
        self.answers.with_label_values(&[tier.as_str(), result]).inc();
        self.seconds.with_label_values(&[tier.as_str()]).observe(seconds);
    }

    /// The text form.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
