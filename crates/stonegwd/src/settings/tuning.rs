//! The operators' tuning file (HCL), in which all keys are optional.
use super::check::check_range;
use super::error::InvalidSettings;
use serde::Deserialize;
use stonegw_control::settings::Tuning;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// The file as it is written. Only this daemon defines its keys, so an unknown key is an error.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct TuningFile {
    #[serde(rename = "spare_tasks")]
    headroom_tasks: Option<f64>,
    #[serde(rename = "idle_boots")]
    idle_retention_boots: Option<f64>,
    #[serde(rename = "slack_use")]
    slack_fraction: Option<f64>,
    #[serde(rename = "inflow_use")]
    arrival_rate_fraction: Option<f64>,
    #[serde(rename = "leader_ttl_s")]
    leader_lease_ttl_s: Option<f64>,
    #[serde(rename = "mapping_s")]
    scheduling_interval_s: Option<f64>,
}

/// Parses and checks the text of the file. Keys that it does not set have their default values.
pub(super) fn parse_tuning(text: &str) -> Result<Tuning, InvalidSettings> {
    let file: TuningFile = hcl::from_str(text).map_err(InvalidSettings::syntax)?;
    let mut tuning = Tuning::default();
    if let Some(tasks) = file.headroom_tasks {
        tuning.headroom_tasks = check_range("spare_tasks", tasks, 0.0, 10_000.0)?;
    }
    if let Some(boots) = file.idle_retention_boots {
        tuning.idle_retention_boots = check_range("idle_boots", boots, 0.0, 1e6)?;
    }
    if let Some(fraction) = file.slack_fraction {
        tuning.slack_fraction = check_range("slack_use", fraction, 0.05, 1.0)?;
    }
    if let Some(fraction) = file.arrival_rate_fraction {
        tuning.arrival_rate_fraction = check_range("inflow_use", fraction, 0.0, 2.0)?;
    }
    if let Some(seconds) = file.leader_lease_ttl_s {
        let seconds = check_range("leader_ttl_s", seconds, 1.0, 600.0)?;
        tuning.leader_lease_ttl_ms = (seconds * MS_PER_S) as u64;
    }
    if let Some(seconds) = file.scheduling_interval_s {
        let seconds = check_range("mapping_s", seconds, 0.05, 60.0)?;
        tuning.scheduling_interval_ms = (seconds * MS_PER_S) as u64;
    }
    Ok(tuning)
}
