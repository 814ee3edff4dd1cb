//! Counters and latency histograms.

use std::time::Duration;

use anyhow::Result;
use ntex::http::{Response, StatusCode};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use tokio::net::TcpListener;

use super::attempt::SharedRef;
use super::readiness::serve_small;

/// Upper bounds of the latency buckets, in seconds: around the users' objectives of 0.3 to 1 s and
/// their time limits of 3 to 15 s.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 3.0, 12.0, 15.0];

/// What the metrics address shows.
pub(super) struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    seconds: HistogramVec,
    version: IntGauge,
    open_requests: IntGauge,
    waiting: IntGauge,
    gateways: IntGauge,
    slot_replies: IntCounterVec,
    pub(super) upstream_connections: IntCounter,
}

impl Metrics {
    pub(super) fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let answers = IntCounterVec::new(
            Opts::new("dragonflyfront_gateway_answers_total", "Answers by tier and result"),
            &["tier", "result"],
        )?;
        let seconds = HistogramVec::new(
            HistogramOpts::new(
                "dragonflyfront_gateway_first_event_seconds",
                "Time to the whole answer, or to the first event of a stream",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["tier"],
        )?;
        let version = gauge("configuration_version", "Version of the configuration in force")?;
        let open_requests = gauge("open_requests", "Requests without a whole answer")?;
        let waiting = gauge("waiting_requests", "Requests that ask for a place or wait for one")?;
        let gateways = gauge("entries", "Entries that this one knows, itself included")?;
        let slot_replies = IntCounterVec::new(
            Opts::new(
                "dragonflyfront_gateway_verdicts_total",
                "What brokers said to this entry's questions for places",
            ),
            &["verdict"],
        )?;
        let upstream_connections = IntCounter::new(
            "dragonflyfront_gateway_upstream_connections_total",
            "Connections opened to upstreams",
        )?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(seconds.clone()))?;
        for gauge in [&version, &open_requests, &waiting, &gateways] {
            registry.register(Box::new(gauge.clone()))?;
        }
        registry.register(Box::new(slot_replies.clone()))?;
        registry.register(Box::new(upstream_connections.clone()))?;
        Ok(Metrics {
            registry,
            answers,
            seconds,
            version,
            open_requests,
            waiting,
            gateways,
            slot_replies,
            upstream_connections,
        })
    }

    /// Counts an answer.
    pub(super) fn count(&self, tier: Option<u8>, result: &str, elapsed: Duration) {
        let tier = tier.map_or_else(|| "none".to_owned(), |tier| tier.to_string());
        self.answers.with_label_values(&[tier.as_str(), result]).inc();
        self.seconds.with_label_values(&[tier.as_str()]).observe(elapsed.as_secs_f64());
    }

    /// Counts what a broker said, or that it said nothing.
    pub(super) fn count_slot_reply(&self, reply: &str) {
        self.slot_replies.with_label_values(&[reply]).inc();
    }

    pub(super) fn show_version(&self, version: u64) {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    fn render(&self) -> String {
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

/// Serves the metrics.
pub(super) async fn serve(shared: SharedRef, listener: TcpListener) {
    serve_small(listener, move |_| {
        let (open, _) = shared.open_work();
        shared.metrics.open_requests.set(i64::try_from(open).unwrap_or(i64::MAX));
        let waiting = shared.pending_slot_requests.borrow().len();
        shared.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        let gateways = shared.peers.borrow().gateway_count();
        shared.metrics.gateways.set(i64::try_from(gateways).unwrap_or(i64::MAX));
        Response::build(StatusCode::OK)
            .content_type("text/plain; version=0.0.4")
            .body(shared.metrics.render())
    })
    .await;
}
