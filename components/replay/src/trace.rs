//! Trace files: JSON lines, one record per line, tagged by `kind`.
//!
//! `upstream` lines come first, then `request` lines in the order of arrival and `fault` lines
//! anywhere. Times are microseconds since the start of the trace.

use std::io::{BufRead, Write};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// A record (line) of a trace file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceRecord {
    /// An upstream of the fleet.
    Upstream(UpstreamSpec),
    /// A request of a caller.
    Request(RequestSpec),
    /// A fault.
    Fault(Fault),
}

/// Description of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Availability zone of the upstream.
    pub zone: u8,
    /// `true` for a plain service, `false` for a model engine.
    pub service: bool,
    /// Prompt tokens computed per second, for all requests together.
    pub prefill_tokens_per_s: u32,
    /// Fixed time of a decode step, in microseconds.
    pub step_base_us: u32,
    /// Time that each decoding request adds to a step, in microseconds.
    pub step_per_request_us: u32,
    /// Maximum number of requests in flight, as set by the operator.
    pub slots: u32,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: u32,
}

/// Description of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// Time of arrival.
    pub at_us: u64,
    /// Index of the customer that sends the request.
    pub customer: u8,
    /// Tier of the request; 0 is the highest.
    pub tier: u8,
    /// `true` for a call of a plain service, `false` for a model request.
    pub service: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens at the start of the prompt that all requests of the session share; 0
    /// without a session.
    pub prefix_tokens: u32,
    /// Number of the session, or of the shared log, whose prefix the prompt starts with; 0 for
    /// none.
    pub session: u32,
    /// Largest number of tokens that may be generated.
    pub max_tokens: u32,
    /// Number of tokens that the engine generates.
    pub tokens: u32,
    /// Time from arrival after which the response is of no use.
    pub deadline_ms: u64,
}

/// A fault at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Time of the fault.
    pub at_us: u64,
    /// Kind of the fault.
    pub what: FaultKind,
}

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An upstream becomes slower.
    Straggler {
        /// Index of the upstream among the upstream lines, from 0.
        upstream: usize,
        /// Factor by which each step takes longer.
        factor: u32,
    },
    /// All upstreams of an availability zone are lost.
    ZoneLost {
        /// The availability zone.
        zone: u8,
    },
}

/// A trace: the fleet, its load and its faults.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// Upstreams of the fleet.
    pub upstreams: Vec<UpstreamSpec>,
    /// Requests in the order of arrival.
    pub requests: Vec<RequestSpec>,
    /// Faults, in any order.
    pub faults: Vec<Fault>,
}

impl Trace {
    /// Reads a trace file.
    pub fn read(reader: impl BufRead) -> Result<Trace> {
        let mut trace = Trace::default();
        for (index, line) in reader.lines().enumerate() {
            let line = line?;
            let parsed = serde_json::from_str(&line);
            match parsed.with_context(|| format!("line {}", index + 1))? {
                TraceRecord::Upstream(upstream) => trace.upstreams.push(upstream),
                TraceRecord::Request(request) => trace.requests.push(request),
                TraceRecord::Fault(fault) => trace.faults.push(fault),
            }
        }
        Ok(trace)
    }

    /// Writes the trace as a file.
    pub fn write(&self, mut writer: impl Write) -> Result<()> {
        let upstreams = self.upstreams.iter().cloned().map(TraceRecord::Upstream);
        let faults = self.faults.iter().copied().map(TraceRecord::Fault);
        let requests = self.requests.iter().cloned().map(TraceRecord::Request);
        for line in upstreams.chain(faults).chain(requests) {
            serde_json::to_writer(&mut writer, &line)?;
            writer.write_all(b"\n")?;
        }
        Ok(())
    }
}
