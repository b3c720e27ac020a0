//! Putting tasks on machines and taking them back.
use super::*;

impl Leader {
    /// Puts a waiting task on a machine. Nothing goes out before it is stored.
    pub fn place(&mut self, machine: &str, job: &str, index: u32) {
        // The last guard against running twice, whatever went wrong before.
        if self.is_present(job, index) {
            log::error!("{job}/{index} may already be on a machine; not placed again");
            if let Some(w) = self.works.get_mut(job) {
                w.take(index);
            }
            return;
        }
        let (Some(m), Some(w)) = (self.machines.get_mut(machine), self.works.get_mut(job)) else {
            return;
        };
        w.take(index);
        self.next_attempt += 1;
        log::debug!("place {job}/{index}#{} on {machine}", self.next_attempt);
        m.placements.push(Placement {
            cpus: w.spec.cpus,
            gpus: w.spec.gpus,
            memory: w.spec.memory_gb,
            team: w.spec.team.clone(),
            ..Placement::new(job, index, self.next_attempt, Phase::New)
        });
        m.stored.dirty = true;
        m.idle_since = None;
        let cache = self
            .catalog
            .types
            .iter()
            .find(|t| t.name == m.kind)
            .map_or(0.0, |t| t.cache_gb);
        m.use_image(&w.spec.image, w.spec.image_gb, cache);
    }

    /// A task is proven gone from where it was: it waits again, unless it is elsewhere.
    pub fn back(&mut self, job: &str, index: u32) {
        self.wake = true;
        // A task that is held waits already; waiting twice, it would start twice.
        let held = |m: &Machine| m.held.iter().any(|(j, i)| j == job && *i == index);
        let elsewhere = self.is_present(job, index) || self.machines.values().any(held);
        if let (false, Some(w)) = (elsewhere, self.works.get_mut(job)) {
            w.give_back(index);
        }
    }

    /// Whether the task may be on some machine.
    pub(super) fn is_present(&self, job: &str, index: u32) -> bool {
        self.machines
            .values()
            .flat_map(|m| &m.placements)
            .any(|p| p.job == job && p.index == index && p.present())
    }

    /// Everything on the machine is proven gone.
    pub(super) fn all_gone(&mut self, id: &str, how: Gone) {
        let Some(m) = self.machines.get_mut(id) else {
            return;
        };
        let mut gone = vec![];
        m.placements.retain(|p| {
            if let Gone::Session { inherited_too } = how {
                let unsent = matches!(p.phase, Phase::New | Phase::Ready);
                if unsent || p.inherited && !inherited_too {
                    return true;
                }
            }
            // What it finished here counts only once stored; without the worker's word for it
            // any more, it still was finished.
            gone.push((p.job.clone(), p.index));
            false
        });
        if !gone.is_empty() {
            m.stored.stale = true;
        }
        for (job, index) in gone {
            self.back(&job, index);
        }
    }
}
