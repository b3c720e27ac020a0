//! The cases. Each returns what was broken, or nothing.
use crate::cloud::{Build, Cloud};
use crate::cluster::{cancel, poll, set, sleep_s, submission, submit, wait_for, Deployment, Node};
use crate::http::call;
use crate::msgpack::s;
use crate::proxy::Proxy;
use crate::rec;
use crate::record;
use crate::store::{Limits, Store};
use crate::worker::{Answer, Jobs, SeenByAll, Spec, Times, Worker};
use std::sync::Arc;
use std::time::Duration;

pub fn run(case: &str, folder: &str, trouble: bool) -> Option<String> {
    match case {
        "held-start" => held_start(folder, trouble),
        "stale-node" => stale_node(folder, trouble),
        "isolated-leader" => isolated_leader(folder, trouble),
        "history" => history(folder, trouble),
        "uncleared" => uncleared(folder, trouble),
        other => crate::cannot_run(&format!("no such case: {other}")),
    }
}

/// A deployment with all its stand-ins. Every link between two zones has a proxy of its own.
struct Site {
    nodes: Vec<Node>,
    workers: Vec<Arc<Worker>>,
    /// For each worker, the nodes as it reaches them, and the first that it reports to.
    reached_by: Vec<(Vec<(String, String)>, usize)>,
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    jobs: Jobs,
    seen: SeenByAll,
    /// The links between different zones.
    between_zones: Vec<Arc<Proxy>>,
    /// The links of the first node to the other nodes and to the state service.
    of_first_node: Vec<Arc<Proxy>>,
}

/// The machines of a site: name, zone, and the number of the node that it reports to first.
type Machines = [(&'static str, &'static str, usize)];

