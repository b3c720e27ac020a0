//! Messages between the scheduler and the cloud: machine types and machines.
use serde::{Deserialize, Serialize};

/// A type of machine that can be rented.
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
    /// Speed of fetching images, GB/s.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price per hour as spot machine; `None`: not offered.
    #[serde(rename = "lowPrice", default)]
    pub hourly_spot_price: Option<f64>,
    /// Time from renting to readiness, s.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// The current price per hour and cpu.
    pub fn price_per_cpu(&self, spot: bool) -> f64 {
        let price = if spot { self.hourly_spot_price } else { None };
        price.unwrap_or(self.hourly_price) / self.cpus.max(0.01)
    }
}

/// All machine types on offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Id of the request; a repeated request has the same.
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

/// State of a rented machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It starts up.
    #[serde(rename = "booting")]
    Provisioning,
    /// It runs.
    Running,
    /// It has failed.
    Failed,
}

/// A rented machine in the list.
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
    /// Time since it was rented, s.
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

/// One page of the list of rented machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineListPage {
    /// The machines on this page.
    #[serde(rename = "hearths")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext")]
    pub has_more: bool,
}
