//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Record of one case, written line by line.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { file: Mutex::new(file), started: Instant::now() })
    }

    /// Time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
