//! Assigns a version to each incarnation of a node, and records the leaders, the opened feature
//! gates and the rule violations of a trace.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// A version of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The version in production.
    Old,
    /// The version of this source tree.
    New,
}

#[derive(Default)]
struct VersionPlan {
    /// The number of first incarnations of each node that run the old version. All later
    /// incarnations run the new version.
    old_incarnations: BTreeMap<String, usize>,
    /// The number of incarnations of each node that have started.
    started_incarnations: BTreeMap<String, usize>,
    /// The version of each node's current incarnation.
    running_versions: BTreeMap<String, Version>,
    /// The versions of the leaders in the order of their elections.
    leader_versions: Vec<Version>,
    /// The nodes whose feature gate opened in any incarnation.
    nodes_with_open_gate: BTreeSet<String>,
    violations: Vec<String>,
}

thread_local! {
    static PLAN: RefCell<VersionPlan> = RefCell::default();
}

/// Replaces the plan at the start of a trace. A node without an entry in `old_incarnations` runs
/// the old version in its first incarnation.
pub fn reset(old_incarnations: BTreeMap<String, usize>) {
    PLAN.with_borrow_mut(|plan| {
        *plan = VersionPlan {
            old_incarnations,
            ..VersionPlan::default()
        }
    });
}

/// Records that a new incarnation of the node starts, and returns the version that it runs.
pub fn record_start(node: &str) -> Version {
    PLAN.with_borrow_mut(|plan| {
        let old_incarnations = plan.old_incarnations.get(node).copied().unwrap_or(1);
        let started = plan
            .started_incarnations
            .entry(node.to_owned())
            .or_insert(0);
        let version = if *started < old_incarnations {
            Version::Old
        } else {
            Version::New
        };
        *started += 1;
        plan.running_versions.insert(node.to_owned(), version);
        version
    })
}

/// Records that the node has become the leader.
pub fn record_leader(node: &str) {
    PLAN.with_borrow_mut(|plan| {
        let version = plan.running_versions[node];
        plan.leader_versions.push(version);
    });
}

/// Records that the node's feature gate has opened, so that the node accepts gangs. From this time
/// on no node may run the old version; if one still does, a violation is recorded.
pub fn record_gate_opened(node: &str) {
    PLAN.with_borrow_mut(|plan| {
        plan.nodes_with_open_gate.insert(node.to_owned());
        let old_nodes: Vec<&String> = plan
            .running_versions
            .iter()
            .filter(|(_, version)| **version == Version::Old)
            .map(|(node, _)| node)
            .collect();
        if !old_nodes.is_empty() {
            let text =
                format!("feature gate of {node} opened while {old_nodes:?} run the old version");
            plan.violations.push(text);
        }
    });
}

/// Returns the versions of the leaders in the order of their elections, without consecutive
/// repeats.
pub fn leader_versions() -> Vec<Version> {
    PLAN.with_borrow(|plan| {
        let mut versions = plan.leader_versions.clone();
        versions.dedup();
        versions
    })
}

/// Returns the nodes whose feature gate opened in any incarnation.
pub fn nodes_with_open_gate() -> BTreeSet<String> {
    PLAN.with_borrow(|plan| plan.nodes_with_open_gate.clone())
}

/// Returns the violations that were recorded.
pub fn violations() -> Vec<String> {
    PLAN.with_borrow(|plan| plan.violations.clone())
}

/// Returns the version of each node's current incarnation.
pub fn running_versions() -> BTreeMap<String, Version> {
    PLAN.with_borrow(|plan| plan.running_versions.clone())
}
