//! The state service, the cloud and the workers, as the protocol describes them.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_wire::msg::*;

pub type Ms = u64;
pub type Answer = (u16, Vec<u8>);

/// Machines on one page of the list at most (the protocol's limit).
const LIST_MAX: usize = 500;

fn error(status: u16, why: &str) -> Answer {
    (status, encode(&ErrorBody { error: why.into() }))
}

// ---- State service ------------------------------------------------------------------------

#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    leases: BTreeMap<u64, (Ms, Ms)>,
    next_lease: u64,
    log: Vec<(u64, Change<Value>)>,
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, q) = path.split_once('?')?;
    q.split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl State {
    pub fn expire(&mut self, now: Ms) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| now >= l.0)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.end(*id);
        }
        !over.is_empty()
    }

    /// After an outage every lease has its full time again.
    pub fn outage_over(&mut self, now: Ms) {
        for l in self.leases.values_mut() {
            l.0 = now + l.1;
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.log.push((
                self.revision,
                Change::Delete {
                    key,
                    version: self.revision,
                },
            ));
        }
    }

    pub fn changes(&self, prefix: &str, since: u64) -> Changes<Value> {
        let first = self.log.partition_point(|(r, _)| *r <= since);
        let events = self.log[first..]
            .iter()
            .filter(|(_, c)| {
                let (Change::Put { key, .. } | Change::Delete { key, .. }) = c;
                key.starts_with(prefix)
            })
            .map(|(_, c)| c.clone())
            .collect();
        Changes {
            revision: self.revision,
            events,
        }
    }

    /// `None`: a watch that has to wait.
    pub fn handle(&mut self, now: Ms, method: &str, path: &str, body: &[u8]) -> Option<Answer> {
        let bare = path.split('?').next().unwrap_or("");
        Some(match (method, bare) {
            ("GET", "/kv") => {
                let prefix = query(path, "prefix").unwrap_or("");
                let since = query(path, "since").unwrap_or("");
                let limit: usize = query(path, "limit")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(1000);
                let mut items: Vec<Entry<Value>> = self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
                    .map(|(k, (v, version, lease))| Entry {
                        key: k.clone(),
                        value: v.clone(),
                        version: *version,
                        lease: *lease,
                    })
                    .collect();
                let more = items.len() > limit;
                items.truncate(limit);
                (
                    200,
                    encode(&Listing {
                        items,
                        more,
                        revision: self.revision,
                    }),
                )
            }
            ("GET", "/changes") => {
                let since: u64 = query(path, "since")
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(0);
                let c = self.changes(query(path, "prefix").unwrap_or(""), since);
                let hold: Ms = query(path, "holdMs")
                    .and_then(|h| h.parse().ok())
                    .unwrap_or(0);
                if c.events.is_empty() && hold > 0 {
                    return None;
                }
                (200, encode(&c))
            }
            ("GET", p) if p.starts_with("/kv/") => match self.keys.get(&p[4..]) {
                Some((v, version, lease)) => (
                    200,
                    encode(&Entry {
                        key: p[4..].into(),
                        value: v.clone(),
                        version: *version,
                        lease: *lease,
                    }),
                ),
                None => error(404, "none"),
            },
            ("POST", "/multi") => self.multi(body),
            ("POST", "/grants") => match decode::<LeaseRequest>(body) {
                Ok(r) => {
                    self.next_lease += 1;
                    self.leases
                        .insert(self.next_lease, (now + r.ttl_ms, r.ttl_ms));
                    (
                        200,
                        encode(&LeaseAnswer {
                            lease: self.next_lease,
                        }),
                    )
                }
                Err(e) => error(400, &e),
            },
            (_, p) if p.starts_with("/grants/") => {
                let id = p[8..]
                    .split('/')
                    .next()
                    .and_then(|i| i.parse().ok())
                    .unwrap_or(0);
                match self.leases.get_mut(&id) {
                    None => error(404, "no such lease"),
                    Some(_) if method == "DELETE" => {
                        self.end(id);
                        (200, vec![0x80])
                    }
                    Some(l) => {
                        l.0 = now + l.1;
                        (200, vec![0x80])
                    }
                }
            }
            _ => error(400, "malformed"),
        })
    }

    fn multi(&mut self, body: &[u8]) -> Answer {
        let txn: Txn<Value> = match decode(body) {
            Ok(t) => t,
            Err(e) => return error(400, &e),
        };
        for w in &txn.writes {
            if let Write::Put { lease: Some(l), .. } = w {
                if !self.leases.contains_key(l) {
                    return error(400, "no such lease");
                }
            }
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                encode(&TxnAnswer {
                    revision: self.revision,
                    failed,
                }),
            );
        }
        self.revision += 1;
        for w in txn.writes {
            let change = match w {
                Write::Put { key, value, lease } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, lease));
                    Change::Put {
                        key,
                        value,
                        version: self.revision,
                    }
                }
                Write::Delete { key } => {
                    self.keys.remove(&key);
                    Change::Delete {
                        key,
                        version: self.revision,
                    }
                }
            };
            self.log.push((self.revision, change));
        }
        (
            200,
            encode(&TxnAnswer {
                revision: self.revision,
                failed: vec![],
            }),
        )
    }
}

