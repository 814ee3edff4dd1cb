//! Units granted in the operators' sliding window.
//!
//! Load pattern: demand that clumps. A customer whose mean demand is well below its allowance sends
//! several large requests in one second and few in the next ones. A token bucket that holds one
//! second of the allowance refuses the clump, although the operators count over a window of several
//! seconds. The window itself is therefore what limits a customer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Tolerance;
use crate::model::Allowance;

/// Number of slices into which the window is divided for counting.
const WINDOW_SLICES: u32 = 16;

/// Units granted in one slice of the window.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Slice {
    started_at: Instant,
    units: f64,
}

/// Granted units by slice of the window, oldest first. A slice counts until its last moment has
/// left the window, so that the units of no window are undercounted.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct WindowUsage {
    slices: VecDeque<Slice>,
}

fn slice_length(window: Duration) -> Duration {
    (window / WINDOW_SLICES).max(Duration::from_millis(1))
}

/// Units of an allowance that the operators allow in any window, without their tolerance.
pub(super) fn window_limit(allowance: Allowance, tolerance: Tolerance) -> f64 {
    allowance.per_second * tolerance.window.as_secs_f64() + allowance.burst
}

impl WindowUsage {
    /// Restores the usage from a replica: units granted by age of the slice.
    pub(super) fn from_ages(ages: &[(Duration, f64)], now: Instant) -> WindowUsage {
        let slice_at = |(age, units): &(Duration, f64)| {
            now.checked_sub(*age).map(|started_at| Slice { started_at, units: *units })
        };
        WindowUsage { slices: ages.iter().filter_map(slice_at).collect() }
    }

    /// Units granted by age of the slice.
    pub(super) fn ages(&self, now: Instant) -> Vec<(Duration, f64)> {
        let age = |slice: &Slice| now.saturating_duration_since(slice.started_at);
        self.slices.iter().map(|slice| (age(slice), slice.units)).collect()
    }

    /// Counts granted units.
    pub(super) fn record(&mut self, units: f64, window: Duration, now: Instant) {
        self.expire(window, now);
        let length = slice_length(window);
        match self.slices.back_mut() {
            Some(last) if now.saturating_duration_since(last.started_at) < length => {
                last.units += units;
            }
            _ => self.slices.push_back(Slice { started_at: now, units }),
        }
    }

    /// Units granted in the window that ends now.
    pub(super) fn total(&mut self, window: Duration, now: Instant) -> f64 {
        self.expire(window, now);
        self.slices.iter().map(|slice| slice.units).sum()
    }

    /// Time until `units` of the counted units have left the window.
    pub(super) fn time_until_freed(&self, units: f64, window: Duration, now: Instant) -> Duration {
        let mut freed = 0.0;
        for slice in &self.slices {
            if freed >= units {
                break;
            }
            freed += slice.units;
            if freed >= units {
                let leaves_at = slice.started_at + slice_length(window) + window;
                return leaves_at.saturating_duration_since(now);
            }
        }
        if units <= 0.0 { Duration::ZERO } else { window }
    }

    /// Scales the counted units, when the allowance that they are compared with has changed.
    pub(super) fn scale(&mut self, factor: f64) {
        for slice in &mut self.slices {
            slice.units *= factor;
        }
    }

    /// The larger count of two gateways that have both granted from a bucket.
    pub(super) fn larger(self, other: WindowUsage) -> WindowUsage {
        let units = |usage: &WindowUsage| usage.slices.iter().map(|slice| slice.units).sum::<f64>();
        if units(&self) >= units(&other) { self } else { other }
    }

    fn expire(&mut self, window: Duration, now: Instant) {
        let lifetime = window + slice_length(window);
        let is_expired =
            |slice: &mut Slice| now.saturating_duration_since(slice.started_at) >= lifetime;
        while self.slices.pop_front_if(is_expired).is_some() {}
    }
}
