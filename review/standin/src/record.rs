//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record.
pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    RECORD.set((Instant::now(), Mutex::new(file))).expect("opened once");
}

/// Seconds since the start.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |r| r.0.elapsed().as_secs_f64())
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        writeln!(file, "{:9.4} {text}", start.elapsed().as_secs_f64()).ok();
    }
}

/// Writes a formatted line.
#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