impl Site {
    fn new(
        folder: &str,
        deployment: &Deployment,
        builds: Vec<Build>,
        yards: &[&'static str],
        machines: &Machines,
    ) -> Site {
        let nodes: Vec<Node> = yards
            .iter()
            .enumerate()
            .map(|(number, yard)| Node::new(number, yard, folder))
            .collect();
        let mut between_zones = vec![];
        let (jobs, seen) = (Jobs::default(), SeenByAll::default());
        let mut workers = vec![];
        for (name, yard, _) in machines {
            let build = &builds[0];
            let (cpus, mem_gb, is_late) = (build.cpus, build.mem_gb, *name == "host-000020");
            let spec = Spec {
                name,
                build: build.sku,
                yard,
                cpus,
                mem_gb,
                is_late,
            };
            // Commands come from the leader, which is in the first node's zone.
            let crosses = *yard != yards[0];
            let (sender, receiver) = std::sync::mpsc::channel();
            let route = Box::new(move |addr: &str| {
                if !crosses {
                    return addr.to_owned();
                }
                let proxy = Proxy::new(addr);
                let _ = sender.send(proxy.clone());
                proxy.addr.clone()
            });
            workers.push(Worker::new(
                spec,
                deployment.times,
                jobs.clone(),
                seen.clone(),
                route,
            ));
            between_zones.extend(receiver.try_iter());
        }
        let store = Store::new(nodes.len(), deployment.limits);
        let cloud = Cloud::new(builds, workers.clone(), deployment.list_lag_s);
        let cloud_addr = cloud.address();
        let mut of_first_node = vec![];
        for (number, node) in nodes.iter().enumerate() {
            let mut known = vec![];
            for other in nodes.iter().filter(|other| other.name != node.name) {
                let proxy = Proxy::new(&other.cluster);
                if other.yard != node.yard {
                    between_zones.push(proxy.clone());
                }
                if node.name == nodes[0].name || other.name == nodes[0].name {
                    of_first_node.push(proxy.clone());
                }
                let endpoint = proxy.addr.clone();
                known.push((other.name.clone(), other.yard, endpoint));
            }
            let mut state = store.address(number);
            if number == 0 {
                let proxy = Proxy::new(&state);
                state = proxy.addr.clone();
                of_first_node.push(proxy);
            }
            node.write_settings(deployment, &known, &cloud_addr, &state);
        }
        let mut reached_by = vec![];
        for (_, yard, first) in machines {
            let mut reached = vec![];
            for node in &nodes {
                let addr = if node.yard == *yard {
                    node.client.clone()
                } else {
                    let proxy = Proxy::new(&node.client);
                    between_zones.push(proxy.clone());
                    proxy.addr.clone()
                };
                reached.push((node.name.clone(), addr));
            }
            reached_by.push((reached, *first));
        }
        Site {
            nodes,
            workers,
            reached_by,
            store,
            cloud,
            jobs,
            seen,
            between_zones,
            of_first_node,
        }
    }

    /// Starts the nodes, the first one alone until it leads, and then the workers.
    fn start(&self) {
        self.nodes[0].start();
        wait_for("hearth-0 leads", 15.0, || self.store.leader().is_some());
        self.nodes[1..].iter().for_each(Node::start);
        wait_for("all nodes are healthy", 15.0, || {
            self.nodes.iter().all(Node::is_healthy)
        });
        // By then every node knows the leader, and a worker stays with its first node.
        sleep_s(4.0);
        for (worker, (reached, first)) in self.workers.iter().zip(&self.reached_by) {
            if worker.is_late {
                continue;
            }
            worker.begin(reached.clone(), *first);
        }
    }

    fn users_of(&self, numbers: &[usize]) -> Vec<&Node> {
        numbers.iter().map(|number| &self.nodes[*number]).collect()
    }

    fn running_of(&self, job: &str) -> usize {
        self.workers
            .iter()
            .map(|worker| worker.running_of(job))
            .sum()
    }

    /// Ends the run as not possible if a controller has ended by itself.
    fn expect_all_up(&self) {
        for node in &self.nodes {
            if node.has_ended() {
                crate::cannot_run(&format!("{} has ended by itself", node.name));
            }
        }
    }
}

/// The settings of the lamp deployment: two zones, three controllers.
fn lamps() -> Deployment {
    Deployment {
        zones: vec!["san-jose", "liberia"],
        teams: vec![
            ("field-crew", 24.0, 64.0),
            ("grid-ops", 48.0, 96.0),
            ("cuentas", 40.0, 72.0),
        ],
        times: Times {
            report_s: 3.0,
            lease_s: 26.0,
            cancel_s: 51.0,
        },
        limits: Limits {
            rps: 80.0,
            write_rps: 25.0,
            value_kb: 8.0,
            txn_ops: 8,
        },
        cloud_rps: 5.0,
        list_lag_s: 4.0,
        cpu_share: 0.064,
        ram_mb: 72.0,
        max_sockets: 1000,
        time_bound_ms: 100.0,
    }
}

fn farol() -> Build {
    Build {
        sku: "farol",
        cpus: 4.0,
        mem_gb: 16.0,
        ready_s: 50.0,
        yards: vec!["san-jose", "liberia"],
    }
}

/// Rule `ran_cancelled`, in its second half: what is on a machine, or starts there, more than
/// `cancel_s` after the user was told that the job is cancelled.
fn ran_cancelled(site: &Site, job: &str, told_at: f64, cancel_s: f64) -> Option<String> {
    let seen = site.seen.lock().unwrap();
    let of_job = |piece: &str| piece.rsplit_once('/').is_some_and(|(name, _)| name == job);
    let late = seen.runs.iter().find(|run| {
        of_job(&run.piece)
            && (run.from > told_at + cancel_s
                || run.to.unwrap_or(record::now()) > told_at + cancel_s)
    })?;
    Some(format!(
        "ran_cancelled: {} was on {} from {:.1} to {} s; its user was told at {told_at:.1} s that it is cancelled, and cancel_s is {cancel_s}",
        late.piece,
        late.machine,
        late.from,
        late.to.map_or("the end".into(), |to| format!("{to:.1}"))
    ))
}

/// Two zones can't reach each other for 60 s, and what is on its way between them is held back. A
/// start command is under way then; its job is cancelled.
fn held_start(folder: &str, trouble: bool) -> Option<String> {
    let deployment = lamps();
    let machines = [
        ("host-000001", "san-jose", 0),
        ("host-000002", "liberia", 1),
    ];
    let site = Site::new(
        folder,
        &deployment,
        vec![farol()],
        &["san-jose", "liberia", "san-jose"],
        &machines,
    );
    site.start();
    let users = site.users_of(&[0, 2]);
    // A service in Liberia: the machine there has its image, and the leader a connection to it.
    let mut spec = submission("run-000001", "field-crew", "standing", 1, 2.0, 4.6);
    set(&mut spec, "yard", s("liberia"));
    submit(&users, &site.jobs, &spec, None);
    wait_for("the service in Liberia runs", 25.0, || {
        site.running_of("run-000001") == 1
    });
    sleep_s(2.0);
    if trouble {
        rec!("the zones can't reach each other from now on");
        site.between_zones.iter().for_each(|link| link.hold());
    }
    let cut_at = record::now();
    sleep_s(0.3);
    set(&mut spec, "uid", s("run-000002"));
    submit(&users, &site.jobs, &spec, None);
    sleep_s(1.5);
    let (phase, told_at) = cancel(&users, "run-000002");
    if phase != "withdrawn" {
        crate::cannot_run("the job was not cancelled");
    }
    sleep_s(cut_at + 60.0 - record::now());
    if trouble {
        rec!("the zones reach each other again");
        site.between_zones.iter().for_each(|link| link.pass());
    }
    sleep_s(8.0);
    site.expect_all_up();
    ran_cancelled(&site, "run-000002", told_at, deployment.times.cancel_s)
}

/// The settings of the invitations deployment: one zone, three controllers.
fn invitations() -> Deployment {
    Deployment {
        zones: vec!["riga-east"],
        teams: vec![
            ("guest-desk", 24.0, 56.0),
            ("print-room", 48.0, 112.0),
            ("daugava-events", 0.0, 0.0),
        ],
        times: Times {
            report_s: 3.0,
            lease_s: 24.0,
            cancel_s: 54.0,
        },
        limits: Limits {
            rps: 150.0,
            write_rps: 60.0,
            value_kb: 8.0,
            txn_ops: 32,
        },
        cloud_rps: 1.5,
        list_lag_s: 12.0,
        cpu_share: 0.16,
        ram_mb: 72.0,
        max_sockets: 1500,
        time_bound_ms: 1000.0,
    }
}

fn sprite() -> Build {
    Build {
        sku: "sprite",
        cpus: 4.0,
        mem_gb: 32.0,
        ready_s: 50.0,
        yards: vec!["riga-east"],
    }
}

/// One node is refused by the state service for 45 s, and the leader is gone for longer than that.
fn stale_node(folder: &str, trouble: bool) -> Option<String> {
    let deployment = invitations();
    let yard = "riga-east";
    // Six machines report to the follower that will be refused, seven to the other one.
    let names = [
        "host-000001",
        "host-000002",
        "host-000003",
        "host-000004",
        "host-000005",
        "host-000006",
        "host-000007",
        "host-000008",
        "host-000009",
        "host-000010",
        "host-000011",
        "host-000012",
        "host-000013",
    ];
    let machines: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(i, name)| (*name, yard, if i < 6 { 2 } else { 1 }))
        .collect();
    let site = Site::new(folder, &deployment, vec![sprite()], &[yard; 3], &machines);
    site.start();
    let users = site.users_of(&[1]);
    let mut spec = submission("run-000001", "guest-desk", "standing", 26, 2.0, 2.5);
    set(&mut spec, "lane", s("rsvp-front"));
    submit(&users, &site.jobs, &spec, None);
    wait_for("all replicas run", 40.0, || {
        site.running_of("run-000001") == 26
    });
    sleep_s(4.0);
    let (leader, old_term) = site.store.leader()?;
    if leader != "hearth-0" {
        crate::cannot_run("hearth-0 does not lead");
    }
    let refused = 2;
    if trouble {
        site.store.refuse(refused, true);
        sleep_s(2.0);
        site.nodes[0].end();
    }
    sleep_s(43.0);
    if trouble {
        site.store.refuse(refused, false);
    }
    sleep_s(2.0);
    site.expect_all_up();
    stale_answers(&site, trouble, old_term)
}

