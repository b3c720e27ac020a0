//! What a machine's time was spent on, for the log.
use super::{Phase, Placement};
use crate::api::Millis;

/// CPU time that a machine's tasks used since it came up.
#[derive(Clone, Debug, Default)]
pub struct UsageAccount {
    /// CPU-milliseconds its tasks ran.
    run_cpu_ms: f64,
    /// CPU-milliseconds its tasks fetched their images or waited for their gang.
    fetch_cpu_ms: f64,
    /// When its first heartbeat arrived.
    first_heartbeat_at: Option<Millis>,
}

impl UsageAccount {
    /// Adds what the machine's tasks used in the `elapsed_ms` before this heartbeat.
    pub fn add(&mut self, placements: &[Placement], elapsed_ms: f64, now: Millis) {
        for placement in placements {
            let cpu_ms = placement.cpus * elapsed_ms;
            match placement.phase {
                Phase::Running | Phase::Checkpointing => self.run_cpu_ms += cpu_ms,
                Phase::Fetching | Phase::WaitingForGang => self.fetch_cpu_ms += cpu_ms,
                _ => {}
            }
        }
        self.first_heartbeat_at.get_or_insert(now);
    }

    /// Boot time, up time and the parts of it that tasks ran and fetched images, on so many CPUs.
    pub fn describe(&self, provisioned_at: Millis, now: Millis, cpus: f64) -> String {
        let seconds = |ms: u64| ms as f64 / 1e3;
        let up_at = self.first_heartbeat_at;
        let boot_ms = up_at.unwrap_or(now).saturating_sub(provisioned_at);
        let up_ms = up_at.map_or(0, |at| now.saturating_sub(at));
        let fraction = |cpu_ms: f64| cpu_ms / (cpus * up_ms as f64).max(1.0);
        format!(
            "boot {:.0} s, up {:.0} s, ran {:.2}, fetched {:.2}",
            seconds(boot_ms),
            seconds(up_ms),
            fraction(self.run_cpu_ms),
            fraction(self.fetch_cpu_ms)
        )
    }
}
