//! The record of a run: what was sent, answered and run, with the time since the start in seconds.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), out: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line and returns its time.
    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let mut out = self.out.lock().unwrap();
        let now = self.now();
        // A record that can't be written must not end the run.
        let _ = writeln!(out, "{now:9.4} {}", text.as_ref());
        now
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
