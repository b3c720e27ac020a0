//! The controllers: the project's own program, one process each, started with the command of the
//! deploy file.
use crate::record::Record;
use std::fs::File;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

pub struct Controllers {
    pub names: Vec<String>,
    children: Mutex<Vec<Option<Child>>>,
    settings: Vec<String>,
    folder: String,
    run: Vec<String>,
    record: Arc<Record>,
}

impl Controllers {
    pub fn new(folder: &str, settings: Vec<String>, record: Arc<Record>) -> Controllers {
        let deploy = std::fs::read_to_string("deploy/service.toml").expect("the deploy file");
        let line = deploy
            .lines()
            .find(|line| line.starts_with("run"))
            .expect("a run line");
        let run = line.split('"').nth(1).expect("a command");
        let mut paths = vec![];
        for (node, text) in settings.iter().enumerate() {
            let path = format!("{folder}/hearth-{node}.toml");
            std::fs::write(&path, text).expect("the settings can be written");
            paths.push(path);
        }
        Controllers {
            names: (0..paths.len())
                .map(|node| format!("hearth-{node}"))
                .collect(),
            children: Mutex::new(paths.iter().map(|_| None).collect()),
            settings: paths,
            folder: folder.to_string(),
            run: run.split_whitespace().map(String::from).collect(),
            record,
        }
    }

    pub fn start(&self, node: usize) {
        let path = format!("{}/{}.log", self.folder, self.names[node]);
        let log = File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("a log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .arg(&self.settings[node])
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.record.line(&format!("{} starts", self.names[node]));
        self.children.lock().unwrap()[node] = Some(child);
    }

    /// The process ends without a signal that it could handle.
    pub fn crash(&self, node: usize) {
        self.record.say(&format!("{} is killed", self.names[node]));
        if let Some(mut child) = self.children.lock().unwrap()[node].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The names of controllers that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let mut ended = vec![];
        for (node, child) in self.children.lock().unwrap().iter_mut().enumerate() {
            if let Some(child) = child {
                if let Ok(Some(status)) = child.try_wait() {
                    ended.push(format!("{} ({status})", self.names[node]));
                }
            }
        }
        ended
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
