//! Checks of the replies to edge-case requests: repeated, late, unknown or malformed ones.
use crate::stand_ins::{Ms, SubmittedJob};
use stonegw_wire::msg::{decode, JobPhase, JobStatus};

/// A kind of request with the reply that it must get. An unavailable node may also reply with
/// status 429, 503 or 504, or be unreachable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EdgeCaseRequest {
    /// A repeated submission of an accepted job; the reply must be the job's current state.
    Repeat,
    /// A cancellation of a job that was reported done; the reply must still be `done`.
    CancelDone,
    /// A submission of a job that can never run; the reply must be status 422.
    Unsatisfiable,
    /// A request with a malformed body; the reply must be status 400, even while the node is
    /// unavailable.
    InvalidBody,
    /// A status request for an accepted job; the reply must be the job's current state.
    Query,
    /// A status request for a job that nobody submitted; the reply must be status 404.
    UnknownJob,
}

/// The response to an edge-case request about a job.
pub(crate) struct EdgeCaseReply<'a> {
    pub request: EdgeCaseRequest,
    /// The job, if it was submitted.
    pub job: Option<&'a SubmittedJob>,
    /// When the request was sent.
    pub sent_at: Ms,
    /// The HTTP status; 0 if the node could not be reached.
    pub status: u16,
    pub body: &'a [u8],
    /// A description of the reply for the violation's text.
    pub description: &'a str,
}

impl EdgeCaseReply<'_> {
    /// Returns the final phase of the job if its user had received it before the request was sent.
    fn end_reported_before(&self) -> Option<JobPhase> {
        let was_reported =
            |job: &&SubmittedJob| job.reported_end_at.is_some_and(|at| at < self.sent_at);
        self.job
            .filter(was_reported)
            .and_then(|job| job.reported_end)
    }

    /// Returns whether the reply shows that the node was unreachable, overloaded or unavailable.
    fn is_unavailable(&self) -> bool {
        matches!(self.status, 0 | 429 | 503 | 504)
    }
}

/// Returns the violation of the rule that the reply breaks, if it breaks one.
pub(crate) fn check_edge_case_reply(reply: &EdgeCaseReply) -> Option<String> {
    let description = reply.description;
    match (reply.request, reply.status) {
        (EdgeCaseRequest::Repeat | EdgeCaseRequest::Query | EdgeCaseRequest::CancelDone, 200) => {
            check_reported_phase(reply)
        }
        (EdgeCaseRequest::InvalidBody, 0 | 400)
        | (EdgeCaseRequest::UnknownJob, 404)
        | (EdgeCaseRequest::Unsatisfiable, 422) => None,
        (EdgeCaseRequest::InvalidBody, _) => Some(format!("bad_answer {description}")),
        (EdgeCaseRequest::UnknownJob, 200) => Some(format!("invented {description}")),
        _ if reply.is_unavailable() => None,
        (EdgeCaseRequest::Repeat | EdgeCaseRequest::Query | EdgeCaseRequest::CancelDone, _) => {
            Some(format!("forgotten {description}"))
        }
        _ => Some(format!("bad_answer {description}")),
    }
}

/// Returns a violation if the reply has no phase, or if the job had been reported ended before the
/// request was sent and the reply has a different phase.
fn check_reported_phase(reply: &EdgeCaseReply) -> Option<String> {
    let phase = decode::<JobStatus>(reply.body).ok().map(|job| job.phase);
    let reported_end = reply.end_reported_before();
    let is_consistent = phase.is_some() && (reported_end.is_none() || reported_end == phase);
    let description = reply.description;
    (!is_consistent)
        .then(|| format!("went_back {description}: phase {phase:?} after {reported_end:?}"))
}
