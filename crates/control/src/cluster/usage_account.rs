//! Accounts for how the CPU time of a machine was used; the result is logged.
use super::{Phase, Placement};
use crate::api::Millis;

/// The CPU time that a machine's tasks used since its first heartbeat to this leader.
#[derive(Clone, Debug, Default)]
pub struct UsageAccount {
    /// CPU-milliseconds in which tasks were running or checkpointing.
    run_cpu_ms: f64,
    /// CPU-milliseconds in which tasks were fetching their images or waiting for their gang.
    fetch_cpu_ms: f64,
    /// When the machine's first heartbeat arrived.
    first_heartbeat_at: Option<Millis>,
}

impl UsageAccount {
    /// Adds the CPU time that the machine's tasks used in the `elapsed_ms` before a heartbeat.
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

    /// Describes the boot time and the up time of a machine with `cpus` CPUs, and the fractions of
    /// its CPU time while up that were used for running tasks and for fetching images or waiting
    /// for a gang.
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