// ---- Workers ------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Task {
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<ExitCause>,
    pub until: Ms,
}

pub struct Worker {
    pub id: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub node: usize,
    /// When the last answered report was sent, or the session began.
    pub renewed: Ms,
    pub next_report: Ms,
    pub changed: bool,
    /// The report in flight: request number and when it was sent.
    pub flying: Option<(u64, Ms)>,
    pub tasks: BTreeMap<String, Task>,
    pub images: BTreeSet<String>,
    /// Seconds' notice it reports.
    pub notice_s: Option<f64>,
    /// Its steps count from here; the next at which it looks at itself.
    pub grid: Ms,
    pub turn_at: Ms,
    /// It stands still until then, with all its tasks.
    pub hangs_until: Ms,
}

pub fn addr_of(id: &str) -> String {
    format!("{id}:1")
}

impl Worker {
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.id.clone(),
            addr: addr_of(&self.id),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self.notice_s,
            tasks: self
                .tasks
                .iter()
                .map(|(task, t)| TaskReport {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: None,
                })
                .collect(),
        }
    }

    pub fn saw(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.changed = true;
        }
    }

    /// The lease ran out: everything is killed and forgotten.
    pub fn lose_session(&mut self, now: Ms) {
        self.session += 1;
        self.tasks.clear();
        self.renewed = now;
        self.flying = None;
        self.changed = true;
    }

    pub fn on_machine(&self, task: &str) -> bool {
        let t = self.tasks.get(task);
        t.is_some_and(|t| matches!(t.state, TaskState::Running | TaskState::Saving))
    }
}

// ---- Cloud --------------------------------------------------------------------------------

pub struct Cloud {
    pub catalog: Catalog,
    pub next: u64,
    /// Machines that exist: booting until then.
    pub machines: BTreeMap<String, (Hire, Ms, Ms)>,
    pub answered: BTreeMap<String, Vec<String>>,
    pub boot_ms: Ms,
    pub capacity: usize,
}

impl Cloud {
    pub fn create(&mut self, now: Ms, hire: &Hire, boot_ms: Ms) -> String {
        let id = format!("host-{:06}", self.next);
        self.next += 1;
        self.machines
            .insert(id.clone(), (hire.clone(), now, now + boot_ms));
        id
    }

    pub fn handle(&mut self, now: Ms, path: &str, body: &[u8]) -> Answer {
        match path.split('?').next().unwrap_or("") {
            "/catalog" => (200, encode(&self.catalog)),
            "/hosts/delete" => match decode::<Machines>(body) {
                Ok(names) => {
                    for id in names.machines {
                        self.machines.remove(&id);
                    }
                    (200, vec![0x80])
                }
                Err(e) => error(400, &e),
            },
            "/hosts" if body.is_empty() => {
                let since = query(path, "since").unwrap_or("");
                let limit = query(path, "limit").and_then(|l| l.parse().ok());
                let limit = limit.unwrap_or(LIST_MAX).min(LIST_MAX);
                let mut machines: Vec<ListedMachine> = self
                    .machines
                    .iter()
                    .filter(|(id, _)| id.as_str() > since)
                    .take(limit + 1)
                    .map(|(id, (h, born, up))| ListedMachine {
                        id: id.clone(),
                        addr: Some(addr_of(id)),
                        machine_type: h.machine_type.clone(),
                        zone: h.zone.clone(),
                        spot: h.spot,
                        state: if now >= *up {
                            MachineState::Running
                        } else {
                            MachineState::Booting
                        },
                        age_s: (now - born) as f64 / 1e3,
                    })
                    .collect();
                let more = machines.len() > limit;
                machines.truncate(limit);
                (200, encode(&MachineList { machines, more }))
            }
            "/hosts" => match decode::<Hire>(body) {
                Ok(h) => {
                    if let Some(machines) = self.answered.get(&h.request) {
                        return (
                            200,
                            encode(&Machines {
                                machines: machines.clone(),
                            }),
                        );
                    }
                    let room = self.capacity.saturating_sub(self.machines.len());
                    let n = room.min(h.count as usize);
                    if n == 0 {
                        return error(503, "no capacity");
                    }
                    let boot = self.boot_ms;
                    let machines: Vec<String> =
                        (0..n).map(|_| self.create(now, &h, boot)).collect();
                    self.answered.insert(h.request.clone(), machines.clone());
                    (200, encode(&Machines { machines }))
                }
                Err(e) => error(400, &e),
            },
            _ => error(400, "malformed"),
        }
    }
}
