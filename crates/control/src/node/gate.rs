//! The feature gate of a rolling upgrade.
//!
//! During an upgrade processes of an earlier release run beside this one and can't read what is new
//! in it. So each node stores under `v/<node>`, which earlier releases never read, the release
//! that it runs; the record is never withdrawn. A node's gate opens once it has read such a
//! record, of this release or a higher one, of itself and of every known peer, and stays open
//! for the life of the process. Until then nothing is stored or sent that an earlier release
//! can't read. Answers that fail, are lost or come late only delay it.
use super::*;
use crate::records::{release_key, ReleaseRecord, RELEASES, RELEASE_FIELD};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::BTreeSet;

/// What stands under `v/`: the fields of a record. Not `ReleaseRecord` itself, for which a list,
/// whose elements could be taken for its fields in turn, would pass.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredRelease {
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

impl StoredRelease {
    /// Whether whoever stored it runs this release or a higher one.
    fn is_current(&self) -> bool {
        let StoredRelease::Known(fields) = self else {
            return false;
        };
        let field = fields.get(RELEASE_FIELD);
        matches!(field, Some(StoredField::Number(release)) if *release >= k::RELEASE)
    }
}

/// What the pages of one read of `v/` have shown so far.
#[derive(Clone, Debug, Default, PartialEq)]
struct Round {
    /// The last key of the last page.
    after: Option<String>,
    /// Keys of nodes that run this release or a higher one.
    current: BTreeSet<String>,
    /// The stamp of our own record, 0 where none was read.
    own_version: u64,
}

/// All states but the last are closed.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The next round of reading begins then.
    Waiting { until: Ms },
    /// The next page of a round is to be asked for.
    PageDue(Round),
    /// That page is asked for.
    Reading(Round),
    /// Our record is missing, or of a lower release at this stamp, and is to be stored.
    RecordDue { version: u64 },
    /// The transaction that stores it is on its way.
    Recording,
    /// Every known node runs this release or a higher one.
    Open,
}

/// Whether every controller is known to run this release.
pub(super) struct Gate {
    state: State,
    own_key: String,
    /// The keys that must be current: our own and every peer's.
    needed: BTreeSet<String>,
}

impl Gate {
    pub fn new(node: &str, peers: &[String]) -> Gate {
        let own_key = release_key(node);
        let mut needed: BTreeSet<String> = peers.iter().map(|p| release_key(p)).collect();
        needed.insert(own_key.clone());
        Gate {
            state: State::Waiting { until: 0 },
            own_key,
            needed,
        }
    }

    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// The one place where the state changes.
    fn enter(&mut self, to: State) {
        if to == State::Open {
            log::info!("every controller runs release {} or higher", k::RELEASE);
        }
        self.state = to;
    }

    /// `Waiting` -> `PageDue`, when its time has come.
    fn begin_round(&mut self, now: Ms) {
        if matches!(self.state, State::Waiting { until } if now >= until) {
            self.enter(State::PageDue(Round::default()));
        }
    }

    /// `PageDue` -> `Reading`.
    fn page_asked(&mut self) {
        if let State::PageDue(round) = &self.state {
            let round = round.clone();
            self.enter(State::Reading(round));
        }
    }

    /// `Reading` -> `PageDue`, `RecordDue`, `Open`, or `Waiting` for those that are missing.
    fn page_read(&mut self, page: Listing<StoredRelease>, next_round: Ms) {
        let State::Reading(round) = &self.state else {
            return;
        };
        let mut round = round.clone();
        let last = page.items.last().map(|entry| entry.key.clone());
        for entry in page.items {
            if entry.key == self.own_key {
                round.own_version = entry.version;
            }
            if entry.value.is_current() {
                round.current.insert(entry.key);
            }
        }
        if page.more && last.is_some() {
            round.after = last;
            return self.enter(State::PageDue(round));
        }
        if !round.current.contains(&self.own_key) {
            let version = round.own_version;
            return self.enter(State::RecordDue { version });
        }
        if self.needed.is_subset(&round.current) {
            return self.enter(State::Open);
        }
        let missing: Vec<&String> = self.needed.difference(&round.current).collect();
        log::debug!("gate closed, missing {missing:?}");
        self.enter(State::Waiting { until: next_round });
    }

