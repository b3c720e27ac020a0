//! Amounts of what a task takes of a machine.
use std::ops::{Add, AddAssign, Sub, SubAssign};
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{JobSpec, MachineType};

/// CPUs, accelerator cards and memory, taken or free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Resources {
    /// What one task of the job takes.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// What an empty machine of the type has.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Whether `need` fits into this much room, rounding aside.
    pub fn has_capacity_for(&self, need: &Resources) -> bool {
        self.cpus + RESOURCE_EPSILON >= need.cpus
            && self.gpus + RESOURCE_EPSILON >= need.gpus
            && self.memory_gb + RESOURCE_EPSILON >= need.memory_gb
    }

    /// How many times `need` fits into this much room.
    pub fn count_fitting(&self, need: &Resources) -> u32 {
        self.fit_ratio(need)
            .clamp(0.0, f64::from(stonegw_wire::msg::MAX_TASKS)) as u32
    }

    /// How many times `need` fits, in parts and without an upper limit.
    pub fn fit_ratio(&self, need: &Resources) -> f64 {
        let ratio = |have: f64, need: f64| {
            if need > RESOURCE_EPSILON {
                (have + RESOURCE_EPSILON) / need
            } else {
                f64::MAX
            }
        };
        ratio(self.cpus, need.cpus)
            .min(ratio(self.gpus, need.gpus))
            .min(ratio(self.memory_gb, need.memory_gb))
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}
