//! How requests of the replay end, and what becomes of their prompt work.

use errors::{Outcome, Refusal, ResultCode};

use super::upstream::FIRST_EPOCH;
use super::{Simulation, key_of};
use crate::engine::Prefill;
use crate::figures::RequestOutcome;

impl Simulation<'_> {
    pub(super) fn account_prefill(&mut self, upstream: usize, request: usize, kept: bool) {
        let spec = &self.trace.requests[request];
        let Prefill { cached, computed } = self.upstreams[upstream].engine.prefill_of(request);
        self.recorder.computed += u64::from(computed);
        if !kept {
            self.recorder.wasted += u64::from(computed);
            return;
        }
        let known = self.computed_prefixes.entry(spec.session).or_default();
        if spec.session != 0 {
            self.recorder.wasted +=
                u64::from((*known).min(spec.prefix_tokens).saturating_sub(cached));
            *known = (*known).max(spec.prefix_tokens);
        }
    }

    pub(super) fn refused(&mut self, request: usize, upstream: usize, refusal: &Refusal) {
        if self.runs[request].ended {
            return;
        }
        let elsewhere = matches!(refusal.code, ResultCode::Overloaded | ResultCode::Draining);
        if elsewhere && refusal.outcome == Outcome::NotRun {
            return self.place_again(request, upstream);
        }
        if self.trace.requests[request].tier == 0 && self.lower_runs(upstream) {
            self.recorder.top_tier_shed_while_lower_ran += 1;
        }
        let outcome = match refusal.code {
            ResultCode::Preempted => RequestOutcome::Preempted,
            _ => RequestOutcome::Shed,
        };
        self.end(request, outcome);
    }

    fn lower_runs(&self, upstream: usize) -> bool {
        let requests = self.upstreams[upstream].engine.requests();
        requests.iter().any(|request| self.trace.requests[*request].tier > 0)
    }

    /// The deadline: a request that is not done is worthless.
    pub(super) fn cut(&mut self, request: usize) {
        let run = &self.runs[request];
        if run.ended {
            return;
        }
        let (tier, customer) =
            (self.trace.requests[request].tier, self.trace.requests[request].customer);
        let Some(upstream) = run.upstream else { return self.end(request, RequestOutcome::Shed) };
        let ran = self.upstreams[upstream].core.is_running(&key_of(customer, request));
        if tier == 0 && !ran && self.lower_runs(upstream) {
            self.recorder.top_tier_shed_while_lower_ran += 1;
        }
        self.end(request, if ran { RequestOutcome::Late } else { RequestOutcome::Shed });
        let now = self.now();
        let key = key_of(customer, request);
        let (_, actions) = self.upstreams[upstream].core.cancel(&key, FIRST_EPOCH, now);
        self.perform(upstream, actions, Some(request));
    }

    pub(super) fn end(&mut self, request: usize, outcome: RequestOutcome) {
        let run = &mut self.runs[request];
        run.ended = true;
        if let Some(upstream) = run.upstream {
            self.entries[run.entry].left(upstream);
        }
        let spec = &self.trace.requests[request];
        self.recorder.record_outcome(spec.tier, spec.customer, outcome);
    }
}
