//! Requests that no careful user sends, and what they must be answered with.
use super::user::{Requester, SubmittedJob};
use super::Simulation;
use crate::stand_ins::Ms;
use stonegw_wire::msg::*;
/// What an odd request must be answered with, unless the node says that it can't now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MalformedRequest {
    /// A submission of an accepted job once more: its present state.
    Repeat,
    /// The cancel of a job that is done, and was told so: done.
    CancelDone,
    /// It can never run: 422.
    Unsatisfiable,
    /// Malformed: 400, whatever else goes on.
    InvalidBody,
    /// A question about an accepted job: its present state.
    Look,
    /// Nobody submitted it: 404.
    UnknownJob,
}

impl Simulation {
    /// An odd request; its answer is checked and lands in the log.
    pub fn send_malformed_request(
        &mut self,
        node: usize,
        kind: MalformedRequest,
        job: &str,
        body: Vec<u8>,
    ) {
        self.next_request_id += 1;
        let ask = self.next_request_id;
        self.pending_requests
            .insert(ask, Requester::Malformed(kind, job.into(), self.now));
        let (method, path) = match kind {
            MalformedRequest::CancelDone => ("POST", format!("/submissions/{job}/cancel")),
            MalformedRequest::Look | MalformedRequest::UnknownJob => {
                ("GET", format!("/submissions/{job}"))
            }
            _ => ("POST", "/submissions".into()),
        };
        self.send_request(ask, node, method, &path, body);
    }

    pub(super) fn check_malformed_reply(
        &mut self,
        kind: MalformedRequest,
        job: &str,
        asked: Ms,
        status: u16,
        body: &[u8],
    ) {
        let what = format!("{kind:?} {job} is answered {status}");
        self.append_log(what.clone());
        let told = self.jobs.get(job);
        let known = |j: &&SubmittedJob| j.reported_end_at.is_some_and(|at| at < asked);
        let ended = told.filter(known).and_then(|j| j.reported_end);
        let state = decode::<JobStatus>(body).ok().map(|s| s.phase);
        let busy = matches!(status, 0 | 429 | 503 | 504);
        match (kind, status) {
            (
                MalformedRequest::Repeat | MalformedRequest::Look | MalformedRequest::CancelDone,
                200,
            ) if ended.is_none() && state.is_some() => {}
            (
                MalformedRequest::Repeat | MalformedRequest::Look | MalformedRequest::CancelDone,
                200,
            ) if state.is_some() && ended == state => {}
            (
                MalformedRequest::Repeat | MalformedRequest::Look | MalformedRequest::CancelDone,
                200,
            ) => {
                self.record_violation(format!("went_back {what}, {state:?} after {ended:?}"));
            }
            (
                MalformedRequest::Repeat | MalformedRequest::Look | MalformedRequest::CancelDone,
                _,
            ) if !busy => self.record_violation(format!("forgotten {what}")),
            (MalformedRequest::UnknownJob, 200) => {
                self.record_violation(format!("invented {what}"))
            }
            (MalformedRequest::UnknownJob, 404)
            | (MalformedRequest::Unsatisfiable, 422)
            | (MalformedRequest::InvalidBody, 400) => {}
            (MalformedRequest::InvalidBody, s) if s != 0 => {
                self.record_violation(format!("bad_answer {what}"))
            }
            _ if !busy => self.record_violation(format!("bad_answer {what}")),
            _ => {}
        }
    }
}
