//! Checkpoints of the tables, written to the log in parts.
//!
//! A checkpoint is complete only with its last part. A new host installs the first complete one that it
//! meets and goes on from there.

use std::collections::BTreeMap;

use crate::{Act, Incarnation, Tables};

/// Splits the tables into checkpoint acts of at most `bytes` text each.
///
/// # Errors
/// When the tables cannot be written as JSON.
pub fn split(tables: &Tables, bytes: usize) -> Result<Vec<Act>, serde_json::Error> {
    let text = serde_json::to_string(tables)?;
    let chunks = chunks(&text, bytes.max(1));
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let act =
        |(part, text): (u32, &str)| Act::Checkpoint { upto: tables.next, part, parts, text: text.to_owned() };
    Ok((0..).zip(chunks).map(act).collect())
}

fn chunks(text: &str, bytes: usize) -> Vec<&str> {
    let mut rest = text;
    let mut out = Vec::new();
    while !rest.is_empty() {
        let mut cut = bytes.min(rest.len());
        while !rest.is_char_boundary(cut) {
            cut += 1;
        }
        let (head, tail) = rest.split_at(cut);
        out.push(head);
        rest = tail;
    }
    out
}

/// Puts checkpoint parts together.
#[derive(Debug, Default)]
pub struct Assembler {
    open: BTreeMap<(Incarnation, u64), BTreeMap<u32, String>>,
}

impl Assembler {
    /// Adds a part; yields the tables once all parts are there.
    pub fn add(&mut self, by: Incarnation, act: &Act) -> Option<Tables> {
        let Act::Checkpoint { upto, part, parts, text } = act else {
            return None;
        };
        let found = self.open.entry((by, *upto)).or_default();
        found.insert(*part, text.clone());
        if found.len() < *parts as usize {
            return None;
        }
        let whole: String = self.open.remove(&(by, *upto))?.into_values().collect();
        serde_json::from_str(&whole).ok()
    }
}
