//! Messages between the scheduler and the cloud about machine types and machines.
use serde::{Deserialize, Serialize};

/// Minimum number of CPUs by which a price is divided; avoids a division by zero.
const MIN_CPUS: f64 = 0.01;

/// A machine type that can be provisioned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the machine type.
    #[serde(rename = "sku")]
    pub name: String,
    /// Number of CPUs per machine.
    pub cpus: f64,
    /// Number of GPUs per machine.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory per machine in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of the image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Throughput of image pulls in GB/s.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price of a spot machine per hour; `None` if the cloud offers no spot machines of this type.
    #[serde(rename = "lowPrice", default)]
    pub hourly_spot_price: Option<f64>,
    /// Time from the provisioning request until the machine is ready, in seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones that offer the machine type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the current price per hour and CPU of an on-demand or spot machine. Without a spot
    /// price, the on-demand price applies to both.
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
    /// Id that makes the request idempotent: a retry has the same id.
    #[serde(rename = "hire")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone in which to provision the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to provision spot machines.
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
    /// The machine is booting.
    #[serde(rename = "booting")]
    Provisioning,
    /// The machine is running.
    Running,
    /// The machine has failed.
    Failed,
}

/// A machine in the cloud's list of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine id.
    #[serde(rename = "uid")]
    pub machine_id: String,
    /// IP address and port of the worker on the machine, once known.
    #[serde(default)]
    pub addr: Option<String>,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "loaners")]
    pub is_spot: bool,
    /// State of the machine.
    #[serde(rename = "phase")]
    pub state: MachineState,
    /// Time since the machine was provisioned, in seconds.
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
