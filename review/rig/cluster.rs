//! The project's controllers as processes on loopback addresses, and users who call them.
use crate::http::call;
use crate::msgpack::{map, s, V};
use crate::rec;
use crate::record;
use crate::store::Limits;
use crate::worker::{Job, Jobs, Times};
use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The settings that all nodes share.
pub struct Deployment {
    pub zones: Vec<&'static str>,
    /// Name, guaranteed CPUs and most CPUs.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub times: Times,
    pub limits: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub max_sockets: u32,
    pub time_bound_ms: f64,
}

pub struct Node {
    pub name: String,
    pub yard: &'static str,
    pub client: String,
    pub cluster: String,
    process: Mutex<Option<Child>>,
    settings: PathBuf,
    log: PathBuf,
}

/// A free address on the loopback interface, with a port below those that the system gives to
/// outgoing connections.
fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 15_000 + (std::process::id() * 97 + number) % 15_000;
        let addr = format!("127.0.0.1:{port}");
        if TcpListener::bind(&addr).is_ok() {
            return addr;
        }
        if number > 10_000 {
            crate::cannot_run("no free port");
        }
    }
}

impl Node {
    pub fn new(number: usize, yard: &'static str, folder: &str) -> Node {
        let (client, cluster) = (free_address(), free_address());
        let name = format!("hearth-{number}");
        let folder = PathBuf::from(folder);
        Node {
            settings: folder.join(format!("{name}.toml")),
            log: folder.join(format!("{name}.log")),
            name,
            yard,
            client,
            cluster,
            process: Mutex::new(None),
        }
    }

