//! A small deployment: the controllers, the platform's stand-ins and the users.
use crate::controllers::Controllers;
use crate::fleet::{Fleet, Job, Kind, Times};
use crate::http::call;
use crate::record::Record;
use crate::store::{Limits, Store};
use crate::value::{map, Value};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Plan {
    pub nodes: usize,
    pub zone: &'static str,
    pub kinds: Vec<Kind>,
    pub times: Times,
    pub cancel_s: f64,
    pub limits: Limits,
    /// Lines of `[deployment.state.next]`.
    pub next_limits: Option<&'static str>,
    /// Name, guaranteed CPUs and most CPUs of each team.
    pub teams: Vec<(&'static str, f64, f64)>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub controllers: Controllers,
    /// The addresses for users.
    pub clients: Vec<String>,
}

/// An answer to a user: the status and the body.
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// What a user submits.
pub struct Submission {
    pub id: String,
    pub crew: &'static str,
    pub shape: &'static str,
    pub urgency: &'static str,
    pub tasks: u64,
    pub cpus: f64,
    pub memory_gb: f64,
    pub run_s: Option<f64>,
    pub due_s: Option<f64>,
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn addr(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

/// A port that is free now; the controller binds it. The ports are below those that the system
/// gives to connections, so that none of these takes one meanwhile.
fn free_port() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(37) + NEXT.fetch_add(1, Ordering::SeqCst);
        let addr = format!("127.0.0.1:{}", 20_000 + number % 9_000);
        if TcpListener::bind(&addr).is_ok() {
            return addr;
        }
    }
}

impl World {
    pub fn start(plan: &Plan, folder: &str, record: Arc<Record>) -> World {
        let stores: Vec<TcpListener> = (0..plan.nodes).map(|_| listen()).collect();
        let store_addrs: Vec<String> = stores.iter().map(addr).collect();
        let cloud = listen();
        let cloud_addr = addr(&cloud);
        let clients: Vec<String> = (0..plan.nodes).map(|_| free_port()).collect();
        let peers: Vec<String> = (0..plan.nodes).map(|_| free_port()).collect();
        let name = |node: usize| format!("hearth-{node}");
        let settings = (0..plan.nodes).map(|node| {
            let mut text = format!(
                "node = \"{}\"\nsite = \"{}\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n\n",
                name(node), plan.zone, clients[node], peers[node]
            );
            for other in (0..plan.nodes).filter(|other| *other != node) {
                text += &format!(
                    "[[known]]\nnode = \"{}\"\nsite = \"{}\"\nendpoint = \"{}\"\n\n",
                    name(other), plan.zone, peers[other]
                );
            }
            text += &format!(
                "[external]\ncloud = \"{cloud_addr}\"\nstate = \"{}\"\n\n[deployment]\ncount = {}\nzones = [\"{}\"]\ntime_bound_ms = 1000.0\n\n",
                store_addrs[node], plan.nodes, plan.zone
            );
            for (team, cpus, cpus_max) in &plan.teams {
                text += &format!(
                    "[[deployment.teams]]\nname = \"{team}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n\n"
                );
            }
            text += &format!(
                "[deployment.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = 35.0\ngang_peer_s = 8.0\ncancel_s = {:.1}\n\n",
                plan.times.report_s, plan.times.lease_s, plan.cancel_s
            );
            text += &format!(
                "[deployment.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = {:.1}\ntxn_ops = {}\n\n",
                plan.limits.rps,
                plan.limits.write_rps,
                plan.limits.value_bytes as f64 / 1024.0,
                plan.limits.txn_ops
            );
            if let Some(next) = plan.next_limits {
                text += &format!("[deployment.state.next]\n{next}\n\n");
            }
            text + "[deployment.cloud]\nrps = 1.5\nlist_lag_s = 12.0\n\n[deployment.limits]\ncpu_share = 0.16\nram_mb = 72.0\nmax_sockets = 1500\n"
        });
        let controllers = Controllers::new(folder, settings.collect(), record.clone());
        let store = Store::start(plan.limits, stores, record.clone());
        let nodes = controllers
            .names
            .iter()
            .cloned()
            .zip(clients.iter().cloned())
            .collect();
        let fleet = Fleet::new(record.clone(), plan.times, plan.kinds.clone(), nodes, cloud);
        for node in 0..plan.nodes {
            controllers.start(node);
        }
        World {
            record,
            store,
            fleet,
            controllers,
            clients,
        }
    }

    /// Waits until all controllers are healthy and one of them leads.
    pub fn await_healthy(&self, seconds: f64) -> bool {
        let until = self.record.now() + seconds;
        while self.record.now() < until {
            let healthy = |client: &String| {
                let timeout = Duration::from_secs(1);
                call(client, "GET", "/healthz", &[], timeout)
                    .is_some_and(|(status, _)| status == 200)
            };
            if self.clients.iter().all(healthy) && self.store.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The number of the node that leads.
    pub fn leader(&self) -> Option<usize> {
        let name = self.store.leader()?;
        self.controllers
            .names
            .iter()
            .position(|other| *other == name)
    }

    fn ask(&self, node: usize, method: &str, path: &str, body: &[u8], timeout: f64) -> Answer {
        let timeout = Duration::from_secs_f64(timeout);
        let answer = call(&self.clients[node], method, path, body, timeout);
        let (status, body) = answer.unwrap_or((0, vec![]));
        let body = Value::decode(&body).unwrap_or(Value::Nil);
        self.record.line(&format!(
            "user -> hearth-{node}: {method} {path} -> {status} {}",
            body.json()
        ));
        Answer { status, body }
    }

    pub fn poll(&self, node: usize, id: &str) -> Answer {
        self.ask(node, "GET", &format!("/submissions/{id}"), &[], 2.0)
    }

    pub fn submit_once(&self, node: usize, job: &Submission) -> Answer {
        self.fleet.jobs.lock().unwrap().insert(
            job.id.clone(),
            Job {
                cpus: job.cpus,
                memory_gb: job.memory_gb,
                tasks: job.tasks,
                run_s: job.run_s,
            },
        );
        let body = map(vec![
            ("uid", job.id.clone().into()),
            ("lane", "review".into()),
            ("crew", job.crew.into()),
            ("shape", job.shape.into()),
            ("urgency", job.urgency.into()),
            ("pieces", job.tasks.into()),
            ("cpus", job.cpus.into()),
            ("cards", 0.0.into()),
            ("memGb", job.memory_gb.into()),
            ("bundle", "img-01".into()),
            ("pullGb", 0.2.into()),
            ("builds", Value::Nil),
            ("yard", Value::Nil),
            ("oneZone", false.into()),
            ("spread", false.into()),
            ("loaners", false.into()),
            ("expectS", job.run_s.unwrap_or(0.0).into()),
            ("markEveryS", 0.0.into()),
            ("markCostS", 0.0.into()),
            ("dueS", job.due_s.map_or(Value::Nil, Value::Num)),
        ]);
        self.ask(node, "POST", "/submissions", &body.encode(), 5.0)
    }

    /// Submits a job as a user does: for up to 60 s, at one node after the other.
    pub fn submit(&self, job: &Submission) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        let mut node = job.id.bytes().map(usize::from).sum::<usize>();
        while Instant::now() < until {
            let answer = self.submit_once(node % self.clients.len(), job);
            match answer.status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
            node += 1;
        }
        false
    }
}
