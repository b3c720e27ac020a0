//! Users: they submit, ask again, cancel, and remember what they were told.
use super::event::SimulationEvent;
use super::malformed::MalformedRequest;
use super::Simulation;
use crate::stand_ins::Ms;
use std::collections::BTreeSet;
use stonegw_wire::http::Request;
use stonegw_wire::msg::*;

/// After the troubles no job's questions go unanswered for longer.
const UNANSWERED_LIMIT_MS: Ms = 75_000;
const USER_POLL_INTERVAL_MS: Ms = 2_000;
/// How soon after an answer the close looks follow.
const READ_AFTER_WRITE_DELAYS_MS: [Ms; 3] = [1, 4, 9];

/// What users know of a job.
pub struct SubmittedJob {
    pub spec: JobSpec,
    pub task_run_ms: Ms,
    /// Its tasks fail on every machine.
    pub tasks_fail: bool,
    pub is_accepted: bool,
    pub reported_end: Option<JobPhase>,
    pub cancel_requested: bool,
    pub reported_cancelled_at: Option<Ms>,
    /// Its user cancels so much after the end of its last task.
    pub cancel_after_end_ms: Option<Ms>,
    pub finished_tasks: BTreeSet<u32>,
    /// When it was first submitted.
    pub submitted_at: Ms,
    /// The attempts that workers began.
    pub started_attempts: BTreeSet<u64>,
    /// When each run of a gang started, and what progress of it is safe.
    pub gang_start_times: Vec<Ms>,
    pub saved_progress_ms: Ms,
    pub(super) request_in_flight: Option<u64>,
    pub submission_status: u16,
    /// When a question about it was last answered.
    pub last_answered_at: Ms,
    /// When its first task started, or all tasks of a gang.
    pub started_at: Option<Ms>,
    /// When its user was told that it has ended.
    pub(super) reported_end_at: Option<Ms>,
    /// Since when tasks of it wait, none starts and one could.
    pub(super) starved_since: Option<Ms>,
}

impl SubmittedJob {
    /// A job that is about to be submitted.
    fn new(spec: JobSpec, task_run_ms: Ms, now: Ms) -> SubmittedJob {
        SubmittedJob {
            spec,
            task_run_ms,
            tasks_fail: false,
            is_accepted: false,
            reported_end: None,
            cancel_requested: false,
            reported_cancelled_at: None,
            cancel_after_end_ms: None,
            finished_tasks: BTreeSet::new(),
            submitted_at: now,
            started_attempts: BTreeSet::new(),
            gang_start_times: vec![],
            saved_progress_ms: 0,
            request_in_flight: None,
            submission_status: 0,
            last_answered_at: now,
            started_at: None,
            reported_end_at: None,
            starved_since: None,
        }
    }

    /// Accepted, not ended, and its user wants it.
    pub(super) fn is_active(&self) -> bool {
        self.is_accepted && self.reported_end.is_none() && !self.cancel_requested
    }

    /// Its submission was answered with a status that is not retried.
    fn is_rejected(&self) -> bool {
        let client_error =
            (400..500).contains(&self.submission_status) && self.submission_status != 429;
        client_error && !self.is_accepted
    }
}

/// Who waits for the answer to a request.
pub(super) enum Requester {
    Worker(String),
    Submit(String),
    Poll(String),
    Cancel(String),
    LogOnly,
    /// What kind of odd request, about which job, and when it was asked.
    Malformed(MalformedRequest, String, Ms),
}

impl Simulation {
    /// A user submits a job whose tasks run so long.
    pub fn submit_job(&mut self, spec: JobSpec, run_ms: Ms) {
        let id = spec.id.clone();
        let job = SubmittedJob::new(spec, run_ms, self.now);
        self.jobs.insert(id.clone(), job);
        self.schedule(self.now, SimulationEvent::UserWakeup(id));
    }

    pub(super) fn advance_user(&mut self, id: &str) {
        let now = self.now;
        self.schedule(
            now + USER_POLL_INTERVAL_MS,
            SimulationEvent::UserWakeup(id.into()),
        );
        self.check_unanswered(id);
        if self.jobs.get(id).is_none_or(SubmittedJob::is_rejected) {
            return;
        }
        if let Some(node) = self.next_balanced_node() {
            self.send_user_request(id, node);
        }
    }

