//! Users: they submit, ask again, cancel, and remember what they were told.
use super::event::Step;
use super::odd::Odd;
use super::Sim;
use crate::outside::Ms;
use std::collections::BTreeSet;
use stonegw_wire::http::Request;
use stonegw_wire::msg::*;

/// After the troubles no job's questions go unanswered for longer.
const FORGOTTEN_MS: Ms = 75_000;
const ASK_AGAIN_MS: Ms = 2_000;
/// How soon after an answer the close looks follow.
const CLOSE_LOOKS_MS: [Ms; 3] = [1, 4, 9];

/// What users know of a job.
pub struct Job {
    pub spec: JobSpec,
    pub run_ms: Ms,
    /// Its tasks fail on every machine.
    pub broken: bool,
    pub accepted: bool,
    pub ended: Option<JobPhase>,
    pub cancel_asked: bool,
    pub cancelled_at: Option<Ms>,
    /// Its user cancels so much after the end of its last task.
    pub cancel_at_end: Option<Ms>,
    pub finished: BTreeSet<u32>,
    /// When it was first submitted.
    pub submitted: Ms,
    /// The attempts that workers began.
    pub attempts: BTreeSet<u64>,
    /// When each run of a gang started, and what progress of it is safe.
    pub gang_starts: Vec<Ms>,
    pub saved_ms: Ms,
    pub(super) asking: Option<u64>,
    pub status: u16,
    /// When a question about it was last answered.
    pub answered: Ms,
    /// When its first task started, or all tasks of a gang.
    pub begun: Option<Ms>,
    /// When its user was told that it has ended.
    pub(super) ended_at: Option<Ms>,
    /// Since when tasks of it wait, none starts and one could.
    pub(super) waits_since: Option<Ms>,
}

impl Job {
    /// A job that is about to be submitted.
    fn new(spec: JobSpec, run_ms: Ms, now: Ms) -> Job {
        Job {
            spec,
            run_ms,
            broken: false,
            accepted: false,
            ended: None,
            cancel_asked: false,
            cancelled_at: None,
            cancel_at_end: None,
            finished: BTreeSet::new(),
            submitted: now,
            attempts: BTreeSet::new(),
            gang_starts: vec![],
            saved_ms: 0,
            asking: None,
            status: 0,
            answered: now,
            begun: None,
            ended_at: None,
            waits_since: None,
        }
    }

    /// Accepted, not ended, and its user wants it.
    pub(super) fn open(&self) -> bool {
        self.accepted && self.ended.is_none() && !self.cancel_asked
    }

    /// Its submission was answered with a status that is not retried.
    fn refused(&self) -> bool {
        let client_error = (400..500).contains(&self.status) && self.status != 429;
        client_error && !self.accepted
    }
}

/// Who waits for the answer to a request.
pub(super) enum Asker {
    Worker(String),
    Submit(String),
    Poll(String),
    Cancel(String),
    Probe,
    /// What kind of odd request, about which job, and when it was asked.
    Odd(Odd, String, Ms),
}

impl Sim {
    /// A user submits a job whose tasks run so long.
    pub fn submit(&mut self, spec: JobSpec, run_ms: Ms) {
        let id = spec.id.clone();
        let job = Job::new(spec, run_ms, self.now);
        self.jobs.insert(id.clone(), job);
        self.at(self.now, Step::User(id));
    }

    pub(super) fn user_turn(&mut self, id: &str) {
        let now = self.now;
        self.at(now + ASK_AGAIN_MS, Step::User(id.into()));
        self.check_forgotten(id);
        if self.jobs.get(id).is_none_or(Job::refused) {
            return;
        }
        if let Some(node) = self.any_node() {
            self.user_asks(id, node);
        }
    }

