//! Injection of a trace's faults into the simulation.

use super::{Event, FAILURE_DETECTION_DELAY_US, Simulation};
use crate::figures::RequestOutcome;
use crate::trace::FaultKind;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Straggler { upstream, factor } => {
                self.upstreams[upstream].engine.set_slowdown(factor);
            }
            FaultKind::ZoneLost { zone } => {
                for upstream in 0..self.upstreams.len() {
                    if self.trace.upstreams[upstream].zone == zone {
                        self.lose_upstream(upstream);
                    }
                }
            }
        }
    }

    fn lose_upstream(&mut self, upstream: usize) {
        self.upstreams[upstream].is_lost = true;
        self.schedule_event(
            self.now_us + FAILURE_DETECTION_DELAY_US,
            Event::UnreachableDetected(upstream),
        );
        for request in self.upstreams[upstream].engine.requests() {
            self.record_prefill(upstream, request, false);
        }
        for request in 0..self.requests.len() {
            if self.requests[request].upstream == Some(upstream)
                && !self.requests[request].is_finished
            {
                self.finish_request(request, RequestOutcome::Late);
            }
        }
    }
}