    fn check_unanswered(&mut self, id: &str) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let since = self.faults_over_at.map(|calm| calm.max(j.last_answered_at));
        if j.is_accepted && since.is_some_and(|s| now > s + UNANSWERED_LIMIT_MS) {
            j.last_answered_at = now;
            self.record_violation(format!("forgotten {id}: no question answered for 75 s"));
        }
    }

    /// Where the load balancer sends the next question.
    pub fn next_balanced_node(&mut self) -> Option<usize> {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some())
            .collect();
        if alive.is_empty() {
            return None;
        }
        self.load_balancer_turn += 1;
        Some(alive[(self.load_balancer_turn + self.load_balancer_turn / alive.len()) % alive.len()])
    }

    /// The user asks to cancel in this moment, at that node first.
    pub fn cancel_job_now(&mut self, id: &str, node: usize) {
        self.jobs.get_mut(id).expect("job").cancel_requested = true;
        self.send_user_request(id, node);
    }

    /// The user's next request: the submission until accepted, then the cancel, then questions.
    fn send_user_request(&mut self, id: &str, node: usize) {
        let ask = self.allocate_request_id();
        let j = self.jobs.get_mut(id).expect("job");
        let old = j.request_in_flight.replace(ask);
        let path = format!("/submissions/{id}");
        let (asker, method, path, body) = if !j.is_accepted {
            let body = encode(&j.spec);
            (
                Requester::Submit(id.into()),
                "POST",
                "/submissions".into(),
                body,
            )
        } else if j.cancel_requested && j.reported_cancelled_at.is_none() {
            let path = format!("{path}/cancel");
            (Requester::Cancel(id.into()), "POST", path, vec![])
        } else {
            (Requester::Poll(id.into()), "GET", path, vec![])
        };
        if let Some(old) = old {
            self.pending_requests.remove(&old);
        }
        self.pending_requests.insert(ask, asker);
        self.send_request(ask, node, method, &path, body);
    }

    /// Asks about a job from outside; the answer lands in the log.
    pub fn send_probe_request(&mut self, node: usize, method: &str, path: &str) {
        let ask = self.allocate_request_id();
        self.pending_requests.insert(ask, Requester::LogOnly);
        self.send_request(ask, node, method, path, vec![]);
    }

    /// The number of a new request to the nodes.
    pub(super) fn allocate_request_id(&mut self) -> u64 {
        self.next_request_id += 1;
        self.next_request_id
    }

    pub(super) fn send_request(
        &mut self,
        ask: u64,
        node: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            connection_close: false,
            body,
        };
        self.schedule(
            self.now + self.network_latency_ms,
            SimulationEvent::RequestArrival {
                request_id: ask,
                node,
                request,
            },
        );
    }

    /// The answer to a request arrives, if anybody waits for it.
    pub(super) fn handle_reply(&mut self, ask: u64, status: u16, body: &[u8]) {
        let Some(asker) = self.pending_requests.remove(&ask) else {
            return;
        };
        match asker {
            Requester::Worker(id) => self.handle_heartbeat_reply(&id, ask, status, body),
            Requester::Malformed(kind, job, asked) => {
                self.check_malformed_reply(kind, &job, asked, status, body)
            }
            Requester::LogOnly => self.append_log(format!("probe answered {status}")),
            Requester::Submit(id) => self.handle_submit_reply(&id, status),
            Requester::Poll(id) | Requester::Cancel(id) => {
                self.handle_status_reply(&id, status, body)
            }
        }
    }

    fn handle_submit_reply(&mut self, id: &str, status: u16) {
        let j = self.jobs.get_mut(id).expect("job");
        j.submission_status = status;
        if matches!(status, 200 | 201) && !j.is_accepted {
            j.is_accepted = true;
            self.append_log(format!("{id} accepted with {status}"));
            self.schedule_read_after_write_checks(id);
        }
    }

    fn handle_status_reply(&mut self, id: &str, status: u16, body: &[u8]) {
        if status == 404 {
            return self.record_violation(format!("forgotten {id}"));
        }
        let answer = decode::<JobStatus>(body).ok();
        let Some(answer) = answer.filter(|_| status == 200) else {
            return;
        };
        let j = self.jobs.get_mut(id).expect("job");
        j.last_answered_at = self.now;
        match j.reported_end {
            Some(was) if was != answer.phase => {
                let text = format!("went_back {id} from {was:?} to {:?}", answer.phase);
                self.record_violation(text);
            }
            None if matches!(answer.phase, JobPhase::Done | JobPhase::Cancelled) => {
                self.record_reported_end(id, answer.phase);
            }
            _ => {}
        }
    }

    /// Right after an answer, questions and repeated submissions reach all nodes: none may answer
    /// something older.
    fn schedule_read_after_write_checks(&mut self, id: &str) {
        if self
            .read_after_write_checks_until
            .is_none_or(|until| self.now >= until)
        {
            return;
        }
        for lag in READ_AFTER_WRITE_DELAYS_MS {
            for kind in ["look", "repeat"] {
                let line = ["odd", "all", kind, id];
                self.schedule_line_after(lag, line.map(str::to_owned).to_vec());
            }
        }
    }

    /// The user is told for the first time that the job has ended.
    fn record_reported_end(&mut self, id: &str, state: JobPhase) {
        let now = self.now;
        let j = self.jobs.get_mut(id).expect("job");
        j.reported_end = Some(state);
        j.reported_end_at = Some(now);
        if state == JobPhase::Cancelled {
            j.reported_cancelled_at = Some(now);
            self.is_any_job_cancelled = true;
        }
        let missing = j.finished_tasks.len() < j.spec.task_count as usize;
        let asked = j.cancel_requested;
        self.append_log(format!("{id} is told {state:?}"));
        self.schedule_read_after_write_checks(id);
        if state == JobPhase::Done && missing {
            self.record_violation(format!("not_done {id}"));
        }
        if state == JobPhase::Cancelled && !asked {
            self.record_violation(format!("went_back {id}: nobody cancelled it"));
        }
    }
}
