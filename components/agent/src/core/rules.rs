//! Scheduling rules of the agent that can be switched off, to measure the benefit of each.

/// Scheduling rules of the agent, each of them on or off. All are on except in measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentRules {
    /// A running request of a lower tier is cancelled in favour of one of the highest tier.
    pub preempt: bool,
    /// A long prompt waits while another one of the same or a higher tier is in prefill.
    pub single_prefill: bool,
    /// The limit of requests in flight is adapted to the observed time between tokens.
    pub adapt_limit: bool,
    /// Requests that can no longer finish before their deadline are refused at once.
    pub drop_hopeless: bool,
}

impl Default for AgentRules {
    fn default() -> Self {
        AgentRules { preempt: true, single_prefill: true, adapt_limit: true, drop_hopeless: true }
    }
}

impl AgentRules {
    /// All rules off: a queue by tier and deadline in front of a fixed number of slots.
    pub const OFF: AgentRules = AgentRules {
        preempt: false,
        single_prefill: false,
        adapt_limit: false,
        drop_hopeless: false,
    };
}
