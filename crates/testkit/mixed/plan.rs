//! Which version each node starts with, life after life, and what is seen of it.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Old,
    New,
}

#[derive(Default)]
struct Plan {
    /// How many lives each node begins with the old version; all later ones are new.
    old_lives: BTreeMap<String, usize>,
    lives: BTreeMap<String, usize>,
    runs: BTreeMap<String, Version>,
    leaders: Vec<Version>,
    opened: BTreeSet<String>,
    broken: Vec<String>,
}

thread_local! {
    static PLAN: RefCell<Plan> = RefCell::default();
}

/// Begins a play: nodes that are not named are old in their first life.
pub fn begin(old_lives: BTreeMap<String, usize>) {
    PLAN.with_borrow_mut(|plan| {
        *plan = Plan {
            old_lives,
            ..Plan::default()
        }
    });
}

/// A process begins.
pub fn starts(node: &str) -> Version {
    PLAN.with_borrow_mut(|plan| {
        let old_lives = plan.old_lives.get(node).copied().unwrap_or(1);
        let life = plan.lives.entry(node.to_owned()).or_insert(0);
        let version = if *life < old_lives {
            Version::Old
        } else {
            Version::New
        };
        *life += 1;
        plan.runs.insert(node.to_owned(), version);
        version
    })
}

/// A node leads: the versions of the leaders, one after another.
pub fn leads(node: &str) {
    PLAN.with_borrow_mut(|plan| {
        let version = plan.runs[node];
        plan.leaders.push(version);
    });
}

/// A node takes gangs: no node may run the old version, nor ever again.
pub fn gate_opened(node: &str) {
    PLAN.with_borrow_mut(|plan| {
        plan.opened.insert(node.to_owned());
        let old: Vec<&String> = plan
            .runs
            .iter()
            .filter(|(_, version)| **version == Version::Old)
            .map(|(node, _)| node)
            .collect();
        if !old.is_empty() {
            let text = format!("gate of {node} opened beside the old {old:?}");
            plan.broken.push(text);
        }
    });
}

/// The versions of the leaders in turn, without repeats.
pub fn leaders() -> Vec<Version> {
    PLAN.with_borrow(|plan| {
        let mut leaders = plan.leaders.clone();
        leaders.dedup();
        leaders
    })
}

/// The nodes whose gate opened, in whichever life.
pub fn opened() -> BTreeSet<String> {
    PLAN.with_borrow(|plan| plan.opened.clone())
}

/// What went wrong.
pub fn broken() -> Vec<String> {
    PLAN.with_borrow(|plan| plan.broken.clone())
}

/// What each node runs now.
pub fn runs() -> BTreeMap<String, Version> {
    PLAN.with_borrow(|plan| plan.runs.clone())
}
