//! The interface of the state machines: the time and events that a turn takes, and the actions that
//! it returns.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;
use thiserror::Error;

/// Time of the monotonic clock in ms, from an arbitrary origin.
pub type Millis = u64;

/// The time of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Time of the monotonic clock, by which all timeouts and leases are measured.
    pub monotonic_ms: Millis,
    /// Time of day in ms. It is used only for submission times and deadlines, because the clocks of
    /// the nodes may differ.
    pub wall_ms: u64,
}

/// The destination of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// The consensus-backed key-value store.
    Store,
    /// The cloud provider's API.
    Cloud,
    /// The agent at this address.
    Worker(String),
}

/// A connection between two controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    /// A connection that this node opened to the peer with this index in the settings.
    Outbound(usize),
    /// A connection that a peer opened; the value is the connection's number.
    Inbound(u64),
}

/// The reason why a call has no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No part of the request was sent, so it had no effect.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been executed, or may still be executed later.
    #[error("no response; the outcome is unknown")]
    OutcomeUnknown,
    /// The response is larger than this node accepts.
    #[error("the response is too large")]
    ResponseTooLarge,
}

/// The status and body of a response, or the reason why there is none.
pub type CallResult = Result<(u16, Vec<u8>), CallError>;

/// An event that a node handles during a turn.
#[derive(Clone, Debug)]
pub enum Event {
    /// The process has started.
    Start,
    /// Time has passed.
    Tick,
    /// A user or a worker sent an HTTP request.
    Request {
        /// Number of the request, which the [`Action::Reply`] must carry.
        request_id: u64,
        /// The request.
        request: Request,
    },
    /// A call of this node has a response or has failed.
    CallDone {
        /// The number of the call in [`Action::Call`].
        call_id: u64,
        /// The call's result.
        result: CallResult,
    },
    /// A peer sent a frame.
    Frame {
        /// The connection on which the frame arrived.
        from: Link,
        /// The frame.
        frame: Frame,
    },
    /// A connection to a peer was established.
    LinkUp(Link),
    /// A connection to a peer was closed.
    LinkDown(Link),
}

/// An action that a node's environment must perform after a turn.
#[derive(Clone, Debug)]
pub enum Action {
    /// Reply to an HTTP request.
    Reply {
        /// The number of the request in [`Event::Request`].
        request_id: u64,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, in s.
        retry_after_s: Option<u32>,
        /// Body in MessagePack.
        body: Vec<u8>,
    },
    /// Make an HTTP call. Its result is delivered as an [`Event::CallDone`].
    Call {
        /// Number of the call.
        call_id: u64,
        /// Destination of the call.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// Path with query.
        path: String,
        /// Body in MessagePack, or empty.
        body: Vec<u8>,
        /// Time in ms after which a call without a response fails. Its outcome is then unknown,
        /// unless no part of the request was sent.
        timeout_ms: u64,
    },
    /// Send a frame to a peer.
    SendFrame {
        /// The connection to use.
        to: Link,
        /// The frame.
        frame: Frame,
    },
}

/// Returns a description of a call's result for the log.
pub(crate) fn describe_result(result: &CallResult) -> String {
    match result {
        Ok((status, _)) => format!("status {status}"),
        Err(error) => error.to_string(),
    }
}