    /// Writes the settings file. `known` are the others: name, zone and the address under which this
    /// node reaches them.
    pub fn write_settings(
        &self,
        deployment: &Deployment,
        known: &[(String, &str, String)],
        cloud: &str,
        state: &str,
    ) {
        let Deployment {
            zones,
            teams,
            times,
            limits,
            ..
        } = deployment;
        let mut text = format!(
            "node = \"{}\"\nsite = \"{}\"\nclient_listen = \"{}\"\ncluster_listen = \"{}\"\n\n",
            self.name, self.yard, self.client, self.cluster
        );
        for (name, yard, endpoint) in known {
            text += &format!(
                "[[known]]\nnode = \"{name}\"\nsite = \"{yard}\"\nendpoint = \"{endpoint}\"\n\n"
            );
        }
        text += &format!("[external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n");
        text += &format!(
            "[deployment]\ncount = {}\nzones = {zones:?}\ntime_bound_ms = {:?}\n\n",
            known.len() + 1,
            deployment.time_bound_ms
        );
        for (name, cpus, most) in teams {
            text += &format!(
                "[[deployment.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {most:?}\ngpus = 0.0\ngpus_max = 0.0\n\n"
            );
        }
        text += &format!(
            "[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ncancel_s = {:?}\n\n",
            times.report_s, times.lease_s, times.cancel_s
        );
        text += &format!(
            "[deployment.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n",
            limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops
        );
        text += &format!(
            "[deployment.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[deployment.limits]\ncpu_share = {:?}\nram_mb = {:?}\nmax_sockets = {}\n",
            deployment.cloud_rps, deployment.list_lag_s, deployment.cpu_share, deployment.ram_mb, deployment.max_sockets
        );
        fs::write(&self.settings, text).expect("the settings file");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let deploy = fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.expect("a run command").split_whitespace();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log file");
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .arg(&self.settings)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| {
                crate::cannot_run(&format!("cannot start {}: {error}", self.name))
            });
        rec!("{} starts", self.name);
        // `run.sh` ends the processes in this list that are still there.
        let pids = self.settings.with_file_name("pids");
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(pids)
            .expect("the list of processes");
        let _ = writeln!(pids, "{}", child.id());
        *self.process.lock().unwrap() = Some(child);
    }

    /// Ends the process at once.
    pub fn end(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            rec!("{} is killed", self.name);
            let _ = (child.kill(), child.wait());
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        match &mut *self.process.lock().unwrap() {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// What the process holds in memory, in MB.
    pub fn memory_mb(&self) -> f64 {
        let process = self.process.lock().unwrap();
        let Some(child) = &*process else { return 0.0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let kb = status.lines().find_map(|line| {
            line.strip_prefix("VmRSS:")?
                .trim()
                .strip_suffix(" kB")?
                .parse::<f64>()
                .ok()
        });
        kb.unwrap_or(0.0) / 1024.0
    }

    pub fn is_healthy(&self) -> bool {
        let answer = call(
            &self.client,
            "GET",
            "/healthz",
            None,
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until `ready`, for `seconds` at most; ends the run as not possible after that.
pub fn wait_for(what: &str, seconds: f64, mut ready: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while !ready() {
        if Instant::now() > until {
            crate::cannot_run(&format!("in vain waited for: {what}"));
        }
        sleep_s(0.02);
    }
    rec!("ready: {what}");
}

/// A submission. Further fields can be changed by name.
pub fn submission(uid: &str, crew: &str, shape: &str, pieces: u64, cpus: f64, mem_gb: f64) -> V {
    map(&[
        ("uid", s(uid)),
        (
            "lane",
            s(if shape == "standing" {
                "lamp-watch"
            } else {
                "dimming-plan"
            }),
        ),
        ("crew", s(crew)),
        ("shape", s(shape)),
        (
            "urgency",
            s(if shape == "standing" {
                "high"
            } else {
                "normal"
            }),
        ),
        ("pieces", V::Uint(pieces)),
        ("cpus", V::Float(cpus)),
        ("cards", V::Float(0.0)),
        ("memGb", V::Float(mem_gb)),
        ("bundle", s("img-01")),
        ("pullGb", V::Float(1.0)),
        ("builds", V::Nil),
        ("yard", V::Nil),
        ("oneZone", V::Bool(false)),
        ("spread", V::Bool(false)),
        ("loaners", V::Bool(false)),
        (
            "expectS",
            V::Float(if shape == "standing" { 0.0 } else { 25.0 }),
        ),
        ("markEveryS", V::Float(0.0)),
        ("markCostS", V::Float(0.0)),
        ("dueS", V::Nil),
    ])
}

pub fn set(spec: &mut V, field: &str, value: V) {
    if let V::Map(fields) = spec {
        for (name, old) in fields {
            if name == field {
                *old = value.clone();
            }
        }
    }
}

/// A user's request, repeated as the pages say, until it gets one of these answers.
fn ask(
    nodes: &[&Node],
    method: &str,
    path: &str,
    body: Option<&V>,
    timeout_s: f64,
    ends: &[u16],
) -> (u16, V, f64) {
    let until = record::now() + 60.0;
    let mut turn = 0;
    loop {
        let node = nodes[turn % nodes.len()];
        turn += 1;
        let answer = call(
            &node.client,
            method,
            path,
            body,
            Duration::from_secs_f64(timeout_s),
        );
        match &answer {
            Some((status, body)) => rec!(
                "user: {method} {path} at {}: {status} {}",
                node.name,
                body.json()
            ),
            None => rec!("user: {method} {path} at {}: no answer", node.name),
        }
        if let Some((status, body)) = answer {
            if ends.contains(&status) {
                return (status, body, record::now());
            }
        }
        if record::now() > until {
            return (0, V::Nil, record::now());
        }
        sleep_s(1.0);
    }
}

/// Submits a job whose tasks run for `run_s`; returns the status.
pub fn submit(nodes: &[&Node], jobs: &Jobs, spec: &V, run_s: Option<f64>) -> u16 {
    let job = Job {
        cpus: spec.float("cpus").unwrap_or(0.0),
        mem_gb: spec.float("memGb").unwrap_or(0.0),
        image: spec.text("bundle"),
        run_s,
    };
    rec!("user: submits {}", spec.json());
    jobs.lock().unwrap().insert(spec.text("uid"), job);
    ask(
        nodes,
        "POST",
        "/submissions",
        Some(spec),
        5.0,
        &[200, 201, 400, 422],
    )
    .0
}

/// Cancels a job; returns the phase that was told and when.
pub fn cancel(nodes: &[&Node], uid: &str) -> (String, f64) {
    let (_, body, at) = ask(
        nodes,
        "POST",
        &format!("/submissions/{uid}/cancel"),
        None,
        5.0,
        &[200],
    );
    (body.text("phase"), at)
}

/// Asks about a job; returns status and phase.
pub fn poll(nodes: &[&Node], uid: &str) -> (u16, String) {
    let (status, body, _) = ask(
        nodes,
        "GET",
        &format!("/submissions/{uid}"),
        None,
        2.0,
        &[200, 404],
    );
    (status, body.text("phase"))
}