    fn check_forgotten(&mut self, id: &str) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let since = self.calm.map(|calm| calm.max(j.answered));
        if j.accepted && since.is_some_and(|s| now > s + FORGOTTEN_MS) {
            j.answered = now;
            self.broke(format!("forgotten {id}: no question answered for 75 s"));
        }
    }

    /// Where the load balancer sends the next question.
    pub fn any_node(&mut self) -> Option<usize> {
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].is_some())
            .collect();
        if alive.is_empty() {
            return None;
        }
        self.turn += 1;
        Some(alive[(self.turn + self.turn / alive.len()) % alive.len()])
    }

    /// The user asks to cancel in this moment, at that node first.
    pub fn cancel_now(&mut self, id: &str, node: usize) {
        self.jobs.get_mut(id).expect("job").cancel_asked = true;
        self.user_asks(id, node);
    }

    /// The user's next request: the submission until accepted, then the cancel, then questions.
    fn user_asks(&mut self, id: &str, node: usize) {
        let ask = self.new_ask();
        let j = self.jobs.get_mut(id).expect("job");
        let old = j.asking.replace(ask);
        let path = format!("/submissions/{id}");
        let (asker, method, path, body) = if !j.accepted {
            let body = encode(&j.spec);
            (
                Asker::Submit(id.into()),
                "POST",
                "/submissions".into(),
                body,
            )
        } else if j.cancel_asked && j.cancelled_at.is_none() {
            let path = format!("{path}/cancel");
            (Asker::Cancel(id.into()), "POST", path, vec![])
        } else {
            (Asker::Poll(id.into()), "GET", path, vec![])
        };
        if let Some(old) = old {
            self.asks.remove(&old);
        }
        self.asks.insert(ask, asker);
        self.ask(ask, node, method, &path, body);
    }

    /// Asks about a job from outside; the answer lands in the log.
    pub fn probe(&mut self, node: usize, method: &str, path: &str) {
        let ask = self.new_ask();
        self.asks.insert(ask, Asker::Probe);
        self.ask(ask, node, method, path, vec![]);
    }

    /// The number of a new request to the nodes.
    pub(super) fn new_ask(&mut self) -> u64 {
        self.next_ask += 1;
        self.next_ask
    }

    pub(super) fn ask(&mut self, ask: u64, node: usize, method: &str, path: &str, body: Vec<u8>) {
        let request = Request {
            method: method.into(),
            path: path.into(),
            close: false,
            body,
        };
        self.at(self.now + self.wire_ms, Step::Ask { ask, node, request });
    }

    /// The answer to a request arrives, if anybody waits for it.
    pub(super) fn replied(&mut self, ask: u64, status: u16, body: &[u8]) {
        let Some(asker) = self.asks.remove(&ask) else {
            return;
        };
        match asker {
            Asker::Worker(id) => self.worker_answered(&id, ask, status, body),
            Asker::Odd(kind, job, asked) => self.odd_answered(kind, &job, asked, status, body),
            Asker::Probe => self.note(format!("probe answered {status}")),
            Asker::Submit(id) => self.submit_answered(&id, status),
            Asker::Poll(id) | Asker::Cancel(id) => self.poll_answered(&id, status, body),
        }
    }

    fn submit_answered(&mut self, id: &str, status: u16) {
        let j = self.jobs.get_mut(id).expect("job");
        j.status = status;
        if matches!(status, 200 | 201) && !j.accepted {
            j.accepted = true;
            self.note(format!("{id} accepted with {status}"));
            self.look_closely(id);
        }
    }

    fn poll_answered(&mut self, id: &str, status: u16, body: &[u8]) {
        if status == 404 {
            return self.broke(format!("forgotten {id}"));
        }
        let answer = decode::<JobStatus>(body).ok();
        let Some(answer) = answer.filter(|_| status == 200) else {
            return;
        };
        let j = self.jobs.get_mut(id).expect("job");
        j.answered = self.now;
        match j.ended {
            Some(was) if was != answer.state => {
                let text = format!("went_back {id} from {was:?} to {:?}", answer.state);
                self.broke(text);
            }
            None if matches!(answer.state, JobPhase::Done | JobPhase::Cancelled) => {
                self.told_end(id, answer.state);
            }
            _ => {}
        }
    }

    /// Right after an answer, questions and repeated submissions reach all nodes: none may answer
    /// something older.
    fn look_closely(&mut self, id: &str) {
        if self.close_looks.is_none_or(|until| self.now >= until) {
            return;
        }
        for lag in CLOSE_LOOKS_MS {
            for kind in ["look", "repeat"] {
                let line = ["odd", "all", kind, id];
                self.later(lag, line.map(str::to_owned).to_vec());
            }
        }
    }

    /// The user is told for the first time that the job has ended.
    fn told_end(&mut self, id: &str, state: JobPhase) {
        let now = self.now;
        let j = self.jobs.get_mut(id).expect("job");
        j.ended = Some(state);
        j.ended_at = Some(now);
        if state == JobPhase::Cancelled {
            j.cancelled_at = Some(now);
            self.any_cancelled = true;
        }
        let missing = j.finished.len() < j.spec.tasks as usize;
        let asked = j.cancel_asked;
        self.note(format!("{id} is told {state:?}"));
        self.look_closely(id);
        if state == JobPhase::Done && missing {
            self.broke(format!("not_done {id}"));
        }
        if state == JobPhase::Cancelled && !asked {
            self.broke(format!("went_back {id}: nobody cancelled it"));
        }
    }
}
