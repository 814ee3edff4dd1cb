//! What fails during the replay.

use super::{DETECTION_US, Event, Simulation};
use crate::figures::RequestOutcome;
use crate::trace::FaultKind;

impl Simulation<'_> {
    pub(super) fn fault(&mut self, what: FaultKind) {
        match what {
            FaultKind::Straggler { upstream, factor } => {
                self.upstreams[upstream].engine.slow_down(factor);
            }
            FaultKind::ZoneLost { zone } => {
                for upstream in 0..self.upstreams.len() {
                    if self.trace.upstreams[upstream].zone == zone {
                        self.lose(upstream);
                    }
                }
            }
        }
    }

    fn lose(&mut self, upstream: usize) {
        self.upstreams[upstream].lost = true;
        self.push(self.now_us + DETECTION_US, Event::Unreachable(upstream));
        for request in self.upstreams[upstream].engine.requests() {
            self.account_prefill(upstream, request, false);
        }
        for request in 0..self.runs.len() {
            if self.runs[request].upstream == Some(upstream) && !self.runs[request].ended {
                self.end(request, RequestOutcome::Late);
            }
        }
    }
}
