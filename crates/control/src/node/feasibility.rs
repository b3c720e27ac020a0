//! Decides whether a job can ever run: its machine type and its team's limit.
use crate::settings::Settings;
use stonegw_constants::RESOURCE_EPSILON;
use stonegw_wire::msg::{Catalog, JobKind, JobSpec};

/// 422 exactly where the protocol has it.
pub fn check_feasibility(
    spec: &JobSpec,
    settings: &Settings,
    catalog: &Catalog,
) -> Result<(), String> {
    let Some(team) = settings.team(&spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    let fits = catalog.machine_types.iter().any(|t| {
        spec.machine_types
            .as_ref()
            .is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && t.cpus + RESOURCE_EPSILON >= spec.cpus
            && t.gpus + RESOURCE_EPSILON >= spec.gpus
            && t.memory_gb + RESOURCE_EPSILON >= spec.memory_gb
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    let n = match spec.kind {
        JobKind::Array => 1.0,
        // All its tasks run at the same time.
        JobKind::Service | JobKind::Gang => f64::from(spec.task_count),
    };
    if spec.cpus * n > team.limit_cpus + RESOURCE_EPSILON
        || spec.gpus * n > team.limit_gpus + RESOURCE_EPSILON
    {
        return Err("needs more than the team's limit".into());
    }
    Ok(())
}
