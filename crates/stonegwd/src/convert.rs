//! Converts between the types of the network crate and those of the controller crate, which do not
//! depend on each other.
use stonegw_control::api::{CallError, CallResult, Event, Link};
use stonegw_net::{CallFailure, CallResponse, NetworkEvent, PeerLink};

/// Converts a network event to an event of the controller.
pub(crate) fn to_controller_event(event: NetworkEvent) -> Event {
    match event {
        NetworkEvent::Request {
            request_id,
            request,
        } => Event::Request {
            request_id,
            request,
        },
        NetworkEvent::CallDone { call_id, result } => Event::CallDone {
            call_id,
            result: to_call_result(result),
        },
        NetworkEvent::Frame { link, frame } => Event::Frame {
            from: to_controller_link(link),
            frame,
        },
        NetworkEvent::LinkUp(link) => Event::LinkUp(to_controller_link(link)),
        NetworkEvent::LinkDown(link) => Event::LinkDown(to_controller_link(link)),
    }
}

fn to_call_result(result: Result<CallResponse, CallFailure>) -> CallResult {
    match result {
        Ok(response) => Ok((response.status, response.body)),
        Err(CallFailure::NotSent) => Err(CallError::NotSent),
        Err(CallFailure::OutcomeUnknown) => Err(CallError::OutcomeUnknown),
        Err(CallFailure::ResponseTooLarge) => Err(CallError::ResponseTooLarge),
    }
}

fn to_controller_link(link: PeerLink) -> Link {
    match link {
        PeerLink::Outbound(index) => Link::Outbound(index),
        PeerLink::Inbound(key) => Link::Inbound(key),
    }
}

/// Converts a link of the controller to a link of the network.
pub(crate) fn to_peer_link(link: Link) -> PeerLink {
    match link {
        Link::Outbound(index) => PeerLink::Outbound(index),
        Link::Inbound(key) => PeerLink::Inbound(key),
    }
}
