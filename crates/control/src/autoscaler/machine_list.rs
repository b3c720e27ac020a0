//! Reads the cloud's list of machines page by page and applies it to the cluster state.
use super::cloud_calls::{CloudCallLimiter, PeriodicCall};
use crate::api::{describe_result, CallResult, Millis};
use crate::calls::AutoscalerCall;
use crate::cluster::{ClusterState, Lifecycle, Machine};
use crate::context::LeaderContext;
use std::collections::HashSet;
use stonegw_constants::MACHINE_LIST_INTERVAL_MS;
use stonegw_wire::msg::{decode, ListedMachine, MachineListPage, MachineState};

/// A machine's absence from the list counts only if the machine has been known for this multiple of
/// the configured list lag. A list may be out of date by that lag, so it may be older than the
/// machine.
const LISTING_LAG_MULTIPLE: f64 = 2.0;
/// Number of consecutive lists from which a booting machine must be absent to be marked for
/// termination.
const MAX_ABSENT_LISTINGS: u32 = 2;
/// Upper bound on the ages read from the list, in s.
const MAX_AGE_S: f64 = 1e9;

/// Reads the list of machines periodically.
pub(super) struct MachineListReader {
    call: PeriodicCall,
    /// The machines on the pages read so far, while a list is being read.
    partial: Option<Vec<ListedMachine>>,
    has_read_full_list: bool,
}

impl MachineListReader {
    /// Returns a reader whose first request is due at once.
    pub(super) fn new(now: Millis) -> Self {
        MachineListReader {
            call: PeriodicCall::new(now),
            partial: None,
            has_read_full_list: false,
        }
    }

    /// Returns `true` if this leader has read at least one list to its end.
    pub(super) fn has_read_full_list(&self) -> bool {
        self.has_read_full_list
    }

    /// Requests the next page if that is due.
    pub(super) fn request_if_due(
        &mut self,
        context: &mut LeaderContext,
        limiter: &mut CloudCallLimiter,
    ) {
        if self.call.start_if_due(context.now.monotonic_ms, limiter) {
            let path = self.next_page_path();
            context.call_cloud(AutoscalerCall::ListMachines, "GET", &path, vec![]);
        }
    }

    fn next_page_path(&self) -> String {
        let mut path = "/hosts?limit=500".to_owned();
        if let Some(last) = self.partial.as_ref().and_then(|machines| machines.last()) {
            path.push_str(&format!("&since={}", last.machine_id));
        }
        path
    }

    /// Handles the response with one page. Returns the whole list if the page was the last one.
    pub(super) fn handle_response(
        &mut self,
        now: Millis,
        result: CallResult,
    ) -> Option<Vec<ListedMachine>> {
        self.call.finish(now + MACHINE_LIST_INTERVAL_MS);
        let page = decode_page(result)?;
        let is_last = !page.has_more || page.machines.is_empty();
        self.partial.get_or_insert_default().extend(page.machines);
        if !is_last {
            self.call.finish(now);
            return None;
        }
        self.has_read_full_list = true;
        self.partial.take()
    }
}

fn decode_page(result: CallResult) -> Option<MachineListPage> {
    match result {
        Ok((200, body)) => decode::<MachineListPage>(&body)
            .inspect_err(|error| {
                log::warn!("malformed machine list page; requesting it again later: {error}")
            })
            .ok(),
        other => {
            log::debug!(
                "reading the machine list failed; retrying later: {}",
                describe_result(&other)
            );
            None
        }
    }
}

/// Updates the cluster state from a whole list.
pub(super) fn apply_machine_list(
    cluster: &mut ClusterState,
    context: &LeaderContext,
    list: Vec<ListedMachine>,
) {
    let now = context.now.monotonic_ms;
    let mut listed_ids = HashSet::new();
    for listed in list {
        listed_ids.insert(listed.machine_id.clone());
        if !cluster.deleted_machines.contains_key(&listed.machine_id) {
            apply_listed_machine(cluster, now, listed);
        }
    }
    count_absent_listings(cluster, context, &listed_ids);
}

fn apply_listed_machine(cluster: &mut ClusterState, now: Millis, listed: ListedMachine) {
    cluster
        .machines
        .add(&listed.machine_id, || machine_from_list(now, &listed));
    let Some(mut machine) = cluster.machines.edit(&listed.machine_id) else {
        return;
    };
    machine.was_listed = true;
    machine.listed_as_running = listed.state == MachineState::Running;
    machine.absent_listings = 0;
    if machine.addr.is_none() {
        machine.addr = listed.addr;
    }
    if listed.state == MachineState::Failed && machine.lifecycle != Lifecycle::Terminating {
        log::warn!(
            "the cloud reports that machine {} failed; terminating it",
            machine.id
        );
        machine.set_lifecycle(Lifecycle::Terminating);
    }
}

/// Returns the state of a machine that this leader did not know before it read the list.
fn machine_from_list(now: Millis, listed: &ListedMachine) -> Machine {
    log::info!(
        "machine {} discovered in the cloud's machine list",
        listed.machine_id
    );
    let mut machine = Machine::new(
        &listed.machine_id,
        &listed.machine_type,
        &listed.zone,
        listed.is_spot,
        now,
    );
    let age_ms = (listed.age_s.clamp(0.0, MAX_AGE_S) * 1e3) as u64;
    machine.provisioned_at = now.saturating_sub(age_ms);
    machine
}

/// Counts the lists from which a known machine is absent, and marks a booting machine for
/// termination when there are too many. Once listed, a machine stays listed until it is terminated,
/// but a list may be older than the machine.
fn count_absent_listings(
    cluster: &mut ClusterState,
    context: &LeaderContext,
    listed_ids: &HashSet<String>,
) {
    let now = context.now.monotonic_ms;
    let lag_ms = (context.settings.cloud_listing_lag_s * LISTING_LAG_MULTIPLE * 1e3) as u64;
    cluster.machines.edit_all(|machine| {
        let is_absent = !listed_ids.contains(&machine.id)
            && machine.was_listed
            && now > machine.known_since + lag_ms;
        if !is_absent {
            return;
        }
        machine.absent_listings += 1;
        if machine.absent_listings >= MAX_ABSENT_LISTINGS
            && machine.last_heartbeat_at.is_none()
            && machine.lifecycle == Lifecycle::Provisioning
        {
            machine.set_lifecycle(Lifecycle::Terminating);
        }
    });
}
