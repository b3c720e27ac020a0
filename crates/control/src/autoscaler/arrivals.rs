//! What arrived and ended of late: the sizing expects more of the same.
use super::{Autoscaler, DeadlineArrival, GangArrival};
use crate::api::Millis;
use stonegw_constants::{ARRIVAL_RATE_WINDOW_MS, URGENT_ARRIVAL_WINDOW_MS};
use stonegw_wire::msg::JobSpec;

impl Autoscaler {
    /// An urgent service ended.
    pub fn record_urgent_departure(&mut self, now: Millis) {
        self.urgent_departures.push_back(now);
    }

    /// An urgent service arrived.
    pub fn record_urgent_arrival(&mut self, now: Millis) {
        self.urgent_arrivals.push_back(now);
        let old = |at: &Millis| now > at + URGENT_ARRIVAL_WINDOW_MS;
        for times in [&mut self.urgent_departures, &mut self.urgent_arrivals] {
            while times.front().is_some_and(old) {
                times.pop_front();
            }
        }
    }

    /// A gang arrived.
    pub fn record_gang_arrival(&mut self, now: Millis, spec: &JobSpec) {
        let gangs = &mut self.gang_arrivals;
        gangs.retain(|a| now <= a.arrived_at + URGENT_ARRIVAL_WINDOW_MS);
        gangs.push(GangArrival {
            arrived_at: now,
            spec: spec.clone(),
        });
    }

    /// Work with a deadline came, so long ago.
    pub fn record_deadline_arrival(
        &mut self,
        now: Millis,
        age_ms: u64,
        spec: &JobSpec,
        run_s: f64,
    ) {
        let cpu_seconds = f64::from(spec.task_count) * spec.cpus * run_s;
        let at = now.saturating_sub(age_ms);
        self.deadline_arrivals
            .retain(|a| now <= a.arrived_at + ARRIVAL_RATE_WINDOW_MS);
        if age_ms < ARRIVAL_RATE_WINDOW_MS {
            self.deadline_arrivals.push_back(DeadlineArrival {
                arrived_at: at,
                cpu_seconds,
                run_s,
            });
        }
    }
}
