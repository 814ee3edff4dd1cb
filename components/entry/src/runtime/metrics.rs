//! Metrics of an entry process.

use anyhow::Result;
use identity::{ConfigVersion, Tier};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Counters that `/metrics` shows.
pub(crate) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    seconds: HistogramVec,
    configuration_version: IntGauge,
    audit_records_waiting: IntGauge,
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
        let configuration_version = IntGauge::new(
            "dragonflyfront_configuration_version",
            "Version of the configuration in force",
        )?;
        let audit_records_waiting = IntGauge::new(
            "dragonflyfront_audit_records_waiting",
            "Audit records that the store has not taken yet",
        )?;
        registry.register(Box::new(configuration_version.clone()))?;
        registry.register(Box::new(audit_records_waiting.clone()))?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        Ok(Metrics { registry, answers, seconds, configuration_version, audit_records_waiting })
    }

    /// Counts one answer; `result` is `whole` or the name of a result code.
    pub(crate) fn count(&self, tier: Option<Tier>, result: &str, seconds: f64) {
        let tier = tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string());
        self.answers.with_label_values(&[tier.as_str(), result]).inc();
        self.seconds.with_label_values(&[tier.as_str()]).observe(seconds);
    }

    /// Sets what is shown of the configuration.
    pub(crate) fn show_configuration(&self, version: ConfigVersion, records_waiting: usize) {
        self.configuration_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.audit_records_waiting.set(i64::try_from(records_waiting).unwrap_or(i64::MAX));
    }

    /// The text form.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
