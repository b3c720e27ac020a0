//! Plays the upgrade traces in `traces/`. No rule may be violated, all expectations of a trace must
//! hold, and no node may log a record or response that it can't decode.
//!
//! A trace configures the test by comments:
//!
//! - `# old-incarnations NODE N`: the first N incarnations of the node run the old version (1 if
//!   missing);
//! - `# leaders old new ...`: the expected versions of the leaders, in order, without consecutive
//!   repeats;
//! - `# gates N`: the expected number of nodes whose feature gate opens.
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use stonegw_testkit::plan::{self, Version};

/// Fragments of the log texts of both versions about a record or response that can't be decoded.
const UNREADABLE_FRAGMENTS: [&str; 5] = [
    "not understood",
    "unexpected record",
    "undecodable",
    "can't decode",
    "malformed",
];

/// A logger that collects the messages of both versions about records and responses that can't be
/// decoded.
struct UnreadableRecorder(Mutex<Vec<String>>);

impl log::Log for UnreadableRecorder {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &log::Record) {
        let text = record.args().to_string();
        if UNREADABLE_FRAGMENTS
            .iter()
            .any(|fragment| text.contains(fragment))
        {
            self.0.lock().expect("the lock is not poisoned").push(text);
        }
    }

    fn flush(&self) {}
}

static UNREADABLE_RECORDER: UnreadableRecorder = UnreadableRecorder(Mutex::new(vec![]));

/// Returns the words after the name in each comment `# NAME WORD...` of a trace.
fn directive_words<'a>(trace: &'a str, name: &str) -> Vec<Vec<&'a str>> {
    let prefix = format!("# {name} ");
    let lines = trace.lines().filter_map(|line| line.strip_prefix(&prefix));
    lines
        .map(|line| line.split_whitespace().collect())
        .collect()
}

fn parse_version(word: &str) -> Version {
    match word {
        "old" => Version::Old,
        "new" => Version::New,
        other => panic!("unknown version {other}"),
    }
}

fn play_upgrade(path: &Path) {
    let trace = std::fs::read_to_string(path).expect("the trace is readable");
    let old_incarnations: BTreeMap<String, usize> = directive_words(&trace, "old-incarnations")
        .into_iter()
        .map(|words| {
            (
                words[0].to_owned(),
                words[1]
                    .parse()
                    .expect("old-incarnations takes a number of incarnations"),
            )
        })
        .collect();
    plan::reset(old_incarnations);
    let sim = stonegw_testkit::trace::play(&trace);
    let name = path
        .file_stem()
        .expect("the trace has a file name")
        .to_string_lossy();
    let failures = [
        sim.violations.clone(),
        sim.expectation_failures.clone(),
        plan::violations(),
    ]
    .concat();
    if !failures.is_empty() || std::env::var_os("SHOW_TRACE").is_some() {
        println!("{}", sim.log.join("\n"));
    }
    assert!(failures.is_empty(), "{name}: {failures:#?}");
    for (id, job) in &sim.jobs {
        assert!(
            job.reported_end.is_some(),
            "{name}: no end of job {id} was reported to its user"
        );
    }
    let leader_words = directive_words(&trace, "leaders").concat();
    let expected_leaders: Vec<Version> = leader_words.into_iter().map(parse_version).collect();
    assert_eq!(
        plan::leader_versions(),
        expected_leaders,
        "{name}: versions of the leaders"
    );
    let expected_gates: usize = directive_words(&trace, "gates")[0][0]
        .parse()
        .expect("gates takes a number of nodes");
    let open_gates = plan::nodes_with_open_gate();
    assert_eq!(
        open_gates.len(),
        expected_gates,
        "{name}: feature gates opened on {open_gates:?}"
    );
    if expected_gates > 0 {
        let versions = plan::running_versions();
        let runs_old = versions.values().any(|version| *version == Version::Old);
        assert!(
            !runs_old,
            "{name}: a node still runs the old version at the end"
        );
    }
    println!(
        "ok     {name}: {} jobs, leaders {expected_leaders:?}, {expected_gates} gates",
        sim.jobs.len()
    );
}

#[test]
fn upgrades() {
    log::set_logger(&UNREADABLE_RECORDER).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Warn);
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let entries = std::fs::read_dir(dir).expect("the trace folder is readable");
    let mut traces: Vec<_> = entries
        .map(|entry| entry.expect("the folder entry is readable").path())
        .collect();
    traces.sort();
    assert!(!traces.is_empty());
    traces.iter().for_each(|path| play_upgrade(path));
    let unreadable = UNREADABLE_RECORDER
        .0
        .lock()
        .expect("the lock is not poisoned");
    assert!(
        unreadable.is_empty(),
        "nodes failed to decode records or responses: {unreadable:#?}"
    );
}
