//! Timeouts of connections and calls, and redialing of peers.
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind};
use stonegw_constants::{CONNECTION_SWEEP_INTERVAL_MS, PROCESS_PAUSE_THRESHOLD_MS};

/// Whether a reply of this node is outstanding on the connection.
fn is_awaiting_reply(connection: &Connection) -> bool {
    matches!(
        connection.kind,
        ConnectionKind::Server {
            request_in_progress: true,
            ..
        }
    )
}

impl EventLoop {
    /// Closes what is past its deadline and redials peers.
    pub(super) fn run_timers(&mut self) {
        let now = self.now_ms();
        let since_last_run_ms = now.saturating_sub(self.timers_ran_at);
        self.timers_ran_at = now;
        if since_last_run_ms >= PROCESS_PAUSE_THRESHOLD_MS {
            return self.extend_deadlines(since_last_run_ms);
        }
        self.close_timed_out_calls(now);
        if now >= self.last_sweep_at + CONNECTION_SWEEP_INTERVAL_MS {
            self.last_sweep_at = now;
            self.close_expired_connections(now);
            self.dial_peers(now);
        }
    }

    /// After a pause of the process, what arrived meanwhile is read before anything counts as
    /// timed out, and the admission limit does not learn from requests that waited.
    fn extend_deadlines(&mut self, pause_ms: u64) {
        for connection in self.connections.values_mut() {
            connection.deadline += pause_ms;
            connection.request_received_at += pause_ms;
        }
    }

    fn close_timed_out_calls(&mut self, now: u64) {
        let is_timed_out = |key: &usize| {
            self.connections
                .get(key)
                .is_some_and(|connection| now >= connection.deadline)
        };
        let timed_out: Vec<usize> = self
            .calls_in_progress
            .values()
            .copied()
            .filter(is_timed_out)
            .collect();
        for key in timed_out {
            self.close_connection(key);
        }
    }

    /// Closes connections past their deadline, except those that await a reply of this node.
    fn close_expired_connections(&mut self, now: u64) {
        let expired: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| now >= connection.deadline && !is_awaiting_reply(connection))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.close_connection(key);
        }
    }
}
