//! The interface of the state machines: events and the time go in, actions come out.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;
use thiserror::Error;

/// Milliseconds of the monotonic clock, from an arbitrary origin.
pub type Millis = u64;

/// The time of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock; all timeouts and leases are measured by it.
    pub monotonic_ms: Millis,
    /// Time of day in ms, for submission times and deadlines only: nodes' clocks may differ.
    pub wall_ms: u64,
}

/// Where a call goes.
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
    /// One that this node opened, to the peer with this index in the settings.
    Outbound(usize),
    /// One that a peer opened, by its number.
    Inbound(u64),
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request certainly never left; it had no effect.
    #[error("the request was not sent")]
    NotSent,
    /// The request may have been carried out, or may yet be.
    #[error("no response; the outcome is unknown")]
    OutcomeUnknown,
    /// There was a response, but a larger one than is accepted.
    #[error("the response is too large")]
    ResponseTooLarge,
}

/// The status and body of a response, or why there is none.
pub type CallResult = Result<(u16, Vec<u8>), CallError>;

/// What a node reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// The process has started.
    Start,
    /// Time has passed.
    Tick,
    /// A user or a worker sent an HTTP request.
    Request {
        /// Number under which the reply is to be sent.
        request_id: u64,
        /// The request.
        request: Request,
    },
    /// A call of this node has ended.
    CallDone {
        /// The call's number in [`Action::Call`].
        call_id: u64,
        /// Its result.
        result: CallResult,
    },
    /// A peer sent a frame.
    Frame {
        /// The connection on which it arrived.
        from: Link,
        /// The frame.
        frame: Frame,
    },
    /// A connection to a peer was established.
    LinkUp(Link),
    /// A connection to a peer was closed.
    LinkDown(Link),
}

/// What a node asks its environment to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Reply to an HTTP request.
    Reply {
        /// The request's number in [`Event::Request`].
        request_id: u64,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, s.
        retry_after_s: Option<u32>,
        /// JSON.
        body: Vec<u8>,
    },
    /// Make an HTTP call; its end is an [`Event::CallDone`].
    Call {
        /// Number of the call.
        call_id: u64,
        /// Where it goes.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// Path with query.
        path: String,
        /// JSON, or empty.
        body: Vec<u8>,
        /// After so long without a response the outcome is unknown.
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

/// Describes a call's result for the log.
pub(crate) fn describe_result(result: &CallResult) -> String {
    match result {
        Ok((status, _)) => format!("status {status}"),
        Err(error) => error.to_string(),
    }
}
