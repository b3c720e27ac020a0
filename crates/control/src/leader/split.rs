//! Records of machines that have become larger than a value may be: the limit was lowered, or more was
//! found on their machines than they had room for.
//!
//! Their machines move to new records. The old record stays as it is until all of these are stored,
//! so that every placement stands in some record at any moment; between, it stands in two.
use super::machine_records::shard_record;
use super::*;

/// How the machines of a record are divided.
#[derive(Debug, Default, PartialEq)]
struct Parts {
    /// Groups that fit a record each, with room to grow.
    fitting: Vec<BTreeSet<String>>,
    /// Machines that no record has room for, even alone.
    too_large: BTreeSet<String>,
}

fn size_of(machines: &Machines, group: &BTreeSet<String>) -> usize {
    json_len(&shard_record(machines, group).0)
}

fn divide(machines: &Machines, shard: &Shard, value_bytes: usize) -> Parts {
    let mut parts = Parts::default();
    let mut group = BTreeSet::new();
    for id in &shard.machines {
        let alone = BTreeSet::from([id.clone()]);
        if size_of(machines, &alone) > value_bytes {
            parts.too_large.extend(alone);
            continue;
        }
        group.insert(id.clone());
        // As full as a record may be to take in another machine.
        if group.len() > 1 && size_of(machines, &group) > value_bytes / 2 {
            group.remove(id);
            parts.fitting.push(std::mem::replace(&mut group, alone));
        }
    }
    if !group.is_empty() {
        parts.fitting.push(group);
    }
    parts
}

impl Leader {
    /// Takes over a lower limit for values. Records above it are due, for nothing more can be placed
    /// on their machines before.
    pub(super) fn lower_value_bytes(&mut self, value_bytes: usize) {
        if value_bytes >= self.value_bytes {
            return;
        }
        self.value_bytes = value_bytes;
        for s in self.shards.values_mut() {
            s.stored.stale |= s.bytes > value_bytes;
        }
    }

    /// Divides the records that are due and too large to be written.
    pub(super) fn split_large(&mut self) {
        let most = self.value_bytes;
        let large = |s: &Shard| {
            s.due() && s.bytes > most && s.stored.version.is_some() && !s.stored.writing
        };
        let found = self.shards.iter().filter(|(_, s)| large(s));
        let numbers: Vec<u32> = found.map(|(n, _)| *n).collect();
        for number in numbers {
            let Some(shard) = self.shards.get(&number) else {
                continue;
            };
            let size = size_of(&self.machines, &shard.machines);
            if size > most {
                self.split(number, size);
            }
        }
    }

    fn split(&mut self, number: u32, size: usize) {
        let Some(old) = self.shards.get_mut(&number) else {
            return;
        };
        let parts = divide(&self.machines, old, self.value_bytes);
        let (urgent, since) = (old.urgent, old.since);
        old.bytes = size + k::SHARD_HEAD_BYTES;
        old.machines.clone_from(&parts.too_large);
        old.urgent = false;
        // What remains has nothing to write before it changes again; an empty one is to be deleted.
        old.stored.dirty = false;
        old.stored.stale = parts.too_large.is_empty();
        let mut successors = BTreeSet::new();
        for group in parts.fitting {
            successors.insert(self.add_shard(group, urgent, since));
        }
        log::info!("record {number} of machines takes {size} bytes; moved to {successors:?}");
        // Whoever waits for this record waits for all that takes its place.
        for (n, s) in &mut self.shards {
            if *n == number || s.successors.contains(&number) {
                s.successors.extend(&successors);
            }
        }
        for id in parts.too_large {
            log::warn!("what is on {id} fits no record; nothing more is placed there");
            self.take_back_unstored(&id);
        }
    }

    /// A new record for machines that have had another.
    fn add_shard(&mut self, machines: BTreeSet<String>, urgent: bool, since: Ms) -> u32 {
        let number = self.free_number();
        let (record, _) = shard_record(&self.machines, &machines);
        let mut shard = Shard::new(Stored::absent());
        shard.bytes += json_len(&record);
        shard.jobs = record.jobs.into_iter().map(|j| j.0).collect();
        shard.urgent = urgent;
        shard.since = since;
        shard.stored.dirty = true;
        for id in &machines {
            if let Some(mut m) = self.machines.edit(id) {
                m.shard = Some(number);
            }
        }
        shard.machines = machines;
        self.shards.insert(number, shard);
        number
    }

    /// The lowest number that no record has, stored or not.
    pub(super) fn free_number(&self) -> u32 {
        let mut numbers = 0..;
        let free = numbers.find(|n| !self.shards.contains_key(n));
        free.unwrap_or(u32::MAX)
    }

    /// Tasks that wait for a first write which can't be made wait for another machine instead.
    fn take_back_unstored(&mut self, id: &str) {
        let Some(mut m) = self.machines.edit(id) else {
            return;
        };
        let mut back = vec![];
        m.placements.retain(|p| {
            let unstored = p.phase == Phase::New;
            if unstored {
                back.push((p.job.clone(), p.index));
            }
            !unstored
        });
        drop(m);
        for (job, index) in back {
            self.back(&job, index);
        }
    }

    /// A record was stored: those whose machines it took over need not wait for it any more.
    pub(super) fn succeeded(&mut self, number: u32) {
        for s in self.shards.values_mut() {
            s.successors.remove(&number);
        }
    }

    /// A machine stands in two stored records: a predecessor's process ended between the writes of a
    /// split. One of them, the smaller if one is too large, goes on to tell of it; the other is
    /// rewritten without it only after that one holds what both do.
    pub(super) fn settle_double(&mut self, now: Ms, machine: &str, first: u32, second: u32) {
        let most = self.value_bytes;
        let large = |n: u32| self.shards.get(&n).is_some_and(|s| s.bytes > most);
        let (keeper, other) = match large(first) && !large(second) {
            true => (second, first),
            false => (first, second),
        };
        if let Some(s) = self.shards.get_mut(&keeper) {
            s.machines.insert(machine.to_owned());
            if !s.stored.dirty {
                s.since = now;
            }
            s.stored.dirty = true;
        }
        if let Some(s) = self.shards.get_mut(&other) {
            s.machines.remove(machine);
            s.successors.insert(keeper);
            s.stored.stale = true;
        }
        if let Some(mut m) = self.machines.edit(machine) {
            m.shard = Some(keeper);
        }
    }
}

#[cfg(test)]
#[path = "split_tests.rs"]
mod tests;
