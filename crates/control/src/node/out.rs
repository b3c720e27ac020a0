//! Collects the actions that a turn of the node leads to.
use crate::api::{Action, Target};
use serde::Serialize;
use stonegw_wire::msg::{encode, ErrorBody};

/// The actions of one turn, and the number of the last call.
pub(crate) struct Out {
    pub actions: Vec<Action>,
    pub next_call: u64,
}

impl Out {
    /// Starts a call and returns its number.
    pub fn call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        self.next_call += 1;
        self.actions.push(Action::Call {
            call: self.next_call,
            target,
            method,
            path,
            body,
            timeout_ms,
        });
        self.next_call
    }

    /// Answers a request with a body of JSON.
    pub fn reply<T: Serialize>(&mut self, id: u64, status: u16, retry: Option<u32>, body: &T) {
        self.actions.push(Action::Reply {
            id,
            status,
            retry_after_s: retry,
            body: encode(body),
        });
    }

    /// Answers a request with an error and its reason.
    pub(super) fn error(&mut self, id: u64, status: u16, retry: Option<u32>, why: &str) {
        self.reply(id, status, retry, &ErrorBody { error: why.into() });
    }
}
