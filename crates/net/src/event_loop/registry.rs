//! Registers connections with the poller, writes their output and closes them.
use super::peer::OutboundLink;
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind};
use crate::event::{CallFailure, NetworkEvent, PeerLink};
use polling::{Event, PollMode};
use stonegw_constants::PEER_REDIAL_INTERVAL_MS;

/// Returns the events to wait for: always readability, and writability if there is output to send.
fn poll_interest(key: usize, wants_write: bool) -> Event {
    if wants_write {
        Event::all(key)
    } else {
        Event::readable(key)
    }
}

impl EventLoop {
    /// Registers a connection with the poller and returns its key, or `None` if the poller rejects
    /// it.
    pub(super) fn register_connection(&mut self, mut connection: Connection) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        // A write event signals the end of a connection attempt.
        connection.wants_write = connection.is_connecting;
        let interest = poll_interest(key, connection.wants_write);
        #[allow(
            unsafe_code,
            reason = "the poller does not own the sockets; the caller must keep them open"
        )]
        // SAFETY: `close_connection` deletes the stream from the poller before it drops the stream.
        let added = unsafe {
            self.poller
                .add_with_mode(&connection.stream, interest, PollMode::Level)
        };
        if let Err(error) = added {
            log::warn!(
                "cannot register a socket with the poller: {error}; dropping the connection"
            );
            return None;
        }
        self.connections.insert(key, connection);
        Some(key)
    }

    /// Closes a connection and reports the call or link that ends with it.
    pub(super) fn close_connection(&mut self, key: usize) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        let _ = self.poller.delete(&connection.stream);
        match connection.kind {
            ConnectionKind::Server { .. } => {
                self.is_accept_failure_logged = false;
                if connection.counts_toward_admission {
                    self.admission.release_unmeasured();
                }
            }
            ConnectionKind::Client {
                remote_addr,
                call_id,
            } => {
                let is_unsent = connection.is_connecting || connection.bytes_sent == 0;
                let failure = if is_unsent {
                    CallFailure::NotSent
                } else {
                    CallFailure::OutcomeUnknown
                };
                self.clean_up_client_connection(key, &remote_addr, call_id, failure);
            }
            ConnectionKind::PeerOutbound(index) => {
                let redial_at = self.now_ms() + PEER_REDIAL_INTERVAL_MS;
                self.peers[index].outbound = OutboundLink::RedialAt(redial_at);
                if !connection.is_connecting {
                    self.pending_events
                        .push(NetworkEvent::LinkDown(PeerLink::Outbound(index)));
                }
            }
            ConnectionKind::PeerInbound => self
                .pending_events
                .push(NetworkEvent::LinkDown(PeerLink::Inbound(key as u64))),
        }
    }

    /// Removes a closed client connection from the idle connections, and reports the failure of the
    /// call on it, if there is one.
    fn clean_up_client_connection(
        &mut self,
        key: usize,
        remote_addr: &str,
        call_id: Option<u64>,
        failure: CallFailure,
    ) {
        if let Some(idle_keys) = self.idle_connections.get_mut(remote_addr) {
            idle_keys.retain(|idle_key| *idle_key != key);
        }
        if let Some(call_id) = call_id {
            self.calls_in_progress.remove(&call_id);
            self.report_call_failure(call_id, failure);
        }
    }

    /// Sends pending output, and closes a connection that is to be closed after its last reply once
    /// that reply is sent. The poller waits for writability only while unsent output remains.
    pub(super) fn write_output(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.write_pending().is_err() {
            return self.close_connection(key);
        }
        let has_output = !connection.output.is_empty();
        let kind_after_last_reply = ConnectionKind::Server {
            request_in_progress: false,
            close_after_reply: true,
        };
        if !has_output && connection.kind == kind_after_last_reply {
            return self.close_connection(key);
        }
        if has_output != connection.wants_write {
            connection.wants_write = has_output;
            let interest = poll_interest(key, has_output);
            let modified =
                self.poller
                    .modify_with_mode(&connection.stream, interest, PollMode::Level);
            if modified.is_err() {
                self.close_connection(key);
            }
        }
    }
}
