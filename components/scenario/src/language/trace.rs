//! Trace of a run: one line for each event, with the time since the start of the run.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Debug, Clone)]
pub(super) struct Trace {
    state: Arc<TraceState>,
}

#[derive(Debug)]
struct TraceState {
    started_at: Instant,
    print_lines: bool,
    muted: AtomicBool,
    lines: Mutex<Vec<String>>,
}

impl Trace {
    pub(super) fn start(print_lines: bool) -> Trace {
        let lines = Mutex::default();
        Trace {
            state: Arc::new(TraceState {
                started_at: Instant::now(),
                print_lines,
                muted: AtomicBool::new(false),
                lines,
            }),
        }
    }

    /// Mutes the trace or ends the muting. It is muted while a condition is polled, which would
    /// otherwise add a line for each call in the condition.
    pub(super) fn set_muted(&self, muted: bool) {
        self.state.muted.store(muted, Ordering::Relaxed);
    }

    pub(super) fn record(&self, text: &str) {
        if self.state.muted.load(Ordering::Relaxed) {
            return;
        }
        let line = format!("{:>7} ms  {text}", self.state.started_at.elapsed().as_millis());
        if self.state.print_lines {
            println!("{line}");
        }
        self.state.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    pub(super) fn lines(&self) -> Vec<String> {
        self.state.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
