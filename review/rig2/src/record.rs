//! What was sent, answered and run, with the time since the start of the case.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
pub struct Record {
    start: Instant,
    /// Lines are printed too.
    shown: bool,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        let shown = std::env::var_os("SHOW").is_some();
        Self { start: Instant::now(), shown, lines: Mutex::default() }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.start.elapsed().as_secs_f64());
        if self.shown {
            println!("{line}");
        }
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &std::path::Path) -> std::io::Result<()> {
        let mut text = String::new();
        for line in &*self.lines.lock().unwrap() {
            let _ = writeln!(text, "{line}");
        }
        std::fs::write(path, text)
    }
}
