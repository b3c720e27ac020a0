//! Collects the actions of a node's turn.
use crate::api::{Action, Target};
use serde::Serialize;
use stonegw_wire::msg::{encode, ErrorBody};

/// The actions of the current turn, and the number of the last call.
pub(crate) struct Outbox {
    /// The actions, in the order in which they are to be performed.
    pub actions: Vec<Action>,
    /// The number of the last call. Calls are numbered from 1 over the whole life of the process.
    pub last_call_id: u64,
}

impl Outbox {
    /// Adds a call to the actions and returns its number.
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

    /// Replies to a request with a body that is encoded in MessagePack.
    pub fn reply<T: Serialize>(
        &mut self,
        request_id: u64,
        status: u16,
        retry_after_s: Option<u32>,
        body: &T,
    ) {
        self.actions.push(Action::Reply {
            request_id,
            status,
            retry_after_s,
            body: encode(body),
        });
    }

    /// Replies to a request with an error status and the reason for the error.
    pub fn reply_error(
        &mut self,
        request_id: u64,
        status: u16,
        retry_after_s: Option<u32>,
        reason: &str,
    ) {
        let body = ErrorBody {
            error: reason.into(),
        };
        self.reply(request_id, status, retry_after_s, &body);
    }
}
