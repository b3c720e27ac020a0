//! A limit on user requests in progress that adjusts itself to measured times.
use std::collections::HashMap;
use stonegw_constants::{
    ADMISSION_BASELINE_WEIGHT, ADMISSION_DECREASE_FACTOR, ADMISSION_LATENCY_FLOOR_MS,
    ADMISSION_LATENCY_TOLERANCE, ADMISSION_LIMIT_INITIAL, ADMISSION_LIMIT_MAX, ADMISSION_LIMIT_MIN,
    ADMISSION_MAX_STARVATION_MS, ADMISSION_MAX_TRACKED_REJECTIONS, ADMISSION_STATUS_QUERY_FRACTION,
};

/// Grows by one for every limit's worth of requests answered in the usual time; shrinks by a
/// tenth when one took several times as long.
#[derive(Debug)]
pub struct AdmissionLimiter {
    limit: f64,
    requests_in_progress: usize,
    baseline_latency_ms: f64,
    next_decrease_at: u64,
    /// Questions that were turned away and not asked in vain before, since when.
    rejected_since: HashMap<String, u64>,
}

impl Default for AdmissionLimiter {
    fn default() -> Self {
        AdmissionLimiter {
            limit: ADMISSION_LIMIT_INITIAL,
            requests_in_progress: 0,
            baseline_latency_ms: 0.0,
            next_decrease_at: 0,
            rejected_since: HashMap::new(),
        }
    }
}

impl AdmissionLimiter {
    /// `question`: what a poll asks about. Questions leave a part of the limit to submissions and
    /// cancellations, however many there are; one turned away for long comes in whatever the limit.
    pub fn try_admit(&mut self, now: u64, question: Option<&str>) -> bool {
        let since = question.and_then(|q| self.rejected_since.get(q)).copied();
        let due = since.is_some_and(|at| now >= at + ADMISSION_MAX_STARVATION_MS);
        let part = question.map_or(1.0, |_| ADMISSION_STATUS_QUERY_FRACTION);
        let ok = (self.requests_in_progress as f64) < self.limit * part || due;
        if ok {
            self.requests_in_progress += 1;
        }
        match question {
            Some(q) if ok => drop(self.rejected_since.remove(q)),
            Some(q) if since.is_none() => {
                if self.rejected_since.len() >= ADMISSION_MAX_TRACKED_REJECTIONS {
                    // Whoever has not asked again for so long asks elsewhere.
                    let fair = ADMISSION_MAX_STARVATION_MS;
                    self.rejected_since.retain(|_, at| now < *at + 8 * fair);
                }
                if self.rejected_since.len() < ADMISSION_MAX_TRACKED_REJECTIONS {
                    self.rejected_since.insert(q.to_owned(), now);
                }
            }
            _ => {}
        }
        ok
    }

    /// A request left unanswered: its time says nothing.
    pub fn release_unmeasured(&mut self) {
        self.requests_in_progress = self.requests_in_progress.saturating_sub(1);
    }

    /// Counts a request as answered at `now` after `took_ms`, both ms, and adjusts the limit.
    pub fn record_completion(&mut self, now: u64, took_ms: u64) {
        self.release_unmeasured();
        let took = took_ms as f64;
        if self.baseline_latency_ms == 0.0 {
            self.baseline_latency_ms = took;
        }
        let slow = took
            > (self.baseline_latency_ms * ADMISSION_LATENCY_TOLERANCE)
                .max(ADMISSION_LATENCY_FLOOR_MS);
        if slow {
            // Requests that waited together tell of one delay: one cut for all of them.
            if now >= self.next_decrease_at {
                self.limit = (self.limit * ADMISSION_DECREASE_FACTOR).max(ADMISSION_LIMIT_MIN);
                self.next_decrease_at = now + took_ms;
            }
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(ADMISSION_LIMIT_MAX);
        }
        self.baseline_latency_ms += (took - self.baseline_latency_ms) * ADMISSION_BASELINE_WEIGHT;
    }

    /// The present limit on requests in progress.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
