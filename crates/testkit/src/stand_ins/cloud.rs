//! The cloud: rents, lists and deletes machines.
use super::{error_response, machine_address, query_parameter, Ms, Response};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// Machines on one page of the list at most (the protocol's limit).
const MAX_MACHINES_PER_PAGE: usize = 500;

fn list_entry(
    now: Ms,
    (id, (hire, born, up)): (&String, &(ProvisionRequest, Ms, Ms)),
) -> ListedMachine {
    let state = match now >= *up {
        true => MachineState::Running,
        false => MachineState::Provisioning,
    };
    ListedMachine {
        machine_id: id.clone(),
        addr: Some(machine_address(id)),
        machine_type: hire.machine_type.clone(),
        zone: hire.zone.clone(),
        is_spot: hire.is_spot,
        state,
        age_s: (now - born) as f64 / 1e3,
    }
}

/// The machines that are rented.
pub struct Cloud {
    pub catalog: Catalog,
    /// The number of the next machine.
    pub next_machine_number: u64,
    /// Machines that exist: what was asked for, since when, and until when they boot.
    pub machines: BTreeMap<String, (ProvisionRequest, Ms, Ms)>,
    /// The machines given for each request name.
    pub machines_by_request: BTreeMap<String, Vec<String>>,
    pub boot_ms: Ms,
    pub capacity: usize,
}

impl Cloud {
    /// One more machine; its name.
    pub fn create_machine(&mut self, now: Ms, hire: &ProvisionRequest, boot_ms: Ms) -> String {
        let id = format!("host-{:06}", self.next_machine_number);
        self.next_machine_number += 1;
        self.machines
            .insert(id.clone(), (hire.clone(), now, now + boot_ms));
        id
    }

    /// One request.
    pub fn handle_request(&mut self, now: Ms, path: &str, body: &[u8]) -> Response {
        match path.split('?').next().unwrap_or("") {
            "/catalog" => (200, encode(&self.catalog)),
            "/hosts/delete" => self.delete_machines(body),
            "/hosts" if body.is_empty() => self.list_machines(now, path),
            "/hosts" => self.provision_machines(now, body),
            _ => error_response(400, "malformed"),
        }
    }

    fn delete_machines(&mut self, body: &[u8]) -> Response {
        match decode::<MachineIds>(body) {
            Ok(names) => {
                names.machine_ids.iter().for_each(|id| {
                    self.machines.remove(id);
                });
                (200, vec![0x80])
            }
            Err(e) => error_response(400, &e.to_string()),
        }
    }

    fn list_machines(&self, now: Ms, path: &str) -> Response {
        let since = query_parameter(path, "since").unwrap_or("");
        let limit = query_parameter(path, "limit").and_then(|l| l.parse().ok());
        let limit = limit
            .unwrap_or(MAX_MACHINES_PER_PAGE)
            .min(MAX_MACHINES_PER_PAGE);
        let after = self.machines.iter().filter(|(id, _)| id.as_str() > since);
        let page = after.take(limit + 1);
        let mut machines: Vec<ListedMachine> = page.map(|m| list_entry(now, m)).collect();
        let more = machines.len() > limit;
        machines.truncate(limit);
        (
            200,
            encode(&MachineListPage {
                machines,
                has_more: more,
            }),
        )
    }

    fn provision_machines(&mut self, now: Ms, body: &[u8]) -> Response {
        let hire = match decode::<ProvisionRequest>(body) {
            Ok(h) => h,
            Err(e) => return error_response(400, &e.to_string()),
        };
        if let Some(machines) = self.machines_by_request.get(&hire.request_id).cloned() {
            return (
                200,
                encode(&MachineIds {
                    machine_ids: machines,
                }),
            );
        }
        let room = self.capacity.saturating_sub(self.machines.len());
        let count = room.min(hire.count as usize);
        if count == 0 {
            return error_response(503, "no capacity");
        }
        let boot = self.boot_ms;
        let new = (0..count).map(|_| self.create_machine(now, &hire, boot));
        let machines: Vec<String> = new.collect();
        self.machines_by_request
            .insert(hire.request_id, machines.clone());
        (
            200,
            encode(&MachineIds {
                machine_ids: machines,
            }),
        )
    }
}
