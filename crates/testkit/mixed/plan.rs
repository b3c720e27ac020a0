//! Which version each incarnation of a node runs, and what is observed of the nodes.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// A version of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The version in production.
    Old,
    /// The version of this tree.
    New,
}

#[derive(Default)]
struct VersionPlan {
    /// How many incarnations of each node run the old version; all later ones run the new one.
    old_incarnations: BTreeMap<String, usize>,
    incarnations: BTreeMap<String, usize>,
    running_versions: BTreeMap<String, Version>,
    leader_versions: Vec<Version>,
    nodes_with_open_gate: BTreeSet<String>,
    violations: Vec<String>,
}

thread_local! {
    static PLAN: RefCell<VersionPlan> = RefCell::default();
}

/// Begins a play: nodes that are not named run the old version in their first incarnation.
pub fn begin_play(old_incarnations: BTreeMap<String, usize>) {
    PLAN.with_borrow_mut(|plan| {
        *plan = VersionPlan {
            old_incarnations,
            ..VersionPlan::default()
        }
    });
}

/// A process of the node starts: returns the version that it runs.
pub fn record_start(node: &str) -> Version {
    PLAN.with_borrow_mut(|plan| {
        let old_incarnations = plan.old_incarnations.get(node).copied().unwrap_or(1);
        let incarnation = plan.incarnations.entry(node.to_owned()).or_insert(0);
        let version = if *incarnation < old_incarnations {
            Version::Old
        } else {
            Version::New
        };
        *incarnation += 1;
        plan.running_versions.insert(node.to_owned(), version);
        version
    })
}

/// The node has become the leader.
pub fn record_leader(node: &str) {
    PLAN.with_borrow_mut(|plan| {
        let version = plan.running_versions[node];
        plan.leader_versions.push(version);
    });
}

/// The node's feature gate has opened (it accepts gangs): from now on no node may run the old
/// version.
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
            let text = format!("gate of {node} opened beside the old {old_nodes:?}");
            plan.violations.push(text);
        }
    });
}

/// The versions of the leaders in turn, without repeats.
pub fn leader_versions() -> Vec<Version> {
    PLAN.with_borrow(|plan| {
        let mut versions = plan.leader_versions.clone();
        versions.dedup();
        versions
    })
}

/// The nodes whose feature gate opened, in whichever incarnation.
pub fn nodes_with_open_gate() -> BTreeSet<String> {
    PLAN.with_borrow(|plan| plan.nodes_with_open_gate.clone())
}

/// Rules that were broken.
pub fn violations() -> Vec<String> {
    PLAN.with_borrow(|plan| plan.violations.clone())
}

/// The version that each node runs now.
pub fn running_versions() -> BTreeMap<String, Version> {
    PLAN.with_borrow(|plan| plan.running_versions.clone())
}