    /// `Reading` -> `Waiting`.
    fn read_failed(&mut self, next_round: Ms) {
        if matches!(self.state, State::Reading(_)) {
            self.enter(State::Waiting { until: next_round });
        }
    }

    /// `RecordDue` -> `Recording`.
    fn record_sent(&mut self) {
        if matches!(self.state, State::RecordDue { .. }) {
            self.enter(State::Recording);
        }
    }

    /// `Recording` -> `Waiting`: whatever became of the transaction, the next round shows it.
    fn record_answered(&mut self, next_round: Ms) {
        if self.state == State::Recording {
            self.enter(State::Waiting { until: next_round });
        }
    }
}

impl Node {
    /// Whether every controller is known to run a release that can read a gang's record.
    pub fn gangs_open(&self) -> bool {
        self.gate.is_open()
    }

    /// Lets the gate send what is due, within the budget, once the copy of `c/` is live.
    pub(super) fn advance_gate(&mut self) {
        if self.sync != Sync::Live {
            return;
        }
        self.gate.begin_round(self.now.ms);
        match &self.gate.state {
            State::PageDue(round) => {
                let after = round.after.clone();
                self.read_releases(after);
            }
            State::RecordDue { version } => {
                let version = *version;
                self.record_release(version);
            }
            State::Waiting { .. } | State::Reading(_) | State::Recording | State::Open => {}
        }
    }

    fn read_releases(&mut self, after: Option<String>) {
        if !self.reads.take(self.now.ms, 1.0) {
            return;
        }
        let mut path = format!("/kv?prefix={RELEASES}&limit={}", k::LIST_PAGE);
        if let Some(key) = after {
            path.push_str(&format!("&since={key}"));
        }
        let call = self
            .out
            .call(Target::State, "GET", path, vec![], k::STATE_TIMEOUT_MS);
        self.calls.insert(call, Call::ReadReleases);
        self.gate.page_asked();
    }

    /// The condition makes a late or repeated transaction harmless: a record that stands is only
    /// replaced while it is the one that was read.
    fn record_release(&mut self, version: u64) {
        let now = self.now.ms;
        if self.writes.level(now) < 1.0 || !self.reads.take(now, 1.0) {
            return;
        }
        self.writes.force(now, 1.0);
        let key = self.gate.own_key.clone();
        let record = ReleaseRecord {
            release: k::RELEASE,
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write::Put {
                key,
                value: Value::Release(record),
                lease: None,
            }],
        };
        self.transact(&txn, Call::RecordRelease);
        self.gate.record_sent();
    }

    pub(super) fn releases_read(&mut self, result: CallResult) {
        let next_round = self.next_gate_round();
        let page = match result {
            Ok((200, body)) => decode::<Listing<StoredRelease>>(&body),
            other => Err(describe(&other)),
        };
        match page {
            Ok(page) => self.gate.page_read(page, next_round),
            Err(why) => {
                log::debug!("releases not read: {why}");
                self.gate.read_failed(next_round);
            }
        }
    }

    pub(super) fn release_recorded(&mut self, result: CallResult) {
        let next_round = match result {
            Ok((200, _)) => self.now.ms,
            other => {
                log::debug!("release not recorded: {}", describe(&other));
                self.next_gate_round()
            }
        };
        self.gate.record_answered(next_round);
    }

    /// Rounds keep to a small part of the node's budget of requests.
    fn next_gate_round(&self) -> Ms {
        let per_second = self.reads.rate() * k::GATE_READ_PART;
        let least_ms = (1e3 / per_second) as Ms;
        self.now.ms.saturating_add(least_ms.max(k::GATE_READ_MS))
    }
}
