//! Changes of the simulation's configuration, requested by the header lines of a trace. Changed
//! settings take effect on nodes that start afterwards.
use super::setup::store_limits;
use super::simulation::Simulation;
use stonegw_control::settings::Settings;
use stonegw_wire::msg::ProvisionRequest;

/// The regular price divided by the price of a spot machine.
const SPOT_DISCOUNT: f64 = 3.0;

impl Simulation {
    fn change_settings(&mut self, change: impl Fn(&mut Settings)) {
        for slot in &mut self.nodes {
            change(&mut slot.settings);
        }
        self.store.limits = store_limits(&self.nodes[0].settings);
    }

    /// Sets the write rate that the nodes' settings state as the store's limit.
    pub fn set_write_rate_limit(&mut self, writes_per_s: f64) {
        self.change_settings(|settings| settings.store_writes_per_s = writes_per_s);
    }

    /// Sets the request rate that the nodes' settings state as the store's limit.
    pub fn set_request_rate_limit(&mut self, requests_per_s: f64) {
        self.change_settings(|settings| settings.store_requests_per_s = requests_per_s);
    }

    /// Sets a team's quota and limit, in CPUs.
    pub fn set_team_quota(&mut self, team_name: &str, quota_cpus: f64, limit_cpus: f64) {
        self.change_settings(|settings| {
            for team in &mut settings.teams {
                if team.name == team_name {
                    team.quota_cpus = quota_cpus;
                    team.limit_cpus = limit_cpus;
                }
            }
        });
    }

    /// Sets the record size that the nodes' settings state as the store's limit.
    pub fn set_max_value_bytes(&mut self, bytes: usize) {
        self.change_settings(|settings| settings.max_value_bytes = bytes);
    }

    /// Sets the number of writes in a transaction that the nodes' settings state as the store's
    /// limit.
    pub fn set_max_transaction_writes(&mut self, writes: usize) {
        self.change_settings(|settings| settings.max_transaction_writes = writes);
    }

    /// Makes the cloud offer spot machines of every type.
    pub fn offer_spot_machines(&mut self) {
        for machine_type in &mut self.cloud.catalog.machine_types {
            machine_type.hourly_spot_price = Some(machine_type.hourly_price / SPOT_DISCOUNT);
        }
    }

    /// Adds a machine that is ready at once.
    pub fn add_machine(&mut self, zone: &str) {
        let machine_type = if zone == "a" { "small" } else { "far" };
        let request = ProvisionRequest {
            request_id: String::new(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            is_spot: false,
            count: 1,
        };
        self.cloud.create_machine(self.now, &request, 0);
        self.start_new_workers();
    }
}