/// A node that is not entitled to act must answer 421 or 503: no worker may get 200 with an old token
/// later than 5 s after workers got a newer one.
fn stale_answers(site: &Site, trouble: bool, old_term: u64) -> Option<String> {
    let seen = site.seen.lock().unwrap();
    let new_term = seen.answers.iter().map(|answer| answer.baton).max()?;
    if trouble && new_term <= old_term {
        crate::cannot_run("no new leader answered a worker");
    }
    let begun = seen
        .answers
        .iter()
        .find(|answer| answer.baton == new_term)?
        .at;
    let is_stale = |answer: &&Answer| {
        answer.status == 200 && answer.baton < new_term && answer.at > begun + 5.0
    };
    let stale: Vec<_> = seen.answers.iter().filter(is_stale).collect();
    let deleted = site.cloud.deleted();
    rec!(
        "{} stale answers; deleted machines: {deleted:?}",
        stale.len()
    );
    let (first, last) = (stale.first()?, stale.last()?);
    Some(format!(
        "a stale node: hearth-{} answered 200 with token {} until {:.1} s, {:.1} s after workers had token {new_term} ({} answers, the first at {:.1} s); machines deleted meanwhile: {deleted:?}",
        last.node,
        last.baton,
        last.at,
        last.at - begun,
        stale.len(),
        first.at
    ))
}

