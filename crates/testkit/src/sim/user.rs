//! Users: they submit, ask again, cancel, and remember what they were told.
use super::event::{FollowUp, SimulationEvent};
use super::requests::Requester;
use super::simulation::Simulation;
use crate::stand_ins::{Ms, SubmittedJob};
use stonegw_wire::http::Request;
use stonegw_wire::msg::{decode, encode, JobPhase, JobSpec, JobStatus};

/// After the faults no job's questions go unanswered for longer.
const UNANSWERED_LIMIT_MS: Ms = 75_000;
const USER_POLL_INTERVAL_MS: Ms = 2_000;
/// How soon after a reply its checks follow.
const READ_AFTER_WRITE_DELAYS_MS: [Ms; 3] = [1, 4, 9];

/// A request of a user.
pub(super) fn user_request(method: &str, path: &str, body: Vec<u8>) -> Request {
    Request {
        method: method.into(),
        path: path.into(),
        connection_close: false,
        body,
    }
}

/// What a job's user sends next.
struct NextRequest {
    requester: Requester,
    request: Request,
}

impl NextRequest {
    /// The submission until it is accepted, then the cancel if one is wanted, then questions.
    fn of_job(job_id: &str, job: &SubmittedJob) -> NextRequest {
        let path = format!("/submissions/{job_id}");
        if !job.is_accepted {
            NextRequest {
                requester: Requester::Submit(job_id.into()),
                request: user_request("POST", "/submissions", encode(&job.spec)),
            }
        } else if job.cancel_requested && job.reported_cancelled_at.is_none() {
            NextRequest {
                requester: Requester::Cancel(job_id.into()),
                request: user_request("POST", &format!("{path}/cancel"), vec![]),
            }
        } else {
            NextRequest {
                requester: Requester::Poll(job_id.into()),
                request: user_request("GET", &path, vec![]),
            }
        }
    }
}

impl Simulation {
    fn job_mut(&mut self, job_id: &str) -> &mut SubmittedJob {
        self.jobs.get_mut(job_id).expect("job")
    }

    /// A user submits a job whose tasks run so long.
    pub fn submit_job(&mut self, spec: JobSpec, task_run_ms: Ms) {
        let job_id = spec.id.clone();
        let job = SubmittedJob::new(spec, task_run_ms, self.now);
        self.jobs.insert(job_id.clone(), job);
        self.schedule(self.now, SimulationEvent::UserWakeup(job_id));
    }

    pub(super) fn advance_user(&mut self, job_id: &str) {
        let next_turn = SimulationEvent::UserWakeup(job_id.into());
        self.schedule_after(USER_POLL_INTERVAL_MS, next_turn);
        self.check_unanswered(job_id);
        if self.jobs.get(job_id).is_none_or(SubmittedJob::is_rejected) {
            return;
        }
        if let Some(node) = self.next_balanced_node() {
            self.send_user_request(job_id, node);
        }
    }

