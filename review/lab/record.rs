//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Result, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    out: Mutex<BufWriter<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Result<Self> {
        let out = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { out, started: Instant::now() })
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line with the present time.
    pub fn note(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.out.lock().expect("record"), "{now:9.4} {text}");
    }

    /// Writes a line and shows it.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().expect("record").flush();
    }
}
