//! The record of a run: what was sent, answered and run, with the seconds since the start.
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    pub started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            file: Mutex::new(File::create(path).expect("the record can be written")),
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.line(text);
    }
}
