//! A limit on user requests in progress that adjusts itself to measured times.
use stonegw_constants as k;

/// Grows by one for every limit's worth of requests answered in the usual time; shrinks by a
/// tenth when one took several times as long.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    in_progress: usize,
    usual_ms: f64,
    cut_at: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            limit: k::ADMIT_START,
            in_progress: 0,
            usual_ms: 0.0,
            cut_at: 0,
        }
    }
}

impl Admission {
    pub fn enter(&mut self) -> bool {
        let ok = (self.in_progress as f64) < self.limit;
        if ok {
            self.in_progress += 1;
        }
        ok
    }

    /// A request left unanswered: its time says nothing.
    pub fn abandon(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    pub fn leave(&mut self, now: u64, took_ms: u64) {
        self.abandon();
        let took = took_ms as f64;
        if self.usual_ms == 0.0 {
            self.usual_ms = took;
        }
        let slow = took > (self.usual_ms * k::ADMIT_TOLERANCE).max(k::ADMIT_FLOOR_MS);
        if slow {
            // Requests that waited together tell of one delay: one cut for all of them.
            if now >= self.cut_at {
                self.limit = (self.limit * k::ADMIT_CUT).max(k::ADMIT_MIN);
                self.cut_at = now + took_ms;
            }
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(k::ADMIT_MAX);
        }
        self.usual_ms += (took - self.usual_ms) * k::ADMIT_WEIGHT;
    }

    pub fn limit(&self) -> f64 {
        self.limit
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_limit_follows_the_measured_times() {
        let mut a = Admission::default();
        let start = a.limit();
        for t in 0..500 {
            assert!(a.enter());
            a.leave(t * 10, 20);
        }
        let grown = a.limit();
        assert!(grown > start);
        for t in 0..20 {
            a.enter();
            a.leave(10_000 + t * 2_000, 1_500);
        }
        assert!(a.limit() < grown * 0.8, "{} of {grown}", a.limit());
        assert!(a.limit() >= k::ADMIT_MIN);
        let mut taken = 0;
        while a.enter() {
            taken += 1;
        }
        assert!((taken as f64 - a.limit()).abs() <= 1.0);
    }
}
