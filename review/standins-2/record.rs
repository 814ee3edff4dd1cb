//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    pub began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create record.txt");
        Record { file: Mutex::new(file), began_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at_ms = self.began_at.elapsed().as_millis();
        let line = format!("{at_ms:>7} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
