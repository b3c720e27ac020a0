//! Plays the upgrades in `traces/`: no rule may break, and what each expects must hold. A comment
//! `# old-lives NODE N` says how many lives a node begins with the old version (1 if not said),
//! `# leaders old new ...` the versions of the leaders in turn, `# gates N` on how many
//! nodes the gate opens.
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use stonegw_testkit::plan::{self, Version};

/// What a node says that can't read a record or an answer.
const UNREAD: [&str; 2] = ["not understood", "unexpected record"];

/// Keeps what either version says of what it can't read.
struct Unread(Mutex<Vec<String>>);

impl log::Log for Unread {
    fn enabled(&self, metadata: &log::Metadata) -> bool {
        metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &log::Record) {
        let text = record.args().to_string();
        if UNREAD.iter().any(|part| text.contains(part)) {
            self.0.lock().expect("lock").push(text);
        }
    }

    fn flush(&self) {}
}

static UNREAD_SEEN: Unread = Unread(Mutex::new(vec![]));

fn directive<'a>(text: &'a str, name: &str) -> Vec<Vec<&'a str>> {
    let prefix = format!("# {name} ");
    let lines = text.lines().filter_map(|l| l.strip_prefix(&prefix));
    lines.map(|l| l.split_whitespace().collect()).collect()
}

fn play(path: &Path) {
    let text = std::fs::read_to_string(path).expect("trace");
    let old_lives: BTreeMap<String, usize> = directive(&text, "old-lives")
        .into_iter()
        .map(|words| (words[0].to_owned(), words[1].parse().expect("lives")))
        .collect();
    plan::begin(old_lives);
    let sim = stonegw_testkit::trace::play(&text);
    let name = path.file_stem().expect("name").to_string_lossy();
    let broken = [sim.broken.clone(), sim.failures.clone(), plan::broken()].concat();
    if !broken.is_empty() || std::env::var_os("SHOW_TRACE").is_some() {
        println!("{}", sim.log.join("\n"));
    }
    assert!(broken.is_empty(), "{name}: {broken:#?}");
    for (id, job) in &sim.jobs {
        assert!(job.ended.is_some(), "{name}: {id} has not ended");
    }
    let version = |word: &&str| match *word {
        "old" => Version::Old,
        "new" => Version::New,
        other => panic!("unknown version {other}"),
    };
    let leaders: Vec<Version> = directive(&text, "leaders")
        .concat()
        .iter()
        .map(version)
        .collect();
    assert_eq!(plan::leaders(), leaders, "{name}");
    let gates: usize = directive(&text, "gates")[0][0].parse().expect("gates");
    assert_eq!(plan::opened().len(), gates, "{name}: {:?}", plan::opened());
    if gates > 0 {
        let old = plan::runs().values().any(|v| *v == Version::Old);
        assert!(!old, "{name}: an old node is left");
    }
    println!(
        "ok     {name}: {} jobs, leaders {leaders:?}, {gates} gates",
        sim.jobs.len()
    );
}

#[test]
fn upgrades() {
    log::set_logger(&UNREAD_SEEN).expect("the only logger");
    log::set_max_level(log::LevelFilter::Warn);
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("traces");
    let entries = std::fs::read_dir(dir).expect("traces");
    let mut traces: Vec<_> = entries.map(|e| e.expect("entry").path()).collect();
    traces.sort();
    assert!(!traces.is_empty());
    traces.iter().for_each(|path| play(path));
    let unread = UNREAD_SEEN.0.lock().expect("lock");
    assert!(unread.is_empty(), "not read: {unread:#?}");
}
