//! Counters and latency histograms.

use std::time::Duration;

use anyhow::Result;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds: around the users' objectives of 0.3 to 1 s and
/// their timeouts of 3 to 15 s.
const LATENCY_BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 3.0, 12.0, 15.0];

/// Metrics of the gateway, in Prometheus format.
pub(super) struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    first_event_seconds: HistogramVec,
    configuration_version: IntGauge,
    open_requests: IntGauge,
    waiting_requests: IntGauge,
    gateways: IntGauge,
    quarantined_parts: IntGauge,
    quarantined_requests: IntGauge,
    leaving_upstreams: IntGauge,
    limited_upstreams: IntGauge,
    held_bytes: IntGauge,
    slot_replies: IntCounterVec,
    pub(super) upstream_connections: IntCounter,
    /// Messages of peers that are meant for another process.
    pub(super) misaddressed_messages: IntCounter,
    /// Reads of the store that ended at a page that it does not serve.
    pub(super) refused_store_pages: IntCounter,
    caller_connections: IntGauge,
    displaced_connections: IntCounter,
}

impl Metrics {
    pub(super) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let responses = IntCounterVec::new(
            Opts::new("dragonflyfront_gateway_answers_total", "Responses by tier and result"),
            &["tier", "result"],
        )?;
        let first_event_seconds = HistogramVec::new(
            HistogramOpts::new(
                "dragonflyfront_gateway_first_event_seconds",
                "Time to the complete response, or to the first event of a stream",
            )
            .buckets(LATENCY_BUCKETS_S.to_vec()),
            &["tier"],
        )?;
        let configuration_version =
            gauge("configuration_version", "Version of the active configuration")?;
        let open_requests = gauge("open_requests", "Requests without a complete response")?;
        let waiting_requests =
            gauge("waiting_requests", "Requests that wait for a slot or for a broker's reply")?;
        let gateways = gauge("entries", "Known gateways, this one included")?;
        let slot_replies = IntCounterVec::new(
            Opts::new(
                "dragonflyfront_gateway_verdicts_total",
                "Results of this gateway's slot requests to brokers",
            ),
            &["verdict"],
        )?;
        let upstream_connections = IntCounter::new(
            "dragonflyfront_gateway_upstream_connections_total",
            "Connections opened to upstreams",
        )?;
        let misaddressed_messages = IntCounter::new(
            "dragonflyfront_gateway_misaddressed_messages_total",
            "Messages of other gateways that were meant for another process",
        )?;
        let refused_store_pages = IntCounter::new(
            "dragonflyfront_gateway_refused_store_pages_total",
            "Reads of everything that ended at a page that the store does not serve",
        )?;
        let displaced_connections = IntCounter::new(
            "dragonflyfront_gateway_displaced_connections_total",
            "Connections of callers that were closed for others, or at once",
        )?;
        registry.register(Box::new(responses.clone()))?;
        registry.register(Box::new(first_event_seconds.clone()))?;
        let quarantined_parts =
            gauge("quarantined_parts", "Prompt parts whose requests are refused")?;
        let quarantined_requests =
            gauge("quarantined_requests", "Requests that are refused whenever they come")?;
        let leaving_upstreams =
            gauge("leaving_upstreams", "Upstreams that have said that they leave")?;
        let limited_upstreams =
            gauge("limited_upstreams", "Upstreams that name a limit on their requests")?;
        let held_bytes = gauge("held_bytes", "Bytes held or reserved for requests and responses")?;
        let caller_connections = gauge("caller_connections", "Open connections of callers")?;
        for gauge in [
            &configuration_version,
            &caller_connections,
            &open_requests,
            &waiting_requests,
            &gateways,
            &quarantined_parts,
            &quarantined_requests,
            &leaving_upstreams,
            &limited_upstreams,
            &held_bytes,
        ] {
            registry.register(Box::new(gauge.clone()))?;
        }
        registry.register(Box::new(slot_replies.clone()))?;
        registry.register(Box::new(upstream_connections.clone()))?;
        registry.register(Box::new(misaddressed_messages.clone()))?;
        registry.register(Box::new(refused_store_pages.clone()))?;
        registry.register(Box::new(displaced_connections.clone()))?;
        Ok(Metrics {
            registry,
            responses,
            first_event_seconds,
            configuration_version,
            open_requests,
            waiting_requests,
            gateways,
            quarantined_parts,
            quarantined_requests,
            leaving_upstreams,
            limited_upstreams,
            held_bytes,
            slot_replies,
            upstream_connections,
            misaddressed_messages,
            refused_store_pages,
            caller_connections,
            displaced_connections,
        })
    }

    /// Counts a response, or a request that its caller abandoned, and records the time it took.
    pub(super) fn count_response(&self, tier: Option<u8>, result: &str, elapsed: Duration) {
        let tier = tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string());
        self.responses.with_label_values(&[tier.as_str(), result]).inc();
        self.first_event_seconds.with_label_values(&[tier.as_str()]).observe(elapsed.as_secs_f64());
    }

    /// Counts a broker's reply, or `passed_over` for a broker that was found unavailable.
    pub(super) fn count_slot_reply(&self, reply: &str) {
        self.slot_replies.with_label_values(&[reply]).inc();
    }

    /// Sets the numbers of quarantined prompt parts and requests.
    pub(super) fn set_quarantined(&self, parts: usize, requests: usize) {
        self.quarantined_parts.set(i64::try_from(parts).unwrap_or(i64::MAX));
        self.quarantined_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    pub(super) fn set_leaving_upstreams(&self, count: usize) {
        self.leaving_upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn set_limited_upstreams(&self, count: usize) {
        self.limited_upstreams.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    pub(super) fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of callers' connections, and of those that have been closed for others.
    pub(super) fn set_connections(&self, open: usize, displaced: u64) {
        self.caller_connections.set(i64::try_from(open).unwrap_or(i64::MAX));
        self.displaced_connections.inc_by(displaced - self.displaced_connections.get());
    }

    pub(super) fn set_configuration_version(&self, version: u64) {
        self.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the current numbers of open requests, slot requests without a reply, and gateways.
    pub(super) fn set_load(&self, open_requests: usize, waiting_requests: usize, gateways: usize) {
        let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.open_requests.set(to_gauge(open_requests));
        self.waiting_requests.set(to_gauge(waiting_requests));
        self.gateways.set(to_gauge(gateways));
    }

    /// Text of all metrics, in the format of Prometheus.
    pub(super) fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_else(|error| {
            log::warn!("metrics.render error={error}");
            String::new()
        })
    }
}

fn gauge(name: &str, help: &str) -> Result<IntGauge> {
    Ok(IntGauge::new(format!("dragonflyfront_gateway_{name}"), help)?)
}
