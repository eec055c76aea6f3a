//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes timed lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Option<Arc<Mutex<File>>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file in the folder of the case.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Some(Arc::new(Mutex::new(File::create(
                folder.join("record.txt"),
            )?))),
            started_at: Instant::now(),
        })
    }

    /// Returns a record that keeps nothing.
    pub fn silent() -> Self {
        Self {
            file: None,
            started_at: Instant::now(),
        }
    }

    /// Writes one line, with the time since the start of the run.
    pub fn line(&self, text: impl AsRef<str>) {
        let Some(file) = &self.file else {
            return;
        };
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let line = format!("{elapsed_s:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let mut file = file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}
