//! The feature gate of a rolling upgrade.
//!
//! During an upgrade, nodes of an earlier version run beside this one and can't read data of the
//! kinds that are new in this version. Each node therefore stores the version that it runs under
//! `v/<node>`, which earlier versions never read. The record is never deleted. A node's gate opens
//! once the node has read a record of this version or a higher one for itself and for every peer,
//! and stays open for the life of the process. Until then, the node stores and sends nothing that
//! an earlier version can't read. Failed, lost and late responses only delay the opening of the
//! gate.
//!
//! A scan reads all version records, page by page:
//!
//! - `Waiting` becomes `ReadPending` when the next scan is due.
//! - `ReadPending` becomes `ReadInFlight` when the budget allows the request.
//! - `ReadInFlight` becomes `ReadPending` if there are more pages, and `Waiting` if the read
//!   failed. After the last page it becomes `Open` if all records are current, `WritePending` if
//!   this node's own record is not, or else `Waiting`.
//! - `WritePending` becomes `WriteInFlight` when the budget allows the transaction.
//! - `WriteInFlight` becomes `Waiting`, whatever the outcome of the transaction.
//! - `Open` is final.
use super::calls::StoreCall;
use super::responses::decode_success;
use super::Node;
use crate::api::{describe_result, CallResult, Millis};
use crate::records::{version_key, StoredRecord, VersionRecord, VERSIONS_PREFIX, VERSION_FIELD};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use stonegw_constants::{
    FEATURE_GATE_READ_FRACTION, FEATURE_GATE_READ_INTERVAL_MS, PROGRAM_VERSION,
};
use stonegw_wire::msg::{Condition, ListPage, Txn, Write};

/// A value stored under `v/`, read as a map of its fields. It is not read as a `VersionRecord`,
/// because that would also accept a list and take its elements as the fields in order.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredVersionRecord {
    Known(BTreeMap<String, StoredField>),
    /// A value of an unknown form; it states no version.
    Unknown(IgnoredAny),
}

/// A field of a version record.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredField {
    Number(u64),
    Other(IgnoredAny),
}

impl StoredVersionRecord {
    /// Returns whether the node that stored the record runs this version or a higher one.
    fn is_current(&self) -> bool {
        let StoredVersionRecord::Known(fields) = self else {
            return false;
        };
        let field = fields.get(VERSION_FIELD);
        matches!(field, Some(StoredField::Number(version)) if *version >= PROGRAM_VERSION)
    }
}

/// Results of the pages of one scan that have been read so far.
#[derive(Clone, Debug, Default, PartialEq)]
struct VersionScan {
    /// The last key of the page read most recently; the next page starts after it.
    start_after: Option<String>,
    /// Keys of nodes that run this version or a higher one.
    current_keys: BTreeSet<String>,
    /// The revision of this node's own record; 0 if no record was read.
    own_record_revision: u64,
}

/// The states of the gate; the module documentation describes the transitions. The gate is closed
/// in all states but `Open`.
#[derive(Clone, Debug, PartialEq)]
enum FeatureGateState {
    /// The next scan begins at this time.
    Waiting { until: Millis },
    /// The next page of a scan is to be requested.
    ReadPending(VersionScan),
    /// The next page of a scan has been requested.
    ReadInFlight(VersionScan),
    /// This node's record is absent (revision 0) or has a lower version at this revision, and is to
    /// be stored.
    WritePending { revision: u64 },
    /// The transaction that stores this node's record is in flight.
    WriteInFlight,
    /// Every controller runs this version or a higher one.
    Open,
}

/// Tracks whether every controller is known to run this version or a higher one.
pub(super) struct FeatureGate {
    state: FeatureGateState,
    own_key: String,
    /// The keys whose records must be current: this node's own and every peer's.
    required_keys: BTreeSet<String>,
}

impl FeatureGate {
    /// Creates the closed gate of a node with these peers; a scan is due at once.
    pub(super) fn new(node: &str, peers: &[String]) -> FeatureGate {
        let own_key = version_key(node);
        let mut required_keys: BTreeSet<String> =
            peers.iter().map(|peer| version_key(peer)).collect();
        required_keys.insert(own_key.clone());
        FeatureGate {
            state: FeatureGateState::Waiting { until: 0 },
            own_key,
            required_keys,
        }
    }

    /// Returns whether every controller is known to run this version or a higher one.
    pub(super) fn is_open(&self) -> bool {
        self.state == FeatureGateState::Open
    }

    #[cfg(test)]
    pub(super) fn open(&mut self) {
        self.transition_to(FeatureGateState::Open);
    }

    /// Changes the state. All state changes go through this function.
    fn transition_to(&mut self, next: FeatureGateState) {
        if next == FeatureGateState::Open {
            log::info!(
                "feature gate open: every controller runs version {PROGRAM_VERSION} or higher"
            );
        }
        self.state = next;
    }

    /// Changes `Waiting` to `ReadPending` when a scan is due.
    fn start_scan_if_due(&mut self, now: Millis) {
        if matches!(self.state, FeatureGateState::Waiting { until } if now >= until) {
            self.transition_to(FeatureGateState::ReadPending(VersionScan::default()));
        }
    }

    /// Changes `ReadPending` to `ReadInFlight`.
    fn mark_read_in_flight(&mut self) {
        if let FeatureGateState::ReadPending(scan) = &self.state {
            let scan = scan.clone();
            self.transition_to(FeatureGateState::ReadInFlight(scan));
        }
    }

