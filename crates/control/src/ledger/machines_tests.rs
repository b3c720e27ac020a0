use super::super::sums::Shown;
use super::super::{Life, Phase, Placement};
use super::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

impl Machines {
    /// The sums, added up anew.
    fn recount(&self) -> Sums {
        let mut sums = Sums::default();
        for m in self.map.values() {
            sums.add(&m.id, &Shown::of(m), 1);
        }
        sums
    }
}

/// Sums that drift from what they sum up would break limits or start tasks twice.
#[test]
fn the_sums_follow_every_change() {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut all = Machines::default();
    for n in 0..2_000u64 {
        let id = format!("host-{}", rng.random_range(0..6));
        all.add(&id, || Machine::new(&id, "small", "a", false, 0));
        let (job, index) = (format!("run-{}", n % 5), rng.random_range(0..9));
        match rng.random_range(0..8) {
            0 => all.remove(&id),
            1 => all.edit(&id).unwrap().held = vec![(job, index), ("run-1".into(), 7)],
            2 => all.edit(&id).unwrap().held.clear(),
            3 => all.edit(&id).unwrap().zone = "b".into(),
            4 => all.edit(&id).unwrap().set_life(Life::Deleting),
            5 => all.edit_all(|m| {
                for p in m.placements.iter_mut().skip(2) {
                    p.stop = Some(0.0);
                    p.set_phase(Phase::Running);
                }
            }),
            6 => drop(all.edit(&id).map(|mut m| m.placements.pop())),
            _ => {
                let mut m = all.edit(&id).unwrap();
                let mut p = Placement::new(&job, index, n, Phase::Ready);
                (p.cpus, p.team) = (0.1 * index as f64, "red".into());
                m.placements.push(p);
            }
        }
        let right = all.recount();
        let team = |s: &Sums| s.teams.get("red").copied().unwrap_or_default();
        assert_eq!(team(&all.sums), team(&right));
        assert_eq!(all.sums.commands, right.commands);
        assert_eq!(all.sums.deleting, right.deleting);
        assert_eq!(all.sums.jobs.len(), right.jobs.len());
        for (job, j) in &all.sums.jobs {
            let r = &right.jobs[job];
            assert_eq!((&j.present, &j.held), (&r.present, &r.held));
            assert_eq!((j.running, &j.machines), (r.running, &r.machines));
            assert_eq!(
                all.zones_of(job, "b").0,
                r.zones.get("b").copied().unwrap_or(0)
            );
        }
    }
}
