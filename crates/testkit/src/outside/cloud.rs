//! The cloud: rents, lists and deletes machines.
use super::{addr_of, error, query, Answer, Ms};
use std::collections::BTreeMap;
use stonegw_wire::msg::*;

/// Machines on one page of the list at most (the protocol's limit).
const LIST_MAX: usize = 500;

fn listed(now: Ms, (id, (hire, born, up)): (&String, &(Hire, Ms, Ms))) -> ListedMachine {
    let state = match now >= *up {
        true => MachineState::Running,
        false => MachineState::Booting,
    };
    ListedMachine {
        id: id.clone(),
        addr: Some(addr_of(id)),
        machine_type: hire.machine_type.clone(),
        zone: hire.zone.clone(),
        spot: hire.spot,
        state,
        age_s: (now - born) as f64 / 1e3,
    }
}

/// The machines that are rented.
pub struct Cloud {
    pub catalog: Catalog,
    /// The number of the next machine.
    pub next: u64,
    /// Machines that exist: what was asked for, since when, and until when they boot.
    pub machines: BTreeMap<String, (Hire, Ms, Ms)>,
    /// The machines given for each request name.
    pub answered: BTreeMap<String, Vec<String>>,
    pub boot_ms: Ms,
    pub capacity: usize,
}

impl Cloud {
    /// One more machine; its name.
    pub fn create(&mut self, now: Ms, hire: &Hire, boot_ms: Ms) -> String {
        let id = format!("host-{:06}", self.next);
        self.next += 1;
        self.machines
            .insert(id.clone(), (hire.clone(), now, now + boot_ms));
        id
    }

    /// One request.
    pub fn handle(&mut self, now: Ms, path: &str, body: &[u8]) -> Answer {
        match path.split('?').next().unwrap_or("") {
            "/catalog" => (200, encode(&self.catalog)),
            "/hosts/delete" => self.delete(body),
            "/hosts" if body.is_empty() => self.list(now, path),
            "/hosts" => self.hire(now, body),
            _ => error(400, "malformed"),
        }
    }

    fn delete(&mut self, body: &[u8]) -> Answer {
        match decode::<Machines>(body) {
            Ok(names) => {
                names.machines.iter().for_each(|id| {
                    self.machines.remove(id);
                });
                (200, vec![0x80])
            }
            Err(e) => error(400, &e),
        }
    }

    fn list(&self, now: Ms, path: &str) -> Answer {
        let since = query(path, "since").unwrap_or("");
        let limit = query(path, "limit").and_then(|l| l.parse().ok());
        let limit = limit.unwrap_or(LIST_MAX).min(LIST_MAX);
        let after = self.machines.iter().filter(|(id, _)| id.as_str() > since);
        let page = after.take(limit + 1);
        let mut machines: Vec<ListedMachine> = page.map(|m| listed(now, m)).collect();
        let more = machines.len() > limit;
        machines.truncate(limit);
        (200, encode(&MachineList { machines, more }))
    }

    fn hire(&mut self, now: Ms, body: &[u8]) -> Answer {
        let hire = match decode::<Hire>(body) {
            Ok(h) => h,
            Err(e) => return error(400, &e),
        };
        if let Some(machines) = self.answered.get(&hire.request).cloned() {
            return (200, encode(&Machines { machines }));
        }
        let room = self.capacity.saturating_sub(self.machines.len());
        let count = room.min(hire.count as usize);
        if count == 0 {
            return error(503, "no capacity");
        }
        let boot = self.boot_ms;
        let new = (0..count).map(|_| self.create(now, &hire, boot));
        let machines: Vec<String> = new.collect();
        self.answered.insert(hire.request, machines.clone());
        (200, encode(&Machines { machines }))
    }
}
