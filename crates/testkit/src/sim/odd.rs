//! Requests that no careful user sends, and what they must be answered with.
use super::user::{Asker, Job};
use super::Sim;
use crate::outside::Ms;
use stonegw_wire::msg::*;
/// What an odd request must be answered with, unless the node says that it can't now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Odd {
    /// A submission of an accepted job once more: its present state.
    Repeat,
    /// The cancel of a job that is done, and was told so: done.
    CancelDone,
    /// It can never run: 422.
    Impossible,
    /// Malformed: 400, whatever else goes on.
    Malformed,
    /// A question about an accepted job: its present state.
    Look,
    /// Nobody submitted it: 404.
    Unknown,
}

impl Sim {
    /// An odd request; its answer is checked and lands in the log.
    pub fn odd(&mut self, node: usize, kind: Odd, job: &str, body: Vec<u8>) {
        self.next_ask += 1;
        let ask = self.next_ask;
        self.asks
            .insert(ask, Asker::Odd(kind, job.into(), self.now));
        let (method, path) = match kind {
            Odd::CancelDone => ("POST", format!("/submissions/{job}/cancel")),
            Odd::Look | Odd::Unknown => ("GET", format!("/submissions/{job}")),
            _ => ("POST", "/submissions".into()),
        };
        self.ask(ask, node, method, &path, body);
    }

    pub(super) fn odd_answered(
        &mut self,
        kind: Odd,
        job: &str,
        asked: Ms,
        status: u16,
        body: &[u8],
    ) {
        let what = format!("{kind:?} {job} is answered {status}");
        self.note(what.clone());
        let told = self.jobs.get(job);
        let known = |j: &&Job| j.ended_at.is_some_and(|at| at < asked);
        let ended = told.filter(known).and_then(|j| j.ended);
        let state = decode::<JobStatus>(body).ok().map(|s| s.state);
        let busy = matches!(status, 0 | 429 | 503 | 504);
        match (kind, status) {
            (Odd::Repeat | Odd::Look | Odd::CancelDone, 200)
                if ended.is_none() && state.is_some() => {}
            (Odd::Repeat | Odd::Look | Odd::CancelDone, 200)
                if state.is_some() && ended == state => {}
            (Odd::Repeat | Odd::Look | Odd::CancelDone, 200) => {
                self.broke(format!("went_back {what}, {state:?} after {ended:?}"));
            }
            (Odd::Repeat | Odd::Look | Odd::CancelDone, _) if !busy => {
                self.broke(format!("forgotten {what}"))
            }
            (Odd::Unknown, 200) => self.broke(format!("invented {what}")),
            (Odd::Unknown, 404) | (Odd::Impossible, 422) | (Odd::Malformed, 400) => {}
            (Odd::Malformed, s) if s != 0 => self.broke(format!("bad_answer {what}")),
            _ if !busy => self.broke(format!("bad_answer {what}")),
            _ => {}
        }
    }
}
