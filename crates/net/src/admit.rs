//! A limit on user requests in progress that adjusts itself to measured times.
use std::collections::HashMap;
use stonegw_constants as k;

/// Grows by one for every limit's worth of requests answered in the usual time; shrinks by a
/// tenth when one took several times as long.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    in_progress: usize,
    usual_ms: f64,
    cut_at: u64,
    /// Questions that were turned away and not asked in vain before, since when.
    shed: HashMap<String, u64>,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            limit: k::ADMIT_START,
            in_progress: 0,
            usual_ms: 0.0,
            cut_at: 0,
            shed: HashMap::new(),
        }
    }
}

impl Admission {
    /// `question`: what a poll asks about. Questions leave a part of the limit to submissions and
    /// cancellations, however many there are; one turned away for long comes in whatever the limit.
    pub fn enter(&mut self, now: u64, question: Option<&str>) -> bool {
        let since = question.and_then(|q| self.shed.get(q)).copied();
        let due = since.is_some_and(|at| now >= at + k::ADMIT_FAIR_MS);
        let part = question.map_or(1.0, |_| k::ADMIT_QUESTIONS_PART);
        let ok = (self.in_progress as f64) < self.limit * part || due;
        if ok {
            self.in_progress += 1;
        }
        match question {
            Some(q) if ok => drop(self.shed.remove(q)),
            Some(q) if since.is_none() => {
                if self.shed.len() >= k::ADMIT_SHED {
                    // Whoever has not asked again for so long asks elsewhere.
                    let fair = k::ADMIT_FAIR_MS;
                    self.shed.retain(|_, at| now < *at + 8 * fair);
                }
                if self.shed.len() < k::ADMIT_SHED {
                    self.shed.insert(q.to_owned(), now);
                }
            }
            _ => {}
        }
        ok
    }

    /// A request left unanswered: its time says nothing.
    pub fn abandon(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Counts a request as answered at `now` after `took_ms`, both ms, and adjusts the limit.
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

    /// The present limit on requests in progress.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