    /// Changes `ReadInFlight` to `ReadPending` if there are more pages, or else to `WritePending`,
    /// to `Open`, or to `Waiting` if a peer's record is not current.
    fn apply_page(&mut self, page: ListPage<StoredVersionRecord>, next_scan_at: Millis) {
        let FeatureGateState::ReadInFlight(scan) = &self.state else {
            return;
        };
        let mut scan = scan.clone();
        let last = page.entries.last().map(|entry| entry.key.clone());
        for entry in page.entries {
            if entry.key == self.own_key {
                scan.own_record_revision = entry.revision;
            }
            if entry.value.is_current() {
                scan.current_keys.insert(entry.key);
            }
        }
        if page.has_more && last.is_some() {
            scan.start_after = last;
            return self.transition_to(FeatureGateState::ReadPending(scan));
        }
        if !scan.current_keys.contains(&self.own_key) {
            let revision = scan.own_record_revision;
            return self.transition_to(FeatureGateState::WritePending { revision });
        }
        if self.required_keys.is_subset(&scan.current_keys) {
            return self.transition_to(FeatureGateState::Open);
        }
        let missing: Vec<&String> = self.required_keys.difference(&scan.current_keys).collect();
        log::debug!("feature gate stays closed: no current version record at {missing:?}");
        self.transition_to(FeatureGateState::Waiting {
            until: next_scan_at,
        });
    }

    /// Changes `ReadInFlight` to `Waiting` after a failed read.
    fn handle_read_failure(&mut self, next_scan_at: Millis) {
        if matches!(self.state, FeatureGateState::ReadInFlight(_)) {
            self.transition_to(FeatureGateState::Waiting {
                until: next_scan_at,
            });
        }
    }

    /// Changes `WritePending` to `WriteInFlight`.
    fn mark_write_in_flight(&mut self) {
        if matches!(self.state, FeatureGateState::WritePending { .. }) {
            self.transition_to(FeatureGateState::WriteInFlight);
        }
    }

    /// Changes `WriteInFlight` to `Waiting`; the next scan shows the outcome of the transaction.
    fn handle_write_reply(&mut self, next_scan_at: Millis) {
        if self.state == FeatureGateState::WriteInFlight {
            self.transition_to(FeatureGateState::Waiting {
                until: next_scan_at,
            });
        }
    }
}

impl Node {
    /// Returns whether every controller is known to run a version that can read a gang's record.
    pub fn gangs_enabled(&self) -> bool {
        self.feature_gate.is_open()
    }

    /// Returns whether every controller is known to run a version that takes a worker's raised
    /// fencing token as one of the present term.
    pub(super) fn may_raise_tokens(&self) -> bool {
        self.feature_gate.is_open()
    }

    /// Sends the next request that the gate needs, within the budget, once the replica is live.
    pub(super) fn advance_feature_gate(&mut self) {
        if !self.replica_sync.is_live() {
            return;
        }
        self.feature_gate.start_scan_if_due(self.now.monotonic_ms);
        match &self.feature_gate.state {
            FeatureGateState::ReadPending(scan) => {
                let start_after = scan.start_after.clone();
                self.request_version_records(start_after);
            }
            FeatureGateState::WritePending { revision } => {
                let revision = *revision;
                self.store_version_record(revision);
            }
            FeatureGateState::Waiting { .. }
            | FeatureGateState::ReadInFlight(_)
            | FeatureGateState::WriteInFlight
            | FeatureGateState::Open => {}
        }
    }

    fn request_version_records(&mut self, start_after: Option<String>) {
        if !self.read_budget.try_take(self.now.monotonic_ms, 1.0) {
            return;
        }
        let call = StoreCall::ReadVersionRecords;
        self.list_prefix(call, VERSIONS_PREFIX, start_after.as_deref());
        self.feature_gate.mark_read_in_flight();
    }

    /// Stores this node's version record. The condition makes a late or repeated transaction
    /// harmless: a stored record is replaced only if it is still at the revision that was read.
    fn store_version_record(&mut self, revision: u64) {
        let now = self.now.monotonic_ms;
        if self.write_budget.available(now) < 1.0 || !self.read_budget.try_take(now, 1.0) {
            return;
        }
        self.write_budget.take_unconditionally(now, 1.0);
        let key = self.feature_gate.own_key.clone();
        let record = VersionRecord {
            version: PROGRAM_VERSION,
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: key.clone(),
                revision,
            }],
            writes: vec![Write::Put {
                key,
                value: StoredRecord::Version(record),
                lease_id: None,
            }],
        };
        self.send_transaction(StoreCall::StoreVersionRecord, &txn);
        self.feature_gate.mark_write_in_flight();
    }

    /// Handles a page of the version records.
    pub(super) fn handle_version_scan_result(&mut self, result: CallResult) {
        let next_scan_at = self.next_version_scan_at();
        match decode_success::<ListPage<StoredVersionRecord>>(result) {
            Ok(page) => self.feature_gate.apply_page(page, next_scan_at),
            Err(error) => {
                error.log("reading the version records");
                self.feature_gate.handle_read_failure(next_scan_at);
            }
        }
    }

    /// Handles the response to the transaction that stores this node's version record.
    pub(super) fn handle_version_write_result(&mut self, result: CallResult) {
        let next_scan_at = match result {
            Ok((200, _)) => self.now.monotonic_ms,
            other => {
                let reason = describe_result(&other);
                log::debug!(
                    "storing the version record failed, retrying after another scan: {reason}"
                );
                self.next_version_scan_at()
            }
        };
        self.feature_gate.handle_write_reply(next_scan_at);
    }

    /// Returns when the next scan is due. Scans use only a small part of the node's read budget.
    fn next_version_scan_at(&self) -> Millis {
        let scans_per_s = self.read_budget.tokens_per_s() * FEATURE_GATE_READ_FRACTION;
        let budget_interval_ms = (1e3 / scans_per_s) as Millis;
        self.now
            .monotonic_ms
            .saturating_add(budget_interval_ms.max(FEATURE_GATE_READ_INTERVAL_MS))
    }
}
