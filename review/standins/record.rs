//! Record of what was sent, answered and run.

use std::fmt::Display;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: impl Display) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.started.elapsed(), line.to_string()));
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: impl Display) {
        println!("{:8.3} s  {line}", self.now().as_secs_f64());
        self.add(line);
    }

    pub fn save(&self, path: &Path) {
        let lines = self.lines.lock().unwrap();
        let line = |(at, line): &(Duration, String)| format!("{:8.3} {line}\n", at.as_secs_f64());
        let text: String = lines.iter().map(line).collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("{}: {error}", path.display());
        }
    }
}
