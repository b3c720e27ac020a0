//! Amounts of a machine's resources and arithmetic on them.
use std::ops::{Add, AddAssign, Sub, SubAssign};
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{JobSpec, MachineType, MAX_TASKS};

/// Amounts of CPUs, GPUs and memory that are requested, used or free.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of CPU cores.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Returns the resources that one task of the job requests.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        }
    }

    /// Returns the capacity of an empty machine of the type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns whether `request` fits, with a tolerance for rounding errors.
    pub fn has_capacity_for(&self, request: &Resources) -> bool {
        self.cpus + RESOURCE_EPSILON >= request.cpus
            && self.gpus + RESOURCE_EPSILON >= request.gpus
            && self.memory_gb + RESOURCE_EPSILON >= request.memory_gb
    }

    /// Returns how many times `request` fits, at most [`MAX_TASKS`]: no job has more tasks.
    pub fn count_fitting(&self, request: &Resources) -> u32 {
        self.fit_ratio(request).clamp(0.0, f64::from(MAX_TASKS)) as u32
    }

    /// Returns how many times `request` fits as a fractional number without an upper limit.
    /// Resources that are not requested do not limit it.
    pub fn fit_ratio(&self, request: &Resources) -> f64 {
        let ratio = |available: f64, requested: f64| {
            if requested > RESOURCE_EPSILON {
                (available + RESOURCE_EPSILON) / requested
            } else {
                f64::MAX
            }
        };
        ratio(self.cpus, request.cpus)
            .min(ratio(self.gpus, request.gpus))
            .min(ratio(self.memory_gb, request.memory_gb))
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