    fn check_unanswered(&mut self, job_id: &str) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let Some(faults_over_at) = self.faults_over_at.filter(|_| job.is_accepted) else {
            return;
        };
        if now > faults_over_at.max(job.last_answered_at) + UNANSWERED_LIMIT_MS {
            job.last_answered_at = now;
            self.record_violation(format!("forgotten {job_id}: no question answered for 75 s"));
        }
    }

    /// The node to which the load balancer sends the next request; none if all are down.
    pub fn next_balanced_node(&mut self) -> Option<usize> {
        let nodes_up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].is_up())
            .collect();
        if nodes_up.is_empty() {
            return None;
        }
        self.load_balancer_turn += 1;
        let turn = self.load_balancer_turn;
        Some(nodes_up[(turn + turn / nodes_up.len()) % nodes_up.len()])
    }

    /// The user asks to cancel at this time, at that node first.
    pub fn cancel_job_now(&mut self, job_id: &str, node: usize) {
        self.job_mut(job_id).cancel_requested = true;
        self.send_user_request(job_id, node);
    }

    /// Sends the user's next request. It takes the place of the last one if that has not been
    /// answered.
    fn send_user_request(&mut self, job_id: &str, node: usize) {
        let request_id = self.requests.allocate_id();
        let job = self.job_mut(job_id);
        let unanswered = job.request_in_flight.replace(request_id);
        let next = NextRequest::of_job(job_id, job);
        if let Some(unanswered) = unanswered {
            self.requests.remove(unanswered);
        }
        self.requests.insert(request_id, next.requester);
        self.send_request(request_id, node, next.request);
    }

    /// Sends a request of nobody in particular; the reply is logged.
    pub fn send_probe_request(&mut self, node: usize, method: &str, path: &str) {
        let request_id = self.requests.add(Requester::LogOnly);
        self.send_request(request_id, node, user_request(method, path, vec![]));
    }

    pub(super) fn send_request(&mut self, request_id: u64, node: usize, request: Request) {
        let arrival = SimulationEvent::RequestArrival {
            request_id,
            node,
            request,
        };
        self.schedule_after(self.network_latency_ms, arrival);
    }

    /// The reply to a request arrives, if anybody waits for it.
    pub(super) fn handle_reply(&mut self, request_id: u64, status: u16, body: &[u8]) {
        let Some(requester) = self.requests.remove(request_id) else {
            return;
        };
        match requester {
            Requester::Worker(machine_id) => {
                self.handle_heartbeat_reply(&machine_id, request_id, status, body)
            }
            Requester::EdgeCase {
                request,
                job_id,
                sent_at,
            } => self.handle_edge_case_reply(request, &job_id, sent_at, status, body),
            Requester::LogOnly => self.append_log(format!("probe answered {status}")),
            Requester::Submit(job_id) => self.handle_submit_reply(&job_id, status),
            Requester::Poll(job_id) | Requester::Cancel(job_id) => {
                self.handle_status_reply(&job_id, status, body)
            }
        }
    }

    fn handle_submit_reply(&mut self, job_id: &str, status: u16) {
        let job = self.job_mut(job_id);
        job.submission_status = status;
        if matches!(status, 200 | 201) && !job.is_accepted {
            job.is_accepted = true;
            self.append_log(format!("{job_id} accepted with {status}"));
            self.schedule_read_after_write_checks(job_id);
        }
    }

    fn handle_status_reply(&mut self, job_id: &str, status: u16, body: &[u8]) {
        if status == 404 {
            return self.record_violation(format!("forgotten {job_id}"));
        }
        if status != 200 {
            return;
        }
        let Ok(reply) = decode::<JobStatus>(body) else {
            return;
        };
        let now = self.now;
        let job = self.job_mut(job_id);
        job.last_answered_at = now;
        let phase = reply.phase;
        match job.reported_end {
            Some(earlier) if earlier != phase => {
                let text = format!("went_back {job_id} from {earlier:?} to {phase:?}");
                self.record_violation(text);
            }
            None if matches!(phase, JobPhase::Done | JobPhase::Cancelled) => {
                self.record_reported_end(job_id, phase);
            }
            _ => {}
        }
    }

    /// Right after a reply, questions and repeated submissions reach all nodes: none may reply
    /// with something older.
    fn schedule_read_after_write_checks(&mut self, job_id: &str) {
        if self.now >= self.user_faults.read_after_write_checks_until {
            return;
        }
        for delay_ms in READ_AFTER_WRITE_DELAYS_MS {
            let query = FollowUp::QueryEverywhere(job_id.to_owned());
            self.schedule_after(delay_ms, SimulationEvent::FollowUp(query));
            let repeat = FollowUp::RepeatEverywhere(job_id.to_owned());
            self.schedule_after(delay_ms, SimulationEvent::FollowUp(repeat));
        }
    }

    /// The user is told for the first time that the job has ended.
    fn record_reported_end(&mut self, job_id: &str, phase: JobPhase) {
        let now = self.now;
        let job = self.job_mut(job_id);
        job.reported_end = Some(phase);
        job.reported_end_at = Some(now);
        let is_cancelled = phase == JobPhase::Cancelled;
        job.reported_cancelled_at = is_cancelled.then_some(now);
        let finished_all = job.has_finished_all_tasks();
        let cancel_requested = job.cancel_requested;
        if is_cancelled {
            self.rules.record_cancellation();
        }
        self.append_log(format!("{job_id} is told {phase:?}"));
        self.schedule_read_after_write_checks(job_id);
        if phase == JobPhase::Done && !finished_all {
            self.record_violation(format!("not_done {job_id}"));
        }
        if is_cancelled && !cancel_requested {
            self.record_violation(format!("went_back {job_id}: nobody cancelled it"));
        }
    }
}
