//! Checkpoints of the tables, written to the log in parts.
//!
//! A checkpoint can be installed only once all of its parts are read. A new host installs the first complete
//! one that it reads and applies the log from the offset at which it ends.

use std::collections::BTreeMap;

use crate::{Incarnation, Operation, Tables};

/// Splits a checkpoint of the tables into operations with about `part_bytes` of text each.
///
/// A part may be up to 3 bytes longer, since no character is split.
///
/// # Errors
/// If the tables cannot be serialized to JSON.
pub fn split_checkpoint(tables: &Tables, part_bytes: usize) -> Result<Vec<Operation>, serde_json::Error> {
    let text = serde_json::to_string(tables)?;
    let chunks = split_text(&text, part_bytes.max(1));
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let operation = |(part, text): (u32, &str)| Operation::Checkpoint {
        next_offset: tables.next_offset,
        part,
        parts,
        text: text.to_owned(),
    };
    Ok((0..).zip(chunks).map(operation).collect())
}

fn split_text(text: &str, chunk_bytes: usize) -> Vec<&str> {
    let mut rest = text;
    let mut chunks = Vec::new();
    while !rest.is_empty() {
        let mut cut = chunk_bytes.min(rest.len());
        while !rest.is_char_boundary(cut) {
            cut += 1;
        }
        let (head, tail) = rest.split_at(cut);
        chunks.push(head);
        rest = tail;
    }
    chunks
}

/// Assembles checkpoints from their parts.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    pending: BTreeMap<(Incarnation, u64), BTreeMap<u32, String>>,
}

impl CheckpointAssembler {
    /// Adds a part; returns the tables once all parts of their checkpoint were added.
    pub fn add_part(&mut self, by: Incarnation, operation: &Operation) -> Option<Tables> {
        let Operation::Checkpoint { next_offset, part, parts, text } = operation else {
            return None;
        };
        let received = self.pending.entry((by, *next_offset)).or_default();
        received.insert(*part, text.clone());
        if received.len() < *parts as usize {
            return None;
        }
        let text: String = self.pending.remove(&(by, *next_offset))?.into_values().collect();
        serde_json::from_str(&text).ok()
    }
}
