//! The feature gate of a rolling upgrade.
//!
//! During an upgrade processes of an earlier release run beside this one and can't read what is new
//! in it. So each node stores under `v/<node>`, which earlier releases never read, the release
//! that it runs; the record is never withdrawn. A node's gate opens once it has read such a
//! record, of this release or a higher one, of itself and of every known peer, and stays open
//! for the life of the process. Until then nothing is stored or sent that an earlier release
//! can't read. Answers that fail, are lost or come late only delay it.
use super::*;
use crate::records::{version_key, VersionRecord, VERSIONS_PREFIX, VERSION_FIELD};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::BTreeSet;
use stonegw_constants::{
    FEATURE_GATE_READ_FRACTION, FEATURE_GATE_READ_INTERVAL_MS, LIST_PAGE_ENTRIES, PROGRAM_VERSION,
    STORE_TIMEOUT_MS,
};

/// What stands under `v/`: the fields of a record. Not `ReleaseRecord` itself, for which a list,
/// whose elements could be taken for its fields in turn, would pass.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredVersionRecord {
    Known(BTreeMap<String, StoredField>),
    /// A value of an unknown form stands for no release.
    Unknown(IgnoredAny),
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredField {
    Number(u64),
    Other(IgnoredAny),
}

impl StoredVersionRecord {
    /// Whether whoever stored it runs this release or a higher one.
    fn is_current(&self) -> bool {
        let StoredVersionRecord::Known(fields) = self else {
            return false;
        };
        let field = fields.get(VERSION_FIELD);
        matches!(field, Some(StoredField::Number(release)) if *release >= PROGRAM_VERSION)
    }
}

/// What the pages of one read of `v/` have shown so far.
#[derive(Clone, Debug, Default, PartialEq)]
struct VersionScan {
    /// The last key of the last page.
    start_after: Option<String>,
    /// Keys of nodes that run this release or a higher one.
    current_keys: BTreeSet<String>,
    /// The stamp of our own record, 0 where none was read.
    own_record_revision: u64,
}

/// All states but the last are closed.
#[derive(Clone, Debug, PartialEq)]
enum FeatureGateState {
    /// The next round of reading begins then.
    Waiting { until: Millis },
    /// The next page of a round is to be asked for.
    ReadPending(VersionScan),
    /// That page is asked for.
    ReadInFlight(VersionScan),
    /// Our record is missing, or of a lower release at this stamp, and is to be stored.
    WritePending { revision: u64 },
    /// The transaction that stores it is on its way.
    WriteInFlight,
    /// Every known node runs this release or a higher one.
    Open,
}

/// Whether every controller is known to run this release.
pub(super) struct FeatureGate {
    state: FeatureGateState,
    own_key: String,
    /// The keys that must be current: our own and every peer's.
    required_keys: BTreeSet<String>,
}

impl FeatureGate {
    pub fn new(node: &str, peers: &[String]) -> FeatureGate {
        let own_key = version_key(node);
        let mut required_keys: BTreeSet<String> = peers.iter().map(|p| version_key(p)).collect();
        required_keys.insert(own_key.clone());
        FeatureGate {
            state: FeatureGateState::Waiting { until: 0 },
            own_key,
            required_keys,
        }
    }

    pub fn is_open(&self) -> bool {
        self.state == FeatureGateState::Open
    }

    /// The one place where the state changes.
    fn transition_to(&mut self, to: FeatureGateState) {
        if to == FeatureGateState::Open {
            log::info!(
                "every controller runs release {} or higher",
                PROGRAM_VERSION
            );
        }
        self.state = to;
    }

    /// `Waiting` -> `PageDue`, when its time has come.
    fn start_scan_if_due(&mut self, now: Millis) {
        if matches!(self.state, FeatureGateState::Waiting { until } if now >= until) {
            self.transition_to(FeatureGateState::ReadPending(VersionScan::default()));
        }
    }

    /// `PageDue` -> `Reading`.
    fn mark_read_in_flight(&mut self) {
        if let FeatureGateState::ReadPending(round) = &self.state {
            let round = round.clone();
            self.transition_to(FeatureGateState::ReadInFlight(round));
        }
    }

