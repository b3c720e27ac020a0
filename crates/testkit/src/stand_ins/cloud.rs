//! A model of the cloud, which provisions, lists and deletes machines.
use super::http::{query_parameter, HttpResponse, EMPTY_MAP};
use super::parameters::Ms;
use super::worker::{machine_address, machine_id};
use std::collections::BTreeMap;
use stonegw_wire::msg::{
    decode, encode, Catalog, ListedMachine, MachineIds, MachineListPage, MachineState,
    ProvisionRequest,
};

/// The largest number of machines on one page of the listing (the protocol's limit).
const MAX_MACHINES_PER_PAGE: usize = 500;

/// A machine that exists.
#[derive(Clone, Debug)]
pub struct CloudMachine {
    /// The request by which it was provisioned.
    pub request: ProvisionRequest,
    /// When it was provisioned.
    pub created_at: Ms,
    /// When it is ready after booting.
    pub ready_at: Ms,
}

impl CloudMachine {
    fn to_listed(&self, id: &str, now: Ms) -> ListedMachine {
        let state = match now >= self.ready_at {
            true => MachineState::Running,
            false => MachineState::Provisioning,
        };
        ListedMachine {
            machine_id: id.to_owned(),
            addr: Some(machine_address(id)),
            machine_type: self.request.machine_type.clone(),
            zone: self.request.zone.clone(),
            is_spot: self.request.is_spot,
            state,
            age_s: (now - self.created_at) as f64 / 1e3,
        }
    }
}

/// The cloud's catalogue, capacity and machines.
pub struct Cloud {
    /// The machine types on offer.
    pub catalog: Catalog,
    /// The number of the next machine.
    pub next_machine_number: u64,
    /// The machines that exist, by id.
    pub machines: BTreeMap<String, CloudMachine>,
    /// The machines provisioned for each request id. A repeated request returns the same machines.
    pub machines_by_request: BTreeMap<String, Vec<String>>,
    /// How long a new machine takes to boot.
    pub boot_ms: Ms,
    /// The largest number of machines that may exist.
    pub capacity: usize,
}

impl Cloud {
    /// Adds a machine and returns its id.
    pub fn create_machine(&mut self, now: Ms, request: &ProvisionRequest, boot_ms: Ms) -> String {
        let id = machine_id(self.next_machine_number);
        self.next_machine_number += 1;
        let machine = CloudMachine {
            request: request.clone(),
            created_at: now,
            ready_at: now + boot_ms,
        };
        self.machines.insert(id.clone(), machine);
        id
    }

    /// Handles one HTTP request.
    pub fn handle_request(&mut self, now: Ms, path: &str, body: &[u8]) -> HttpResponse {
        match path.split('?').next().unwrap_or("") {
            "/catalog" => HttpResponse::ok(encode(&self.catalog)),
            "/hosts/delete" => self.delete_machines(body),
            "/hosts" if body.is_empty() => self.list_machines(now, path),
            "/hosts" => self.provision_machines(now, body),
            _ => HttpResponse::error(400, "malformed"),
        }
    }

    fn delete_machines(&mut self, body: &[u8]) -> HttpResponse {
        let request = match decode::<MachineIds>(body) {
            Ok(request) => request,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        for id in &request.machine_ids {
            self.machines.remove(id);
        }
        HttpResponse::ok(vec![EMPTY_MAP])
    }

    fn list_machines(&self, now: Ms, path: &str) -> HttpResponse {
        let since = query_parameter(path, "since").unwrap_or("");
        let limit = query_parameter(path, "limit").and_then(|limit| limit.parse().ok());
        let limit = limit
            .unwrap_or(MAX_MACHINES_PER_PAGE)
            .min(MAX_MACHINES_PER_PAGE);
        let later = self.machines.iter().filter(|(id, _)| id.as_str() > since);
        let page = later.take(limit + 1);
        let mut machines: Vec<ListedMachine> = page
            .map(|(id, machine)| machine.to_listed(id, now))
            .collect();
        let has_more = machines.len() > limit;
        machines.truncate(limit);
        HttpResponse::ok(encode(&MachineListPage { machines, has_more }))
    }

    fn provision_machines(&mut self, now: Ms, body: &[u8]) -> HttpResponse {
        let request = match decode::<ProvisionRequest>(body) {
            Ok(request) => request,
            Err(error) => return HttpResponse::error(400, &error.to_string()),
        };
        if let Some(machine_ids) = self.machines_by_request.get(&request.request_id).cloned() {
            return HttpResponse::ok(encode(&MachineIds { machine_ids }));
        }
        let free_capacity = self.capacity.saturating_sub(self.machines.len());
        let count = free_capacity.min(request.count as usize);
        if count == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let boot_ms = self.boot_ms;
        let machine_ids: Vec<String> = (0..count)
            .map(|_| self.create_machine(now, &request, boot_ms))
            .collect();
        self.machines_by_request
            .insert(request.request_id, machine_ids.clone());
        HttpResponse::ok(encode(&MachineIds { machine_ids }))
    }
}
