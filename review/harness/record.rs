//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, what: &str) {
        let ms = self.0.0.elapsed().as_millis();
        if let Ok(mut file) = self.0.1.lock() {
            let _ = writeln!(file, "{ms:>7} {what}");
        }
    }
}
