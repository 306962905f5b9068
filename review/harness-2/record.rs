//! The record of a script: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to a record; clones write to the same one.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the variable `CASE_DIR` names.
    pub fn create() -> Result<Self, String> {
        let folder = std::env::var("CASE_DIR").map_err(|_| "CASE_DIR is not set".to_owned())?;
        let path = Path::new(&folder).join("record.txt");
        let file = File::create(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        })
    }

    /// Returns the time since the start of the script.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ignored = writeln!(file, "{now:9.4}  {text}");
    }
}