    /// `Reading` -> `PageDue`, `RecordDue`, `Open`, or `Waiting` for those that are missing.
    fn apply_page(&mut self, page: ListPage<StoredVersionRecord>, next_round: Millis) {
        let FeatureGateState::ReadInFlight(round) = &self.state else {
            return;
        };
        let mut round = round.clone();
        let last = page.entries.last().map(|entry| entry.key.clone());
        for entry in page.entries {
            if entry.key == self.own_key {
                round.own_record_revision = entry.revision;
            }
            if entry.value.is_current() {
                round.current_keys.insert(entry.key);
            }
        }
        if page.has_more && last.is_some() {
            round.start_after = last;
            return self.transition_to(FeatureGateState::ReadPending(round));
        }
        if !round.current_keys.contains(&self.own_key) {
            let revision = round.own_record_revision;
            return self.transition_to(FeatureGateState::WritePending { revision });
        }
        if self.required_keys.is_subset(&round.current_keys) {
            return self.transition_to(FeatureGateState::Open);
        }
        let missing: Vec<&String> = self.required_keys.difference(&round.current_keys).collect();
        log::debug!("gate closed, missing {missing:?}");
        self.transition_to(FeatureGateState::Waiting { until: next_round });
    }

    /// `Reading` -> `Waiting`.
    fn handle_read_failure(&mut self, next_round: Millis) {
        if matches!(self.state, FeatureGateState::ReadInFlight(_)) {
            self.transition_to(FeatureGateState::Waiting { until: next_round });
        }
    }

    /// `RecordDue` -> `Recording`.
    fn mark_write_in_flight(&mut self) {
        if matches!(self.state, FeatureGateState::WritePending { .. }) {
            self.transition_to(FeatureGateState::WriteInFlight);
        }
    }

    /// `Recording` -> `Waiting`: whatever became of the transaction, the next round shows it.
    fn handle_write_reply(&mut self, next_round: Millis) {
        if self.state == FeatureGateState::WriteInFlight {
            self.transition_to(FeatureGateState::Waiting { until: next_round });
        }
    }
}

impl Node {
    /// Whether every controller is known to run a release that can read a gang's record.
    pub fn gangs_enabled(&self) -> bool {
        self.feature_gate.is_open()
    }

    /// Lets the gate send what is due, within the budget, once the copy of `c/` is live.
    pub(super) fn advance_feature_gate(&mut self) {
        if self.replica_sync != ReplicaSync::Live {
            return;
        }
        self.feature_gate.start_scan_if_due(self.now.monotonic_ms);
        match &self.feature_gate.state {
            FeatureGateState::ReadPending(round) => {
                let after = round.start_after.clone();
                self.request_version_records(after);
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

    fn request_version_records(&mut self, after: Option<String>) {
        if !self.read_budget.try_take(self.now.monotonic_ms, 1.0) {
            return;
        }
        let mut path = format!("/kv?prefix={VERSIONS_PREFIX}&limit={}", LIST_PAGE_ENTRIES);
        if let Some(key) = after {
            path.push_str(&format!("&since={key}"));
        }
        let call = self
            .outbox
            .start_call(Target::Store, "GET", path, vec![], STORE_TIMEOUT_MS);
        self.calls_in_flight
            .insert(call, NodeCall::ReadVersionRecords);
        self.feature_gate.mark_read_in_flight();
    }

    /// The condition makes a late or repeated transaction harmless: a record that stands is only
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
        self.send_transaction(&txn, NodeCall::StoreVersionRecord);
        self.feature_gate.mark_write_in_flight();
    }

    pub(super) fn handle_version_records(&mut self, result: CallResult) {
        let next_round = self.next_version_scan_at();
        let page = match result {
            Ok((200, body)) => {
                decode::<ListPage<StoredVersionRecord>>(&body).map_err(|e| e.to_string())
            }
            other => Err(describe_result(&other)),
        };
        match page {
            Ok(page) => self.feature_gate.apply_page(page, next_round),
            Err(why) => {
                log::debug!("releases not read: {why}");
                self.feature_gate.handle_read_failure(next_round);
            }
        }
    }

    pub(super) fn handle_version_record_stored(&mut self, result: CallResult) {
        let next_round = match result {
            Ok((200, _)) => self.now.monotonic_ms,
            other => {
                log::debug!("release not recorded: {}", describe_result(&other));
                self.next_version_scan_at()
            }
        };
        self.feature_gate.handle_write_reply(next_round);
    }

    /// Rounds keep to a small part of the node's budget of requests.
    fn next_version_scan_at(&self) -> Millis {
        let per_second = self.read_budget.tokens_per_s() * FEATURE_GATE_READ_FRACTION;
        let least_ms = (1e3 / per_second) as Millis;
        self.now
            .monotonic_ms
            .saturating_add(least_ms.max(FEATURE_GATE_READ_INTERVAL_MS))
    }
}
