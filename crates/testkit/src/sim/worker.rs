//! A worker's own turns: its lease, its tasks, its reports.
use super::event::SimulationEvent;
use super::user::Requester;
use super::{job_id_of, parse_task_name, Simulation, HEARTBEAT_INTERVAL_MS, WORKER_LEASE_MS};
use crate::stand_ins::{Ms, TaskKey, Worker};
use std::collections::BTreeMap;
use stonegw_wire::http::Request;
use stonegw_wire::msg::*;

/// A worker waits so long for the answer to a report, and so long before it tries another node.
const HEARTBEAT_TIMEOUT_MS: Ms = 4_000;
pub(super) const HEARTBEAT_RETRY_MS: Ms = 1_000;
/// Reports about changes are at least so far apart.
const MIN_HEARTBEAT_GAP_MS: Ms = 500;
/// A worker looks at itself each time this has passed since it was up.
const WORKER_STEP_MS: Ms = 100;

/// A report as a request to a node.
fn heartbeat_request(report: &Heartbeat) -> Request {
    Request {
        method: "POST".into(),
        path: "/agent/beat".into(),
        connection_close: false,
        body: encode(report),
    }
}

fn is_fault_active(faults: &BTreeMap<String, Ms>, id: &str, now: Ms) -> bool {
    faults.get(id).is_some_and(|until| now < *until)
}

impl Worker {
    /// When it next has something to do by itself.
    fn next_wakeup(&self) -> Ms {
        let tasks = self.tasks.values();
        let busy = tasks.filter(|t| {
            matches!(
                t.state,
                TaskState::Fetching | TaskState::WaitingForGang | TaskState::Running
            )
        });
        let next_task = busy.map(|t| t.state_ends_at).min();
        let contact = match self.heartbeat_in_flight {
            Some((_, sent)) => sent + HEARTBEAT_TIMEOUT_MS,
            None if self.has_unreported_changes => {
                self.next_heartbeat_at.min(self.change_heartbeat_due_at())
            }
            None => self.next_heartbeat_at,
        };
        let lease_end = self.lease_renewed_at + WORKER_LEASE_MS;
        contact.min(lease_end).min(next_task.unwrap_or(Ms::MAX))
    }

    /// When it may report a change.
    fn change_heartbeat_due_at(&self) -> Ms {
        (self.next_heartbeat_at + MIN_HEARTBEAT_GAP_MS).saturating_sub(HEARTBEAT_INTERVAL_MS)
    }

    fn is_heartbeat_due(&self, now: Ms) -> bool {
        let due = now >= self.next_heartbeat_at
            || (self.has_unreported_changes && now >= self.change_heartbeat_due_at());
        self.heartbeat_in_flight.is_none() && due
    }
}

impl Simulation {
    pub(super) fn run_worker(&mut self, id: &str) {
        let now = self.now;
        let Some(w) = self.workers.get(id) else {
            return;
        };
        if now < w.hung_until {
            let until = w.hung_until;
            return self.schedule_worker_wakeup(id, until);
        }
        // Seen before the turn: a report right after the worker turned to another node fares as
        // it would have at the old one.
        let unheard = self.is_node_partitioned_from_zone(w.heartbeat_node, &w.zone);
        self.expire_worker_lease(id);
        self.start_fetched_tasks(id);
        self.finish_due_tasks(id);
        self.time_out_heartbeat(id);
        if self
            .workers
            .get(id)
            .is_some_and(|w| w.is_heartbeat_due(now))
        {
            self.send_heartbeat(id, unheard);
        }
        if let Some(w) = self.workers.get(id) {
            let next = w.next_wakeup();
            self.schedule_worker_wakeup(id, next.max(now + 1));
        }
    }

    fn expire_worker_lease(&mut self, id: &str) {
        let now = self.now;
        let w = self.workers.get_mut(id).expect("worker");
        if now >= w.lease_renewed_at + WORKER_LEASE_MS {
            w.begin_new_incarnation(now);
            self.append_log(format!("{id} loses its session"));
        }
    }

    /// Tasks whose image is there start.
    fn start_fetched_tasks(&mut self, id: &str) {
        let now = self.now;
        let tasks = self.workers[id].tasks.iter();
        let ready = tasks.filter(|(_, t)| t.state == TaskState::Fetching && now >= t.state_ends_at);
        let ready: Vec<TaskKey> = ready.map(|(key, _)| key.clone()).collect();
        for key in ready {
            self.handle_image_ready(id, &key);
        }
    }

    /// Tasks whose time is over exit: those that ran are done, those that waited for their gang
    /// give up.
    fn finish_due_tasks(&mut self, id: &str) {
        let now = self.now;
        let mut done = vec![];
        let w = self.workers.get_mut(id).expect("worker");
        for ((task, _), t) in w.tasks.iter_mut().filter(|(_, t)| now >= t.state_ends_at) {
            match t.state {
                TaskState::Running if self.jobs[job_id_of(task)].tasks_fail => {
                    t.exit(ExitCause::Error)
                }
                TaskState::Running => {
                    t.exit(ExitCause::Done);
                    done.push(task.clone());
                }
                TaskState::WaitingForGang => t.exit(ExitCause::GangIncomplete),
                _ => continue,
            }
            w.has_unreported_changes = true;
        }
        for task in done {
            self.record_task_done(&task);
        }
    }

