//! Collects the actions that a turn of the node leads to.
use crate::api::{Action, Target};
use serde::Serialize;
use stonegw_wire::msg::{encode, ErrorBody};

/// The actions of one turn, and the number of the last call.
pub(crate) struct Outbox {
    pub actions: Vec<Action>,
    pub last_call_id: u64,
}

impl Outbox {
    /// Starts a call and returns its number.
    pub fn start_call(
        &mut self,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> u64 {
        self.last_call_id += 1;
        self.actions.push(Action::Call {
            call_id: self.last_call_id,
            target,
            method,
            path,
            body,
            timeout_ms,
        });
        self.last_call_id
    }

    /// Answers a request with a body of JSON.
    pub fn reply<T: Serialize>(&mut self, id: u64, status: u16, retry: Option<u32>, body: &T) {
        self.actions.push(Action::Reply {
            request_id: id,
            status,
            retry_after_s: retry,
            body: encode(body),
        });
    }

    /// Answers a request with an error and its reason.
    pub fn reply_error(&mut self, id: u64, status: u16, retry: Option<u32>, why: &str) {
        self.reply(id, status, retry, &ErrorBody { error: why.into() });
    }
}
