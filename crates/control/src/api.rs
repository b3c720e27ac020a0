//! What goes into the core and what comes out.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

/// Milliseconds of the steady clock, from any fixed point.
pub type Millis = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    pub monotonic_ms: Millis,
    /// Time of day in ms; off by no more than the bound in the settings.
    pub wall_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    Store,
    Cloud,
    Worker(String),
}

/// A link between controllers: one that we dialled, or one that was dialled to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    Outbound(usize),
    Inbound(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The request surely never left.
    NotSent,
    /// It may have been carried out, or may yet be.
    OutcomeUnknown,
    /// It was answered, but with more than is taken in.
    ResponseTooLarge,
}

pub type CallResult = Result<(u16, Vec<u8>), CallError>;

#[derive(Clone, Debug)]
pub enum Event {
    Start,
    Tick,
    Request { request_id: u64, request: Request },
    CallDone { call_id: u64, result: CallResult },
    Frame { from: Link, frame: Frame },
    LinkUp(Link),
    LinkDown(Link),
}

#[derive(Clone, Debug)]
pub enum Action {
    Reply {
        request_id: u64,
        status: u16,
        retry_after_s: Option<u32>,
        body: Vec<u8>,
    },
    Call {
        call_id: u64,
        target: Target,
        method: &'static str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    },
    SendFrame {
        to: Link,
        frame: Frame,
    },
}

/// A call's result in words, for the log.
pub(crate) fn describe_result(result: &CallResult) -> String {
    match result {
        Ok((status, _)) => format!("status {status}"),
        Err(error) => format!("{error:?}"),
    }
}