/// The answer to one command is held up for 5 s. Then a guest's huge array of short tasks runs on the
/// machine, beside an always-on service.
fn uncleared(folder: &str, trouble: bool) -> Option<String> {
    let deployment = invitations();
    let g8 = Build {
        sku: "g8",
        cpus: 96.0,
        mem_gb: 768.0,
        ready_s: 45.0,
        yards: vec!["riga-east"],
    };
    let site = Site::new(
        folder,
        &deployment,
        vec![g8],
        &["riga-east"; 3],
        &[("host-000001", "riga-east", 0)],
    );
    site.start();
    if trouble {
        site.workers[0].hold_answers(Duration::from_secs(5), 1);
    }
    let users = site.users_of(&[0, 1, 2]);
    let mut spec = submission("run-000001", "guest-desk", "standing", 1, 2.0, 2.5);
    set(&mut spec, "lane", s("rsvp-front"));
    submit(&users, &site.jobs, &spec, None);
    wait_for("the service runs", 25.0, || {
        site.running_of("run-000001") == 1
    });
    sleep_s(6.0);
    let mut spec = submission("run-000002", "daugava-events", "sweep", 25_000, 0.25, 0.45);
    set(&mut spec, "lane", s("festival-mailout"));
    set(&mut spec, "urgency", s("low"));
    set(&mut spec, "bundle", s("img-02"));
    set(&mut spec, "expectS", crate::msgpack::V::Float(4.0));
    submit(&users, &site.jobs, &spec, Some(4.0));
    // Until the service has been killed, by the end of a lease or with its machine.
    let killed = || {
        let seen = site.seen.lock().unwrap();
        seen.runs
            .iter()
            .any(|run| run.piece.starts_with("run-000001/") && run.to.is_some())
    };
    let until = record::now() + 85.0;
    while record::now() < until && !killed() {
        sleep_s(0.2);
    }
    site.expect_all_up();
    rec!("phase of the array: {:?}", poll(&users, "run-000002"));
    let lost = killed();
    let seen = site.seen.lock().unwrap();
    let (bytes, json) = seen
        .largest_report
        .get("host-000001")
        .copied()
        .unwrap_or_default();
    let refused: Vec<f64> = seen
        .answers
        .iter()
        .filter(|answer| answer.status == 413)
        .map(|answer| answer.at)
        .collect();
    rec!(
        "largest report: {bytes} bytes, {json} as JSON; reports answered 413: {}",
        refused.len()
    );
    if !lost || refused.is_empty() {
        return None;
    }
    let end = match seen.expired.first() {
        Some((_, tasks, at)) => format!(
            "its lease expired at {at:.1} s, and {} tasks were killed",
            tasks.len()
        ),
        None => format!("the leader had it deleted: {:?}", site.cloud.deleted()),
    };
    Some(format!(
        "unanswered: {} reports of host-000001 (up to {bytes} bytes) were answered 413 from {:.1} s on; {end}, the service among them",
        refused.len(),
        refused[0]
    ))
}

