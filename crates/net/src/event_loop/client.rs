//! Calls to workers, the cloud and the key-value store over idle or new connections.
use super::socket::start_connect;
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind, ReadOutcome};
use crate::event::{CallFailure, CallResponse, NetworkEvent, OutgoingCall, SocketReserve};
use stonegw_constants::{
    IDLE_CLIENT_CONNECTION_TIMEOUT_MS, MAX_RESPONSE_BYTES, RESERVED_SERVICE_SOCKETS,
};
use stonegw_wire::http::{self, HttpError, Response};
use stonegw_wire::Parsed;

impl EventLoop {
    /// Starts a call. Its result is reported as [`NetworkEvent::CallDone`].
    pub fn start_call(&mut self, call: &OutgoingCall) {
        let now = self.now_ms();
        let idle_key = self
            .idle_connections
            .get_mut(call.remote_addr)
            .and_then(Vec::pop);
        let key = idle_key.or_else(|| self.connect_for_call(call));
        let connection = key.and_then(|key| Some((key, self.connections.get_mut(&key)?)));
        let Some((key, connection)) = connection else {
            return self.report_call_failure(call.call_id, CallFailure::NotSent);
        };
        connection.kind = ConnectionKind::Client {
            remote_addr: call.remote_addr.into(),
            call_id: Some(call.call_id),
        };
        connection.deadline = now + call.timeout_ms;
        connection.bytes_sent = 0;
        connection.input.clear();
        http::write_request(
            &mut connection.output,
            call.method,
            call.remote_addr,
            call.path,
            call.body,
        );
        self.calls_in_progress.insert(call.call_id, key);
        if !connection.is_connecting {
            self.unwritten_connections.push(key);
        }
    }

    /// Opens a new connection for a call. Returns `None` if no socket is available or the attempt
    /// fails.
    fn connect_for_call(&mut self, call: &OutgoingCall) -> Option<usize> {
        let remote_addr = call.remote_addr;
        let reserved = match call.reserve {
            SocketReserve::Services => 0,
            SocketReserve::Workers => RESERVED_SERVICE_SOCKETS,
        };
        if !self.ensure_socket_available(reserved) {
            log::warn!("socket limit reached; the call to {remote_addr} fails");
            return None;
        }
        let stream = match start_connect(remote_addr) {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("cannot connect to {remote_addr}: {error}");
                return None;
            }
        };
        let kind = ConnectionKind::Client {
            remote_addr: remote_addr.into(),
            call_id: None,
        };
        let mut connection = Connection::new(stream, kind, 0);
        connection.is_connecting = true;
        self.register_connection(connection)
    }

    /// Reports that a call failed.
    pub fn report_call_failure(&mut self, call_id: u64, failure: CallFailure) {
        self.pending_events.push(NetworkEvent::CallDone {
            call_id,
            result: Err(failure),
        });
    }

    /// Parses the response to the call on this connection after a read.
    pub(super) fn handle_response(&mut self, key: usize, outcome: ReadOutcome) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let ConnectionKind::Client {
            remote_addr,
            call_id,
        } = &mut connection.kind
        else {
            return;
        };
        let Some(id) = *call_id else {
            // The server closed an idle connection or sent bytes on it without a request, so the
            // connection cannot be used any further.
            return self.close_connection(key);
        };
        match http::parse_response(&connection.input, MAX_RESPONSE_BYTES) {
            Ok(Some(response)) => self.complete_call(key, id, response, outcome),
            Ok(None) if outcome == ReadOutcome::Open => {}
            Ok(None) => self.close_connection(key),
            Err(HttpError::BodyTooLarge) => {
                log::warn!("{remote_addr} answered with more than {MAX_RESPONSE_BYTES} bytes");
                *call_id = None;
                self.calls_in_progress.remove(&id);
                self.report_call_failure(id, CallFailure::ResponseTooLarge);
                self.close_connection(key);
            }
            Err(error) => {
                log::warn!(
                    "{remote_addr} answered with a malformed head: {error}; closing the connection"
                );
                self.close_connection(key);
            }
        }
    }

    /// Reports the response to a call. Keeps the connection for the next call if it is reusable,
    /// and closes it otherwise.
    fn complete_call(
        &mut self,
        key: usize,
        id: u64,
        response: Parsed<Response>,
        outcome: ReadOutcome,
    ) {
        let now = self.now_ms();
        self.calls_in_progress.remove(&id);
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let is_reusable = !response.message.connection_close
            && response.consumed_bytes == connection.input.len()
            && outcome == ReadOutcome::Open;
        connection.input = vec![];
        let ConnectionKind::Client {
            remote_addr,
            call_id,
        } = &mut connection.kind
        else {
            return;
        };
        *call_id = None;
        self.pending_events.push(NetworkEvent::CallDone {
            call_id: id,
            result: Ok(CallResponse {
                status: response.message.status,
                body: response.message.body,
            }),
        });
        if is_reusable {
            connection.deadline = now + IDLE_CLIENT_CONNECTION_TIMEOUT_MS;
            let idle_keys = self.idle_connections.entry(remote_addr.clone());
            idle_keys.or_default().push(key);
        } else {
            self.close_connection(key);
        }
    }
}
