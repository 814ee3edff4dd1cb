//! The clock as an interface, so that decisions can be driven by a test's own time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Source of time for every decision.
pub trait Clock: Send + Sync {
    /// Monotonic time; for durations and deadlines.
    fn now(&self) -> Instant;
    /// Time of day; for records that people read.
    fn wall(&self) -> SystemTime;
    /// Time since the machine started, time that it was suspended included; for how old a fact is.
    fn uptime(&self) -> Duration;
}

/// Milliseconds since 1970; 0 before.
pub fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The operating system's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn uptime(&self) -> Duration {
        let since_boot = clock_gettime(ClockId::Boottime);
        Duration::try_from(since_boot).unwrap_or_default()
    }
}

/// A clock that moves only when told to.
#[derive(Debug, Clone)]
pub struct ManualClock {
    origin: Instant,
    elapsed_us: Arc<AtomicU64>,
}

impl ManualClock {
    /// A clock that stands at its origin.
    pub fn new() -> ManualClock {
        ManualClock { origin: Instant::now(), elapsed_us: Arc::new(AtomicU64::new(0)) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.elapsed_us.fetch_add(by.as_micros() as u64, Ordering::SeqCst);
    }

    /// Time since the origin.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::SeqCst))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        ManualClock::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn uptime(&self) -> Duration {
        self.elapsed()
    }
}
