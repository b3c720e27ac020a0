use super::super::usage_totals::AccountedUsage;
use super::super::{Lifecycle, Phase, Placement};
use super::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

impl Machines {
    /// The totals, added up anew.
    fn recompute_usage_totals(&self) -> UsageTotals {
        let mut totals = UsageTotals::default();
        for machine in self.by_id.values() {
            totals.add(&machine.id, &AccountedUsage::of_machine(machine));
        }
        totals
    }
}

/// Totals that drift from what they add up would break limits or start tasks twice.
#[test]
fn usage_totals_follow_every_change() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all = Machines::default();
    for n in 0..2_000u64 {
        let id = format!("host-{}", rng.random_range(0..6));
        all.add(&id, || Machine::new(&id, "small", "a", false, 0));
        let (job, index) = (format!("run-{}", n % 5), rng.random_range(0..9));
        match rng.random_range(0..8) {
            0 => all.remove(&id),
            1 => all.edit(&id).unwrap().queued = vec![(job, index), ("run-1".into(), 7)],
            2 => all.edit(&id).unwrap().queued.clear(),
            3 => all.edit(&id).unwrap().zone = "b".into(),
            4 => all.edit(&id).unwrap().set_lifecycle(Lifecycle::Terminating),
            5 => all.edit_all(|m| {
                for p in m.placements.iter_mut().skip(2) {
                    p.stop_grace_s = Some(0.0);
                    p.set_phase(Phase::Running);
                }
            }),
            6 => drop(all.edit(&id).map(|mut m| m.placements.pop())),
            _ => {
                let mut m = all.edit(&id).unwrap();
                let mut p = Placement::new(&job, index, n, Phase::Startable);
                (p.cpus, p.team) = (0.1 * index as f64, "red".into());
                m.placements.push(p);
            }
        }
        let right = all.recompute_usage_totals();
        let team = |s: &UsageTotals| s.team_usage.get("red").copied().unwrap_or_default();
        assert_eq!(team(&all.usage_totals), team(&right));
        assert_eq!(
            all.usage_totals.machines_with_commands,
            right.machines_with_commands
        );
        assert_eq!(
            all.usage_totals.terminating_machines,
            right.terminating_machines
        );
        assert_eq!(all.usage_totals.job_usage.len(), right.job_usage.len());
        for (job, j) in &all.usage_totals.job_usage {
            let r = &right.job_usage[job];
            assert_eq!(
                (&j.present_machine_counts, &j.queued_machine_counts),
                (&r.present_machine_counts, &r.queued_machine_counts)
            );
            assert_eq!(
                (j.running_tasks, &j.entries_by_machine),
                (r.running_tasks, &r.entries_by_machine)
            );
            assert_eq!(
                all.task_counts_by_zone(job, "b").0,
                r.present_tasks_by_zone.get("b").copied().unwrap_or(0)
            );
        }
    }
}
