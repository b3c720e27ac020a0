//! Messages between the scheduler and the cloud: machine types and machines.
use serde::{Deserialize, Serialize};

/// Fewest CPUs counted for a machine type, so that no price is divided by zero.
const MIN_CPUS: f64 = 0.01;

/// A machine type that can be provisioned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// CPUs per machine.
    pub cpus: f64,
    /// GPUs per machine.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory per machine, GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of the image cache, GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Speed of pulling images, GB/s.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price per hour of a spot machine; `None`: not offered.
    #[serde(rename = "lowPrice", default)]
    pub hourly_spot_price: Option<f64>,
    /// Time from the provisioning request until the machine is ready, s.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The current price per hour and CPU, on demand or as a spot machine.
    pub fn price_per_cpu(&self, spot: bool) -> f64 {
        let spot_price = if spot { self.hourly_spot_price } else { None };
        spot_price.unwrap_or(self.hourly_price) / self.cpus.max(MIN_CPUS)
    }
}

/// All machine types that the cloud offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// A request to provision machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Id of the request, which makes it idempotent: a retry has the same.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// A list of machine ids.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineIds {
    /// The machine ids.
    #[serde(rename = "hearths")]
    pub machine_ids: Vec<String>,
}

/// State of a machine in the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It boots.
    #[serde(rename = "booting")]
    Provisioning,
    /// It runs.
    Running,
    /// It has failed.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine id.
    #[serde(rename = "uid")]
    pub machine_id: String,
    /// IP address and port of its worker, once known.
    #[serde(default)]
    pub addr: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// Its state.
    #[serde(rename = "phase")]
    pub state: MachineState,
    /// Time since it was provisioned, s.
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

/// One page of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineListPage {
    /// The machines on this page.
    #[serde(rename = "hearths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}
