//! The feature gate of a rolling upgrade.
//!
//! During an upgrade processes of an earlier version run beside this one and can't read what is new
//! in it. So each node stores under `v/<node>`, which earlier versions never read, the version that
//! it runs; the record is never deleted. A node's gate opens once it has read such a record, of
//! this version or a higher one, of itself and of every peer, and stays open for the life of the
//! process. Until then nothing is stored or sent that an earlier version can't read. Responses that
//! fail, are lost or come late only delay it.
//!
//! A scan reads all version records, page by page:
//!
//! | state | goes to |
//! | --- | --- |
//! | `Waiting` | `ReadPending`, when the next scan is due |
//! | `ReadPending` | `ReadInFlight`, when the budget allows the request |
//! | `ReadInFlight` | `ReadPending` for the next page; after the last page `Open`, `WritePending` if our own record is not current, `Waiting` if a peer's is not; `Waiting` if the read failed |
//! | `WritePending` | `WriteInFlight`, when the budget allows the transaction |
//! | `WriteInFlight` | `Waiting`, whatever became of the transaction |
//! | `Open` | nothing: it is final |
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

/// What is stored under `v/`: the fields of a record. Not `VersionRecord` itself, as which a list
/// would pass too, its elements taken for the fields in turn.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredVersionRecord {
    Known(BTreeMap<String, StoredField>),
    /// A value of an unknown form names no version.
    Unknown(IgnoredAny),
}

/// A field of such a record.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredField {
    Number(u64),
    Other(IgnoredAny),
}

impl StoredVersionRecord {
    /// Whether the node that stored it runs this version or a higher one.
    fn is_current(&self) -> bool {
        let StoredVersionRecord::Known(fields) = self else {
            return false;
        };
        let field = fields.get(VERSION_FIELD);
        matches!(field, Some(StoredField::Number(version)) if *version >= PROGRAM_VERSION)
    }
}

/// What the pages of one scan have shown so far.
#[derive(Clone, Debug, Default, PartialEq)]
struct VersionScan {
    /// The last key of the last page.
    start_after: Option<String>,
    /// Keys of nodes that run this version or a higher one.
    current_keys: BTreeSet<String>,
    /// The revision of our own record, 0 where none was read.
    own_record_revision: u64,
}

/// The states of the gate, as the module describes them. All but the last are closed.
#[derive(Clone, Debug, PartialEq)]
enum FeatureGateState {
    /// The next scan begins at this time.
    Waiting { until: Millis },
    /// The next page of a scan is to be requested.
    ReadPending(VersionScan),
    /// That page is requested.
    ReadInFlight(VersionScan),
    /// Our record is absent, or of a lower version at this revision, and is to be stored.
    WritePending { revision: u64 },
    /// The transaction that stores it is in flight.
    WriteInFlight,
    /// Every controller runs this version or a higher one.
    Open,
}

/// Whether every controller is known to run this version.
pub(super) struct FeatureGate {
    state: FeatureGateState,
    own_key: String,
    /// The keys that must be current: our own and every peer's.
    required_keys: BTreeSet<String>,
}

impl FeatureGate {
    /// The closed gate of a node with these peers; a scan is due at once.
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

    /// Every controller is known to run this version or a higher one.
    pub(super) fn is_open(&self) -> bool {
        self.state == FeatureGateState::Open
    }

    /// The one place where the state changes.
    fn transition_to(&mut self, next: FeatureGateState) {
        if next == FeatureGateState::Open {
            log::info!(
                "feature gate open: every controller runs version {PROGRAM_VERSION} or higher"
            );
        }
        self.state = next;
    }

    /// `Waiting` -> `ReadPending`, when a scan is due.
    fn start_scan_if_due(&mut self, now: Millis) {
        if matches!(self.state, FeatureGateState::Waiting { until } if now >= until) {
            self.transition_to(FeatureGateState::ReadPending(VersionScan::default()));
        }
    }

    /// `ReadPending` -> `ReadInFlight`.
    fn mark_read_in_flight(&mut self) {
        if let FeatureGateState::ReadPending(scan) = &self.state {
            let scan = scan.clone();
            self.transition_to(FeatureGateState::ReadInFlight(scan));
        }
    }

    /// `ReadInFlight` -> `ReadPending`, `WritePending`, `Open`, or `Waiting` for the absent nodes.
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
        let absent: Vec<&String> = self.required_keys.difference(&scan.current_keys).collect();
        log::debug!("feature gate closed: no current version of {absent:?}");
        self.transition_to(FeatureGateState::Waiting {
            until: next_scan_at,
        });
    }

    /// `ReadInFlight` -> `Waiting`.
    fn handle_read_failure(&mut self, next_scan_at: Millis) {
        if matches!(self.state, FeatureGateState::ReadInFlight(_)) {
            self.transition_to(FeatureGateState::Waiting {
                until: next_scan_at,
            });
        }
    }

    /// `WritePending` -> `WriteInFlight`.
    fn mark_write_in_flight(&mut self) {
        if matches!(self.state, FeatureGateState::WritePending { .. }) {
            self.transition_to(FeatureGateState::WriteInFlight);
        }
    }

    /// `WriteInFlight` -> `Waiting`: the next scan shows what became of the transaction.
    fn handle_write_reply(&mut self, next_scan_at: Millis) {
        if self.state == FeatureGateState::WriteInFlight {
            self.transition_to(FeatureGateState::Waiting {
                until: next_scan_at,
            });
        }
    }
}

impl Node {
    /// Whether every controller is known to run a version that can read a gang's record.
    pub fn gangs_enabled(&self) -> bool {
        self.feature_gate.is_open()
    }

    /// Sends what the gate needs, within the budget, once the replica is live.
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

    /// The condition makes a late or repeated transaction harmless: a stored record is only
    /// replaced while it is the one that was read.
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

    /// Handles the response to the transaction that stores our own record.
    pub(super) fn handle_version_write_result(&mut self, result: CallResult) {
        let next_scan_at = match result {
            Ok((200, _)) => self.now.monotonic_ms,
            other => {
                let reason = describe_result(&other);
                log::debug!("storing the version record failed: {reason}");
                self.next_version_scan_at()
            }
        };
        self.feature_gate.handle_write_reply(next_scan_at);
    }

    /// Scans keep to a small part of the node's read budget.
    fn next_version_scan_at(&self) -> Millis {
        let scans_per_s = self.read_budget.tokens_per_s() * FEATURE_GATE_READ_FRACTION;
        let budget_interval_ms = (1e3 / scans_per_s) as Millis;
        self.now
            .monotonic_ms
            .saturating_add(budget_interval_ms.max(FEATURE_GATE_READ_INTERVAL_MS))
    }
}
