//! A stand-in for the cloud. It has no machine to give; it lists and deletes those that are up.
use crate::http::{serve, Handler, Reply, Request};
use crate::msgpack::{map, s, V};
use crate::rec;
use crate::worker::Worker;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A machine type.
#[derive(Clone)]
pub struct Build {
    pub sku: &'static str,
    pub cpus: f64,
    pub mem_gb: f64,
    pub ready_s: f64,
    pub yards: Vec<&'static str>,
}

pub struct Cloud {
    builds: Vec<Build>,
    workers: Vec<Arc<Worker>>,
    list_lag: Duration,
    deleted: Mutex<Vec<(String, Instant)>>,
}

impl Cloud {
    pub fn new(builds: Vec<Build>, workers: Vec<Arc<Worker>>, list_lag_s: f64) -> Arc<Cloud> {
        let list_lag = Duration::from_secs_f64(list_lag_s);
        Arc::new(Cloud {
            builds,
            workers,
            list_lag,
            deleted: Mutex::new(vec![]),
        })
    }

    pub fn address(self: &Arc<Cloud>) -> String {
        let cloud = self.clone();
        let handler: Handler = Arc::new(move |request: &Request| cloud.handle(request));
        serve(handler)
    }

    fn handle(&self, request: &Request) -> Option<Reply> {
        std::thread::sleep(Duration::from_millis(50));
        match (request.method.as_str(), request.route()) {
            ("GET", "/catalog") => {
                let build = |build: &Build| {
                    map(&[
                        ("sku", s(build.sku)),
                        ("cpus", V::Float(build.cpus)),
                        ("cards", V::Float(0.0)),
                        ("memGb", V::Float(build.mem_gb)),
                        ("cacheGb", V::Float(60.0)),
                        ("fetchGbPerS", V::Float(1.0)),
                        ("hourly", V::Float(0.5)),
                        ("lowPrice", V::Float(0.2)),
                        ("readyS", V::Float(build.ready_s)),
                        (
                            "yards",
                            V::List(build.yards.iter().map(|yard| s(yard)).collect()),
                        ),
                    ])
                };
                Some((
                    200,
                    map(&[("builds", V::List(self.builds.iter().map(build).collect()))]),
                ))
            }
            ("GET", "/hosts") => {
                let deleted = self.deleted.lock().unwrap();
                let is_listed = |worker: &&Arc<Worker>| {
                    let mut gone = deleted.iter().filter(|(name, _)| *name == worker.name);
                    gone.all(|(_, at)| at.elapsed() < self.list_lag)
                        && worker.name > request.param("since")
                };
                let row = |worker: &Arc<Worker>| {
                    map(&[
                        ("uid", s(&worker.name)),
                        ("addr", s(&worker.addr)),
                        ("build", s(&worker.build)),
                        ("yard", s(&worker.yard)),
                        ("loaners", V::Bool(false)),
                        (
                            "phase",
                            s(if worker.has_begun() {
                                "running"
                            } else {
                                "booting"
                            }),
                        ),
                        (
                            "heldS",
                            V::Float(
                                crate::record::now() + if worker.is_late { 5.0 } else { 300.0 },
                            ),
                        ),
                    ])
                };
                let rows = self.workers.iter().filter(is_listed).map(row).collect();
                Some((
                    200,
                    map(&[("hearths", V::List(rows)), ("hasNext", V::Bool(false))]),
                ))
            }
            ("POST", "/hosts") => Some((503, map(&[("error", s("no capacity"))]))),
            ("POST", "/hosts/delete") => {
                for name in V::decode(&request.body)?.list("hearths") {
                    let V::Str(name) = name else { continue };
                    if let Some(worker) = self.workers.iter().find(|worker| worker.name == name) {
                        rec!("cloud: {name} is deleted; on it {:?}", worker.present());
                        worker.end();
                        self.deleted.lock().unwrap().push((name, Instant::now()));
                    }
                }
                Some((200, map(&[])))
            }
            _ => Some((400, map(&[("error", s("malformed"))]))),
        }
    }

    pub fn deleted(&self) -> Vec<String> {
        self.deleted
            .lock()
            .unwrap()
            .iter()
            .map(|(name, _)| name.clone())
            .collect()
    }
}
