//! Traces as files: JSON lines, one record a line, tagged by `kind`.
//!
//! `upstream` lines come first, then `request` lines in the order of arrival and `fault` lines
//! anywhere. Times are microseconds since the start of the trace.

use std::io::{BufRead, Write};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

/// A line of a trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Line {
    /// An upstream of the fleet.
    Upstream(UpstreamSpec),
    /// A request that a caller makes.
    Request(RequestSpec),
    /// Something that fails.
    Fault(Fault),
}

/// An upstream as the trace describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Its availability zone.
    pub zone: u8,
    /// A plain service rather than a model engine.
    pub service: bool,
    /// Prompt tokens a second, for all requests together.
    pub prefill_tokens_per_s: u32,
    /// Time of one step of generation without any request, in microseconds.
    pub step_base_us: u32,
    /// Time that each request adds to a step, in microseconds.
    pub step_per_request_us: u32,
    /// Most requests that its operator allows in flight.
    pub slots: u32,
    /// Prompt tokens that its prefix cache holds.
    pub cache_tokens: u32,
}

/// A request as the trace describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// When it arrives.
    pub at_us: u64,
    /// Which customer asks.
    pub customer: u8,
    /// Its tier.
    pub tier: u8,
    /// A call of a plain service.
    pub service: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens at the start of the prompt that the session shares; 0 without a session.
    pub prefix_tokens: u32,
    /// The session or log whose start the prompt shares.
    pub session: u32,
    /// Most tokens that may be generated.
    pub max_tokens: u32,
    /// Tokens that the engine does generate.
    pub tokens: u32,
    /// Time from arrival until the answer is worthless.
    pub deadline_ms: u64,
}

/// Something that fails at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When.
    pub at_us: u64,
    /// What.
    pub what: FaultKind,
}

/// What fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// An upstream becomes slower by a factor.
    Straggler {
        /// Its place among the upstream lines, from 0.
        upstream: usize,
        /// How many times slower.
        factor: u32,
    },
    /// Every upstream of an availability zone is gone.
    ZoneLost {
        /// The availability zone.
        zone: u8,
    },
}

/// A whole trace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trace {
    /// The fleet.
    pub upstreams: Vec<UpstreamSpec>,
    /// Requests in the order of arrival.
    pub requests: Vec<RequestSpec>,
    /// Faults.
    pub faults: Vec<Fault>,
}

impl Trace {
    /// Reads a trace.
    pub fn read(from: impl BufRead) -> Result<Trace> {
        let mut trace = Trace::default();
        for (index, line) in from.lines().enumerate() {
            let line = line?;
            let parsed = serde_json::from_str(&line);
            match parsed.with_context(|| format!("line {}", index + 1))? {
                Line::Upstream(upstream) => trace.upstreams.push(upstream),
                Line::Request(request) => trace.requests.push(request),
                Line::Fault(fault) => trace.faults.push(fault),
            }
        }
        Ok(trace)
    }

    /// Writes the trace.
    pub fn write(&self, mut to: impl Write) -> Result<()> {
        let upstreams = self.upstreams.iter().cloned().map(Line::Upstream);
        let faults = self.faults.iter().copied().map(Line::Fault);
        let requests = self.requests.iter().cloned().map(Line::Request);
        for line in upstreams.chain(faults).chain(requests) {
            serde_json::to_writer(&mut to, &line)?;
            to.write_all(b"\n")?;
        }
        Ok(())
    }
}