/// The leader is cut from the state service and the other controllers for 46 s; workers and users
/// still reach it. A new machine comes up meanwhile.
fn isolated_leader(folder: &str, trouble: bool) -> Option<String> {
    let mut deployment = invitations();
    deployment.teams.push(("helpline", 48.0, 96.0));
    let yard = "riga-east";
    let names: Vec<String> = (1..=20).map(|number| format!("host-{number:06}")).collect();
    let names: Vec<&'static str> = names.into_iter().map(|name| &*name.leak()).collect();
    // Nine machines report to the leader, ten to the others. The last one comes up later.
    let first = |i: usize| if i < 9 || i == 19 { 0 } else { 1 + i % 2 };
    let machines: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(i, name)| (*name, yard, first(i)))
        .collect();
    let site = Site::new(folder, &deployment, vec![sprite()], &[yard; 3], &machines);
    site.start();
    let users = site.users_of(&[1, 2]);
    let mut spec = submission("run-000001", "helpline", "standing", 38, 2.0, 2.5);
    set(&mut spec, "lane", s("rsvp-front"));
    submit(&users, &site.jobs, &spec, None);
    wait_for("all replicas run", 40.0, || {
        site.running_of("run-000001") == 38
    });
    sleep_s(4.0);
    let (leader, old_term) = site.store.leader()?;
    if leader != "hearth-0" {
        crate::cannot_run("hearth-0 does not lead");
    }
    let cut_at = record::now();
    if trouble {
        rec!("hearth-0 reaches neither the state service nor the other nodes from now on");
        site.of_first_node.iter().for_each(|link| link.hold());
    }
    sleep_s(8.3);
    rec!("host-000020 comes up");
    let (reached, first) = &site.reached_by[19];
    site.workers[19].begin(reached.clone(), *first);
    sleep_s(cut_at + 46.0 - record::now());
    if trouble {
        site.of_first_node.iter().for_each(|link| link.pass());
    }
    sleep_s(2.0);
    site.expect_all_up();
    stale_answers(&site, trouble, old_term)
}

