//! The types that the event loop and its caller exchange.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;
use thiserror::Error;

/// A link to another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerLink {
    /// The link that this node opened to the peer with this index in the list of peers.
    Outbound(usize),
    /// The link with this connection key, which a peer opened.
    Inbound(u64),
}

/// An HTTP request that this node sends.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Id that the caller chooses and that the result repeats.
    pub call_id: u64,
    /// IP address and port of the server.
    pub remote_addr: &'a str,
    /// The reserved sockets that the call may use.
    pub reserve: SocketReserve,
    /// The HTTP method.
    pub method: &'a str,
    /// The request target.
    pub path: &'a str,
    /// The body; empty if there is none.
    pub body: &'a [u8],
    /// Time in ms after which the call fails if there is no response.
    pub timeout_ms: u64,
}

/// The share of the reserved sockets that a call may use when the limit on sockets is nearly
/// reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketReserve {
    /// For calls to the key-value store and the cloud: all reserved sockets, so that these calls
    /// always get a socket.
    Services,
    /// For calls to workers: all reserved sockets except those kept for calls to the services.
    Workers,
}

/// The reason why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// No byte of the request was sent.
    #[error("the request was not sent")]
    NotSent,
    /// At least a part of the request was sent, and it is unknown whether the request took effect.
    #[error("no response; the outcome is unknown")]
    OutcomeUnknown,
    /// The response is larger than the limit.
    #[error("the response is too large")]
    ResponseTooLarge,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

/// An event on the sockets of the process.
#[derive(Debug)]
pub enum NetworkEvent {
    /// A user or worker sent a request.
    Request {
        /// Id to pass to [`crate::EventLoop::reply`].
        request_id: u64,
        /// The request.
        request: Request,
    },
    /// A call of this node has ended.
    CallDone {
        /// Id that the caller chose for the call.
        call_id: u64,
        /// The response, or the reason why there is none.
        result: Result<CallResponse, CallFailure>,
    },
    /// A peer sent a frame.
    Frame {
        /// The link on which the frame arrived.
        link: PeerLink,
        /// The frame.
        frame: Frame,
    },
    /// A link that this node opened has been connected.
    LinkUp(PeerLink),
    /// A link has been closed.
    LinkDown(PeerLink),
}
