//! What the event loop reports to its caller.
use stonegw_wire::frame::Frame;
use stonegw_wire::http::Request;

/// A link to another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerLink {
    /// The link that this node opened, by index in the list of peers.
    Outbound(usize),
    /// A link that a peer opened, by connection key.
    Inbound(u64),
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of it went out.
    NotSent,
    /// It went out at least in part; whether it took effect is unknown.
    OutcomeUnknown,
    /// It was answered, with more than is taken in.
    ResponseTooLarge,
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
    /// A call of ours has ended.
    CallDone {
        /// Id that the caller gave it.
        call_id: u64,
        /// Status and body of the answer.
        result: Result<(u16, Vec<u8>), CallFailure>,
    },
    /// A frame from a peer.
    Frame {
        /// The link it came over.
        link: PeerLink,
        /// The frame.
        frame: Frame,
    },
    /// A link of ours is connected.
    LinkUp(PeerLink),
    /// A link is closed.
    LinkDown(PeerLink),
}
