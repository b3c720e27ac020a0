//! What passes between the event loop and its caller.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;
use thiserror::Error;

/// A link to another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerLink {
    /// The link that this node opened, by index in the list of peers.
    Outbound(usize),
    /// A link that a peer opened, by connection key.
    Inbound(u64),
}

/// An HTTP request that this node sends.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Id that the result repeats, chosen by the caller.
    pub call_id: u64,
    /// IP address and port of the server.
    pub remote_addr: &'a str,
    /// Which reserved sockets the call may use.
    pub reserve: SocketReserve,
    /// The HTTP method.
    pub method: &'a str,
    /// The request target.
    pub path: &'a str,
    /// The body; empty if there is none.
    pub body: &'a [u8],
    /// ms after which the call fails without a response.
    pub timeout_ms: u64,
}

/// Which of the sockets reserved near the limit a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketReserve {
    /// All of them: calls to the key-value store and the cloud never go without a socket.
    Services,
    /// Those not kept for the services: calls to workers.
    Workers,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// No byte of the request was sent.
    #[error("not sent")]
    NotSent,
    /// The request was sent at least in part; whether it took effect is unknown.
    #[error("outcome unknown")]
    OutcomeUnknown,
    /// The response is larger than accepted.
    #[error("response too large")]
    ResponseTooLarge,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// What happened on the sockets.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A request of a user or worker.
    Request {
        /// Id to reply to.
        request_id: u64,
        /// The request.
        request: Request,
    },
    /// A call of this node has ended.
    CallDone {
        /// Id that the caller gave it.
        call_id: u64,
        /// The response, or why there is none.
        result: Result<CallResponse, CallFailure>,
    },
    /// A frame from a peer.
    Frame {
        /// The link it came over.
        link: PeerLink,
        /// The frame.
        frame: Frame,
    },
    /// A link that this node opened is connected.
    LinkUp(PeerLink),
    /// A link is closed.
    LinkDown(PeerLink),
}
