//! Outcomes of simulated requests, and whether their prefill was useful or wasted.

use errors::{Outcome, Refusal, ResultCode};

use super::upstream::FIRST_EPOCH;
use super::{Simulation, request_key};
use crate::engine::PrefillTokens;
use crate::figures::RequestOutcome;

impl Simulation<'_> {
    /// Records the prefill of a request. All of it is wasted if the response was not delivered.
    /// Otherwise, the part of the session prefix that some upstream had computed before, but that
    /// was not in the cache of this one, is wasted.
    pub(super) fn record_prefill(&mut self, upstream: usize, request: usize, is_delivered: bool) {
        let spec = &self.trace.requests[request];
        let PrefillTokens { cached, computed } =
            self.upstreams[upstream].engine.prefill_of(request);
        self.recorder.computed_prefill_tokens += u64::from(computed);
        if !is_delivered {
            self.recorder.wasted_prefill_tokens += u64::from(computed);
            return;
        }
        let computed_before = self.computed_prefixes.entry(spec.session).or_default();
        if spec.session != 0 {
            self.recorder.wasted_prefill_tokens +=
                u64::from((*computed_before).min(spec.prefix_tokens).saturating_sub(cached));
            *computed_before = (*computed_before).max(spec.prefix_tokens);
        }
    }

    /// Handles a refusal by an agent. A request that did not run is placed on another upstream if
    /// the agent was overloaded or draining; otherwise the request is finished.
    pub(super) fn handle_refusal(&mut self, request: usize, upstream: usize, refusal: &Refusal) {
        if self.requests[request].is_finished {
            return;
        }
        let may_retry = matches!(refusal.code, ResultCode::Overloaded | ResultCode::Draining);
        if may_retry && refusal.outcome == Outcome::NotRun {
            return self.retry_elsewhere(request, upstream);
        }
        if self.trace.requests[request].tier == 0 && self.runs_lower_tier(upstream) {
            self.recorder.top_tier_shed_while_lower_ran += 1;
        }
        let outcome = match refusal.code {
            ResultCode::Preempted => RequestOutcome::Preempted,
            _ => RequestOutcome::Shed,
        };
        self.finish_request(request, outcome);
    }

    fn runs_lower_tier(&self, upstream: usize) -> bool {
        let requests = self.upstreams[upstream].engine.requests();
        requests.iter().any(|request| self.trace.requests[*request].tier > 0)
    }

    /// Cancels a request that has not finished by its deadline.
    pub(super) fn handle_deadline(&mut self, request: usize) {
        let state = &self.requests[request];
        if state.is_finished {
            return;
        }
        let (tier, customer) =
            (self.trace.requests[request].tier, self.trace.requests[request].customer);
        let Some(upstream) = state.upstream else {
            return self.finish_request(request, RequestOutcome::Shed);
        };
        let is_running = self.upstreams[upstream].core.is_running(&request_key(customer, request));
        if tier == 0 && !is_running && self.runs_lower_tier(upstream) {
            self.recorder.top_tier_shed_while_lower_ran += 1;
        }
        self.finish_request(
            request,
            if is_running { RequestOutcome::Late } else { RequestOutcome::Shed },
        );
        let now = self.now();
        let key = request_key(customer, request);
        let (_, actions) = self.upstreams[upstream].core.cancel(&key, FIRST_EPOCH, now);
        self.perform_actions(upstream, actions, Some(request));
    }

    pub(super) fn finish_request(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.is_finished = true;
        if let Some(upstream) = state.upstream {
            self.entries[state.entry].release_request(upstream);
        }
        let spec = &self.trace.requests[request];
        self.recorder.record_outcome(spec.tier, spec.customer, outcome);
    }
}
