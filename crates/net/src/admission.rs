//! A limit on the number of user requests in progress, which adapts to measured latencies.
use std::collections::HashMap;
use stonegw_constants::{
    ADMISSION_BASELINE_WEIGHT, ADMISSION_DECREASE_FACTOR, ADMISSION_LATENCY_FLOOR_MS,
    ADMISSION_LATENCY_TOLERANCE, ADMISSION_LIMIT_INITIAL, ADMISSION_LIMIT_MAX, ADMISSION_LIMIT_MIN,
    ADMISSION_MAX_STARVATION_MS, ADMISSION_MAX_TRACKED_REJECTIONS, ADMISSION_STATUS_QUERY_FRACTION,
};

/// Multiple of [`ADMISSION_MAX_STARVATION_MS`] after which a rejection is no longer tracked if
/// space is short: a user who has not retried by then retries at another node.
const REJECTION_RETENTION_PERIODS: u64 = 8;

/// A limit with additive increase and multiplicative decrease. It grows by one whenever as many
/// requests as the limit allows have completed at the usual latency, and shrinks by a tenth when a
/// request took several times as long.
#[derive(Debug)]
pub struct AdmissionLimiter {
    limit: f64,
    requests_in_progress: usize,
    baseline_latency_ms: f64,
    next_decrease_at: u64,
    /// Status queries that were rejected and have not been admitted since, by path, with the time
    /// of the first rejection.
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
    /// Returns `true` if a request is admitted at `now_ms`; it then counts as in progress.
    /// `status_query` is the path of a status query, or `None` for submissions and cancellations.
    ///
    /// Status queries may use only a part of the limit, so that a burst of them leaves capacity for
    /// submissions and cancellations. A status query is admitted regardless of the limit once
    /// [`ADMISSION_MAX_STARVATION_MS`] have passed since its first rejection.
    pub fn try_admit(&mut self, now_ms: u64, status_query: Option<&str>) -> bool {
        let rejected_since = status_query.and_then(|path| self.rejected_since.get(path).copied());
        let is_starved = rejected_since
            .is_some_and(|rejected_at| now_ms >= rejected_at + ADMISSION_MAX_STARVATION_MS);
        let usable_fraction = match status_query {
            Some(_) => ADMISSION_STATUS_QUERY_FRACTION,
            None => 1.0,
        };
        let is_below_limit = (self.requests_in_progress as f64) < self.limit * usable_fraction;
        let is_admitted = is_below_limit || is_starved;
        if is_admitted {
            self.requests_in_progress += 1;
        }
        match status_query {
            Some(path) if is_admitted => drop(self.rejected_since.remove(path)),
            Some(path) if rejected_since.is_none() => self.track_rejection(now_ms, path),
            _ => {}
        }
        is_admitted
    }

    /// Records the first rejection of a status query, unless too many rejections are tracked
    /// already.
    fn track_rejection(&mut self, now_ms: u64, path: &str) {
        if self.rejected_since.len() >= ADMISSION_MAX_TRACKED_REJECTIONS {
            let retention_ms = REJECTION_RETENTION_PERIODS * ADMISSION_MAX_STARVATION_MS;
            self.rejected_since
                .retain(|_, rejected_at| now_ms < *rejected_at + retention_ms);
        }
        if self.rejected_since.len() < ADMISSION_MAX_TRACKED_REJECTIONS {
            self.rejected_since.insert(path.to_owned(), now_ms);
        }
    }

    /// Counts a request as ended without a response. Its latency is ignored, because it does not
    /// indicate the load.
    pub fn release_unmeasured(&mut self) {
        self.requests_in_progress = self.requests_in_progress.saturating_sub(1);
    }

    /// Counts a request as completed at `now_ms` with a latency of `latency_ms`, and adjusts the
    /// limit.
    pub fn record_completion(&mut self, now_ms: u64, latency_ms: u64) {
        self.release_unmeasured();
        let latency = latency_ms as f64;
        if self.baseline_latency_ms == 0.0 {
            self.baseline_latency_ms = latency;
        }
        let slow_threshold_ms = (self.baseline_latency_ms * ADMISSION_LATENCY_TOLERANCE)
            .max(ADMISSION_LATENCY_FLOOR_MS);
        if latency > slow_threshold_ms {
            // Requests that waited at the same time were slowed down by a single delay, so the
            // limit decreases only once for all of them.
            if now_ms >= self.next_decrease_at {
                self.limit = (self.limit * ADMISSION_DECREASE_FACTOR).max(ADMISSION_LIMIT_MIN);
                self.next_decrease_at = now_ms + latency_ms;
            }
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(ADMISSION_LIMIT_MAX);
        }
        self.baseline_latency_ms +=
            (latency - self.baseline_latency_ms) * ADMISSION_BASELINE_WEIGHT;
    }

    /// Returns the current limit on requests in progress.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
