//! Times out connections and calls, and redials peers.
use super::EventLoop;
use crate::connection::{Connection, ConnectionKind};
use stonegw_constants::{CONNECTION_SWEEP_INTERVAL_MS, PROCESS_PAUSE_THRESHOLD_MS};

/// Returns `true` if the remote end is waiting for a reply of this node on the connection.
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
    /// Closes connections that are past their deadline, and redials peers.
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

    /// Moves all deadlines by the length of a pause of the process, so that data that arrived
    /// meanwhile is read before anything times out. The time of receiving each request moves as
    /// well, so that the pause does not affect the admission limit.
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

    /// Closes connections that are past their deadline, except those that await a reply of this
    /// node.
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
