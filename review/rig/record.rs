//! The record of a run: what was sent, answered and run, with seconds since its start.
use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

pub fn open(path: &str) -> std::io::Result<()> {
    let _ = FILE.set(Mutex::new(File::create(path)?));
    let _ = START.set(Instant::now());
    Ok(())
}

/// Seconds since the start of the run.
pub fn now() -> f64 {
    START
        .get()
        .map_or(0.0, |start| start.elapsed().as_secs_f64())
}

pub fn line(text: &str) {
    let line = format!("{:9.3} {text}\n", now());
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! rec {
    ($($part:tt)*) => { $crate::record::line(&format!($($part)*)) };
}
