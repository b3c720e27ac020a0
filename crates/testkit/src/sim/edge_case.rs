//! Sends edge-case requests and checks their replies.
use super::requests::Requester;
use super::simulation::Simulation;
use super::user::user_request;
use crate::checks::{check_edge_case_reply, EdgeCaseReply, EdgeCaseRequest};
use crate::stand_ins::Ms;

impl Simulation {
    /// Sends an edge-case request to a node; its reply is checked and logged.
    pub fn send_edge_case_request(
        &mut self,
        node: usize,
        request: EdgeCaseRequest,
        job_id: &str,
        body: Vec<u8>,
    ) {
        let request_id = self.requests.add(Requester::EdgeCase {
            request,
            job_id: job_id.into(),
            sent_at: self.now,
        });
        let (method, path) = match request {
            EdgeCaseRequest::CancelDone => ("POST", format!("/submissions/{job_id}/cancel")),
            EdgeCaseRequest::Query | EdgeCaseRequest::UnknownJob => {
                ("GET", format!("/submissions/{job_id}"))
            }
            EdgeCaseRequest::Repeat
            | EdgeCaseRequest::Unsatisfiable
            | EdgeCaseRequest::InvalidBody => ("POST", "/submissions".into()),
        };
        self.send_request(request_id, node, user_request(method, &path, body));
    }

    pub(super) fn handle_edge_case_reply(
        &mut self,
        request: EdgeCaseRequest,
        job_id: &str,
        sent_at: Ms,
        status: u16,
        body: &[u8],
    ) {
        let description = format!("{request:?} {job_id} is answered {status}");
        self.append_log(description.clone());
        let violation = check_edge_case_reply(&EdgeCaseReply {
            request,
            job: self.jobs.get(job_id),
            sent_at,
            status,
            body,
            description: &description,
        });
        self.record_violations(violation);
    }
}
