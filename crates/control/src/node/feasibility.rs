//! Checks whether a job can ever run: some allowed machine type must fit its tasks, and its team's
//! limit must allow it.
use crate::settings::Settings;
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{Catalog, JobKind, JobSpec, MachineType};

/// The reason why a job can never run. Its text is the body of the response with status 422.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeasibilityError {
    /// The settings have no team of this name.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks that must run at the same time need more than the team's limit.
    #[error("needs more than the team's limit")]
    AboveTeamLimit,
}

/// Checks whether a job can ever run.
pub fn check_feasibility(
    spec: &JobSpec,
    settings: &Settings,
    catalog: &Catalog,
) -> Result<(), FeasibilityError> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(FeasibilityError::UnknownTeam(spec.team.clone()));
    };
    let fits_a_type = catalog
        .machine_types
        .iter()
        .any(|machine_type| can_run_task(machine_type, spec));
    if !fits_a_type {
        return Err(FeasibilityError::FitsNoMachineType);
    }
    let concurrent_tasks = match spec.kind {
        JobKind::Array => 1.0,
        // All tasks of a service or a gang run at the same time.
        JobKind::Service | JobKind::Gang => f64::from(spec.task_count),
    };
    if spec.cpus * concurrent_tasks > team.limit_cpus + RESOURCE_EPSILON
        || spec.gpus * concurrent_tasks > team.limit_gpus + RESOURCE_EPSILON
    {
        return Err(FeasibilityError::AboveTeamLimit);
    }
    Ok(())
}

/// Returns whether an empty machine of this type, in a zone that the job allows, can run one of its
/// tasks.
fn can_run_task(machine_type: &MachineType, spec: &JobSpec) -> bool {
    let is_allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    let is_in_zone = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    is_allowed
        && is_in_zone
        && machine_type.cpus + RESOURCE_EPSILON >= spec.cpus
        && machine_type.gpus + RESOURCE_EPSILON >= spec.gpus
        && machine_type.memory_gb + RESOURCE_EPSILON >= spec.memory_gb
}
