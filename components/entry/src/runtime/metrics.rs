//! Metrics of an entry process.

use anyhow::Result;
use identity::{ConfigVersion, Tier};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Metrics served at `/metrics`.
pub(crate) struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    response_seconds: HistogramVec,
    configuration_version: IntGauge,
    audit_records_waiting: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let responses = IntCounterVec::new(
            Opts::new("dragonflyfront_answers_total", "Responses by tier and result"),
            &["tier", "result"],
        )?;
        let response_seconds = HistogramVec::new(
            HistogramOpts::new("dragonflyfront_answer_seconds", "Time to the complete response"),
            &["tier"],
        )?;
        let configuration_version = IntGauge::new(
            "dragonflyfront_configuration_version",
            "Version of the active configuration",
        )?;
        let audit_records_waiting = IntGauge::new(
            "dragonflyfront_audit_records_waiting",
            "Audit records not written to the store yet",
        )?;
        registry.register(Box::new(configuration_version.clone()))?;
        registry.register(Box::new(audit_records_waiting.clone()))?;
        registry.register(Box::new(responses.clone()))?;
        registry.register(Box::new(response_seconds.clone()))?;
        Ok(Metrics {
            registry,
            responses,
            response_seconds,
            configuration_version,
            audit_records_waiting,
        })
    }

    /// Records the result of one request and the time that it took. `result` is `whole` for a
    /// complete response, `caller_gone`, `placed_again` or the name of a result code.
    pub(crate) fn record_result(&self, tier: Option<Tier>, result: &str, seconds: f64) {
        let tier = tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string());
        self.responses.with_label_values(&[tier.as_str(), result]).inc();
        self.response_seconds.with_label_values(&[tier.as_str()]).observe(seconds);
    }

    /// Sets the gauges for the active configuration and the pending audit records.
    pub(crate) fn update_gauges(&self, version: ConfigVersion, pending_audit_records: usize) {
        self.configuration_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
        self.audit_records_waiting.set(i64::try_from(pending_audit_records).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
