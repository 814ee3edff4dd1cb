//! What happened in a run, one line each, with the time since its start.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

#[derive(Debug, Clone)]
pub(super) struct Trace {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    live: bool,
    hushed: AtomicBool,
    lines: Mutex<Vec<String>>,
}

impl Trace {
    pub(super) fn start(live: bool) -> Trace {
        let lines = Mutex::default();
        Trace {
            shared: Arc::new(Shared {
                started_at: Instant::now(),
                live,
                hushed: AtomicBool::new(false),
                lines,
            }),
        }
    }

    /// Says nothing from now on, or speaks again; a condition that is polled would fill the page.
    pub(super) fn hush(&self, hushed: bool) {
        self.shared.hushed.store(hushed, Ordering::Relaxed);
    }

    pub(super) fn say(&self, text: &str) {
        if self.shared.hushed.load(Ordering::Relaxed) {
            return;
        }
        let line = format!("{:>7} ms  {text}", self.shared.started_at.elapsed().as_millis());
        if self.shared.live {
            println!("{line}");
        }
        self.shared.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    pub(super) fn lines(&self) -> Vec<String> {
        self.shared.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
