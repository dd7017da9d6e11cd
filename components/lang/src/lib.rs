//! Operators' language: queries, and commands that change the fleet.
//!
//! A line is a list of words separated by white space. A command may end with the options `if version N`,
//! `id TEXT` and `dry run`, in any order. Every error names the offending word and what was expected there.

mod parse;
mod statement;

pub use parse::{ParseError, parse};
pub use statement::{Action, Command, Query, Statement};