/// The service has taken and ended as many jobs as come in 35 hours (TROUBLE=0: in one hour) at the usual
/// rate. Then all controllers crash and come back, as they do on any day. The platform ends a process that
/// is over its memory and starts it again.
fn history(folder: &str, trouble: bool) -> Option<String> {
    let mut deployment = invitations();
    deployment.teams = vec![
        ("guest-desk", 250.0, 600.0),
        ("print-room", 500.0, 1200.0),
        ("helpline", 500.0, 1000.0),
    ];
    deployment.times.report_s = 4.0;
    let mut spec_service = submission("run-000001", "guest-desk", "standing", 1, 2.0, 2.5);
    let mut spec_array = submission("run-000002", "guest-desk", "sweep", 2, 2.0, 3.7);
    set(&mut spec_service, "lane", s("rsvp-front"));
    set(&mut spec_array, "lane", s("card-render"));
    let machines = [
        ("host-000001", "riga-east", 0),
        ("host-000002", "riga-east", 1),
    ];
    let site = Site::new(
        folder,
        &deployment,
        vec![sprite()],
        &["riga-east"; 5],
        &machines,
    );
    site.start();
    let users = site.users_of(&[0, 1, 2, 3, 4]);
    submit(&users, &site.jobs, &spec_service, None);
    submit(&users, &site.jobs, &spec_array, Some(1.0));
    set(&mut spec_service, "uid", s("run-000003"));
    submit(&users, &site.jobs, &spec_service, None);
    wait_for("the array is done", 40.0, || {
        poll(&users, "run-000002").1 == "done"
    });
    cancel(&users, "run-000001");
    sleep_s(1.0);
    let (cancelled, done) = (
        site.store.value("c/j/run-000001")?,
        site.store.value("c/j/run-000002")?,
    );
    rec!(
        "a cancelled service as the controllers store it: {}",
        cancelled.json()
    );
    rec!(
        "an array that is done as the controllers store it: {}",
        done.json()
    );
    site.nodes.iter().for_each(Node::end);
    // 59 services and 12 arrays a minute.
    let minutes = if trouble { 35 * 60 } else { 60 };
    let ended = (0..minutes * 71).map(|i| {
        let record = if i % 71 < 59 { &cancelled } else { &done };
        (format!("c/j/run-{:06}", 100_000 + i), record.clone())
    });
    site.store.fill(ended);
    rec!("the state service holds {} ended jobs more", minutes * 71);
    sleep_s(4.0);
    site.nodes.iter().for_each(Node::start);
    let began_at = record::now();
    let mut ends = 0;
    let mut back_at = [f64::MAX; 5];
    set(&mut spec_service, "uid", s("run-000004"));
    let mut accepted_at = None;
    let mut next_try = 0.0;
    let mut turn = 0;
    while record::now() < began_at + 75.0 {
        sleep_s(0.1);
        for (node, back_at) in site.nodes.iter().zip(&mut back_at) {
            let memory_mb = node.memory_mb();
            if memory_mb > deployment.ram_mb {
                rec!(
                    "{} holds {memory_mb:.1} MB, more than its {} MB",
                    node.name,
                    deployment.ram_mb
                );
                node.end();
                ends += 1;
                *back_at = record::now() + 4.0;
            } else if record::now() > *back_at {
                *back_at = f64::MAX;
                node.start();
            }
        }
        // A user submits a new job, again and again, at one node after the other.
        if record::now() > next_try && accepted_at.is_none() {
            next_try = record::now() + 1.0;
            turn += 1;
            let node = &site.nodes[turn % 5];
            let answer = call(
                &node.client,
                "POST",
                "/submissions",
                Some(&spec_service),
                Duration::from_secs(1),
            );
            rec!(
                "user: POST /submissions of run-000004 at {}: {answer:?}",
                node.name
            );
            if answer.is_some_and(|(status, _)| status == 201 || status == 200) {
                accepted_at = Some(record::now());
            }
        }
    }
    rec!("{ends} ends for memory; the new job was accepted at {accepted_at:?}");
    let lost = site
        .seen
        .lock()
        .unwrap()
        .runs
        .iter()
        .any(|run| run.piece == "run-000003/0" && run.to.is_some());
    (ends > 0 && accepted_at.is_none()).then(|| {
        format!(
            "crash: controllers were over their {} MB {ends} times within 75 s of their start; a new job was refused for as long, {turn} times; the service that ran before was killed: {lost}",
            deployment.ram_mb
        )
    })
}
