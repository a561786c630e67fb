//! The record of a run: what was sent, answered and run, with the time since the start in seconds.
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Time since the start of the run. All times of a case are on this clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: Duration, text: &str) {
        let line = format!("{:9.4} {text}\n", at.as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