    /// Counts a task as done; if it was the last of its job, its user may cancel now.
    pub(super) fn record_task_done(&mut self, task: &str) {
        let (job, index) = parse_task_name(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        let ended =
            j.finished_tasks.insert(index) && j.finished_tasks.len() == j.spec.task_count as usize;
        if let Some(lag) = j.cancel_after_end_ms.filter(|_| ended) {
            let line = ["cancel-now", job, "any"];
            self.schedule_line_after(lag, line.map(str::to_owned).to_vec());
        }
    }

    /// A report unanswered for too long: the next node is tried.
    fn time_out_heartbeat(&mut self, id: &str) {
        let (now, nodes) = (self.now, self.nodes.len());
        let w = self.workers.get_mut(id).expect("worker");
        let Some((ask, _)) = w
            .heartbeat_in_flight
            .filter(|f| now >= f.1 + HEARTBEAT_TIMEOUT_MS)
        else {
            return;
        };
        w.heartbeat_in_flight = None;
        w.heartbeat_node = (w.heartbeat_node + 1) % nodes;
        w.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
        self.pending_requests.remove(&ask);
    }

    fn send_heartbeat(&mut self, id: &str, apart: bool) {
        let now = self.now;
        let ask = self.allocate_request_id();
        let w = self.workers.get_mut(id).expect("worker");
        w.has_unreported_changes = false;
        w.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        w.heartbeat_in_flight = Some((ask, now));
        let (node, report) = (w.heartbeat_node, w.build_heartbeat(now));
        let unheard = apart
            || is_fault_active(&self.machine_partitioned_until, id, now)
            || is_fault_active(&self.heartbeats_dropped_until, id, now);
        if !unheard {
            self.pending_requests
                .insert(ask, Requester::Worker(id.into()));
            let request = heartbeat_request(&report);
            self.schedule(
                now + self.network_latency_ms,
                SimulationEvent::RequestArrival {
                    request_id: ask,
                    node,
                    request,
                },
            );
        }
        self.send_heartbeat_copy(id, node, &report);
    }

    /// A copy of the report arrives late at another node, if a fault says so.
    fn send_heartbeat_copy(&mut self, id: &str, node: usize, report: &Heartbeat) {
        let next = (node + 1) % self.nodes.len();
        let copy = self.heartbeat_copy_delay_ms.get(id).map(|lag| (*lag, next));
        let Some((lag, node)) = copy.or_else(|| self.next_heartbeat_duplicate()) else {
            return;
        };
        let ask = self.allocate_request_id();
        self.pending_requests.insert(ask, Requester::LogOnly);
        let request = heartbeat_request(report);
        self.schedule(
            self.now + lag,
            SimulationEvent::RequestArrival {
                request_id: ask,
                node,
                request,
            },
        );
    }

    /// The worker looks at itself at the next step of its own from then on, if not before.
    pub(super) fn schedule_worker_wakeup(&mut self, id: &str, when: Ms) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let ahead = when.max(now).saturating_sub(w.up_since);
        let at = w.up_since + ahead.div_ceil(WORKER_STEP_MS) * WORKER_STEP_MS;
        if at < w.next_wakeup_at || w.next_wakeup_at <= now {
            w.next_wakeup_at = at;
            self.schedule(at, SimulationEvent::WorkerWakeup(id.into(), at));
        }
    }

    /// The answer to a worker's report.
    pub(super) fn handle_heartbeat_reply(&mut self, id: &str, ask: u64, status: u16, body: &[u8]) {
        let now = self.now;
        let deaf = is_fault_active(&self.machine_partitioned_until, id, now)
            || is_fault_active(&self.machine_unreachable_until, id, now);
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let deaf = deaf || now < w.hung_until;
        let Some((_, sent)) = w.heartbeat_in_flight.filter(|f| f.0 == ask && !deaf) else {
            return;
        };
        w.heartbeat_in_flight = None;
        self.schedule_worker_wakeup(id, now);
        if status != 200 {
            return self.follow_heartbeat_redirect(id, body);
        }
        let Ok(orders) = decode::<CommandBatch>(body) else {
            return;
        };
        let w = self.workers.get_mut(id).expect("seen");
        if orders.fencing_token < w.fencing_token {
            return;
        }
        w.observe_fencing_token(orders.fencing_token);
        w.lease_renewed_at = sent;
        self.execute_commands(id, orders.commands);
    }

    /// The worker turns to the node that it is told, or else to the next.
    fn follow_heartbeat_redirect(&mut self, id: &str, body: &[u8]) {
        let (now, nodes) = (self.now, self.nodes.len());
        let named = decode::<Redirect>(body).ok().and_then(|r| r.target_node);
        let number = named.and_then(|n| n.strip_prefix("node-")?.parse().ok());
        let w = self.workers.get_mut(id).expect("worker");
        let other = number.filter(|n| *n != w.heartbeat_node);
        w.heartbeat_node = other.unwrap_or((w.heartbeat_node + 1) % nodes);
        w.next_heartbeat_at = now + HEARTBEAT_RETRY_MS;
    }
}
