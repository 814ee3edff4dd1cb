//! Rules of the agent that can be switched off, to measure what each is worth.

/// Which rules of the agent are on; all are, but where the cost of one is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentRules {
    /// What runs of lower tiers gives way to the highest.
    pub preempt: bool,
    /// A long prompt waits while one of its own or a higher tier is in prefill.
    pub single_prefill: bool,
    /// The limit in flight follows the time between tokens.
    pub adapt_limit: bool,
    /// Work that can no longer finish in time is answered at once.
    pub drop_hopeless: bool,
}

impl Default for AgentRules {
    fn default() -> Self {
        AgentRules { preempt: true, single_prefill: true, adapt_limit: true, drop_hopeless: true }
    }
}

impl AgentRules {
    /// Every rule off: a plain queue before a fixed number of slots.
    pub const OFF: AgentRules = AgentRules {
        preempt: false,
        single_prefill: false,
        adapt_limit: false,
        drop_hopeless: false,
    };
}
