//! Clock interface. Time-dependent decisions read the time through it, so that tests can control
//! the time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Source of the current time for every time-dependent decision.
pub trait Clock: Send + Sync {
    /// Monotonic time, for durations and deadlines.
    fn now(&self) -> Instant;
    /// Wall-clock time, for records that people read.
    fn wall_time(&self) -> SystemTime;
    /// Time since the host booted, including time in suspend; for the age of information, which
    /// grows in suspend too.
    fn uptime(&self) -> Duration;
}

/// Converts a wall-clock time to milliseconds since 1970; 0 for earlier times.
pub fn unix_ms(wall_time: SystemTime) -> u64 {
    wall_time.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }

    fn uptime(&self) -> Duration {
        let since_boot = clock_gettime(ClockId::Boottime);
        Duration::try_from(since_boot).unwrap_or_default()
    }
}

/// Clock that advances only by calls of [`ManualClock::advance`]. Clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    origin: Instant,
    elapsed_us: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock with no time elapsed.
    pub fn new() -> ManualClock {
        ManualClock { origin: Instant::now(), elapsed_us: Arc::new(AtomicU64::new(0)) }
    }

    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        self.elapsed_us.fetch_add(by.as_micros() as u64, Ordering::SeqCst);
    }

    /// Returns the time by which the clock has been advanced.
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

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }

    fn uptime(&self) -> Duration {
        self.elapsed()
    }
}
