//! Parser of one line.

use fold::{ConfigChange, Place, PlanState};
use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::{preceded, repeat};
use winnow::token::take_while;

use crate::statement::{Action, Command, Query, Statement};

const EXPECTED_VERBS: &str =
    "show, set, assign, grant, withdraw, take out, drain, bring back, plan, pause, resume or abort";
const MAX_LINE_BYTES: usize = 4096;

/// Why a line is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("word {place}: found {found}, expected {expected}")]
pub struct ParseError {
    /// Position of the word, counted from 1.
    pub place: usize,
    /// The word in backquotes, `the end`, or `a long line`.
    pub found: String,
    /// What is accepted there.
    pub expected: String,
}

/// Parses one line.
///
/// # Errors
/// The first [`ParseError`].
pub fn parse(line: &str) -> Result<Statement, ParseError> {
    let mut words = Words::split(line)?;
    let statement = match words.next("a command or query")? {
        "show" => Statement::Query(parse_query(&mut words)?),
        verb => Statement::Command(parse_command(verb, &mut words)?),
    };
    words.expect_end()?;
    Ok(statement)
}

/// Words of a line, with a cursor.
struct Words<'a> {
    words: Vec<&'a str>,
    position: usize,
}

impl<'a> Words<'a> {
    fn split(line: &'a str) -> Result<Self, ParseError> {
        let too_long = ParseError {
            place: 1,
            found: "a long line".into(),
            expected: format!("{MAX_LINE_BYTES} bytes or less"),
        };
        if line.len() > MAX_LINE_BYTES {
            return Err(too_long);
        }
        let word = take_while::<_, _, winnow::error::ContextError>(1.., |c: char| !c.is_whitespace());
        let mut parser = repeat(0.., preceded(multispace0, word));
        let mut rest = line.trim_end();
        let words: Vec<&str> = parser.parse_next(&mut rest).map_err(|_| too_long)?;
        Ok(Self { words, position: 0 })
    }

    fn peek(&self) -> Option<&'a str> {
        self.words.get(self.position).copied()
    }

    fn next(&mut self, expected: &str) -> Result<&'a str, ParseError> {
        let word = self.peek().ok_or_else(|| self.error_at_next(expected))?;
        self.position += 1;
        Ok(word)
    }

    /// Error at the next word.
    fn error_at_next(&self, expected: &str) -> ParseError {
        let found = self.peek().map_or_else(|| "the end".to_owned(), |w| format!("`{w}`"));
        ParseError { place: self.position + 1, found, expected: expected.to_owned() }
    }

    /// Steps back and returns the error at the word consumed last.
    fn error_at_previous(&mut self, expected: &str) -> ParseError {
        self.position -= 1;
        self.error_at_next(expected)
    }

    fn expect(&mut self, word: &str) -> Result<(), ParseError> {
        if self.peek() != Some(word) {
            return Err(self.error_at_next(&format!("`{word}`")));
        }
        self.position += 1;
        Ok(())
    }

    fn name(&mut self, what: &str) -> Result<String, ParseError> {
        let word = self.next(what)?;
        if word.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c)) {
            return Ok(word.to_owned());
        }
        Err(self.error_at_previous(&format!("{what} of letters, digits, `-`, `_` and `.`")))
    }

    fn number<T: std::str::FromStr>(&mut self, what: &str) -> Result<T, ParseError> {
        let word = self.next(what)?;
        word.parse().map_err(|_| self.error_at_previous(what))
    }

    fn expect_end(&self) -> Result<(), ParseError> {
        if self.peek().is_none() { Ok(()) } else { Err(self.error_at_next("the end")) }
    }
}

fn parse_query(words: &mut Words<'_>) -> Result<Query, ParseError> {
    const EXPECTED_NAMES: &str = "pools, hosts, teams, queues, keys, places, plans, jobs, members or status";
    Ok(match words.next(EXPECTED_NAMES)? {
        "pools" => Query::Pools,
        "hosts" => Query::Hosts,
        "teams" => Query::Teams,
        "queues" => Query::Queues,
        "keys" => Query::Keys,
        "places" => Query::Places,
        "plans" => Query::Plans,
        "jobs" => Query::Jobs,
        "members" => Query::Members,
        "status" => Query::Status,
        _ => return Err(words.error_at_previous(EXPECTED_NAMES)),
    })
}

fn parse_command(verb: &str, words: &mut Words<'_>) -> Result<Command, ParseError> {
    let action = match verb {
        "set" => parse_set(words)?,
        "assign" => parse_assign(words)?,
        "grant" => parse_grant(words)?,
        "withdraw" => {
            words.expect("key")?;
            Action::Change(ConfigChange::Withdraw { name: words.name("a key name")? })
        }
        "take" => {
            words.expect("out")?;
            Action::Change(ConfigChange::TakeOut(parse_place(words)?))
        }
        "plan" => {
            let name = words.name("a plan name")?;
            words.expect("reboot")?;
            Action::Change(ConfigChange::Plan { name, place: parse_place(words)? })
        }
        "pause" => parse_plan_state(words, PlanState::Paused)?,
        "resume" => parse_plan_state(words, PlanState::Running)?,
        "abort" => parse_plan_state(words, PlanState::Aborted)?,
        "drain" => Action::Change(ConfigChange::Drain(parse_place(words)?)),
        "bring" => {
            words.expect("back")?;
            Action::Change(ConfigChange::BringBack(parse_place(words)?))
        }
        _ => {
            return Err(words.error_at_previous(EXPECTED_VERBS));
        }
    };
    parse_options(action, words)
}

fn parse_options(action: Action, words: &mut Words<'_>) -> Result<Command, ParseError> {
    let mut command = Command { action, version: None, id: None, dry_run: false };
    while let Some(word) = words.peek() {
        words.position += 1;
        match word {
            "if" => {
                words.expect("version")?;
                command.version = Some(words.number("a version number")?);
            }
            "id" => command.id = Some(words.name("an id")?),
            "dry" => {
                words.expect("run")?;
                command.dry_run = true;
            }
            _ => return Err(words.error_at_previous("`if version N`, `id TEXT`, `dry run` or the end")),
        }
    }
    Ok(command)
}

fn parse_set(words: &mut Words<'_>) -> Result<Action, ParseError> {
    match words.next("pool, team or queue")? {
        "pool" => {
            let name = words.name("a pool name")?;
            words.expect("budget")?;
            Ok(Action::Change(ConfigChange::Pool { name, budget: words.number("a number of hosts")? }))
        }
        "team" => {
            let name = words.name("a team name")?;
            words.expect("share")?;
            let share = words.number("a whole number above 0")?;
            words.expect("limit")?;
            Ok(Action::Change(ConfigChange::Team { name, share, limit: parse_limit(words)? }))
        }
        "queue" => {
            let name = words.name("a queue name")?;
            words.expect("pool")?;
            let pool = words.name("a pool name")?;
            Ok(Action::Change(ConfigChange::Queue { name, pool, open_team: parse_open_team(words)? }))
        }
        _ => Err(words.error_at_previous("pool, team or queue")),
    }
}

fn parse_limit(words: &mut Words<'_>) -> Result<i64, ParseError> {
    let limit: u32 = words.number("a number of tasks")?;
    Ok(i64::from(limit))
}

fn parse_open_team(words: &mut Words<'_>) -> Result<Option<String>, ParseError> {
    if words.peek() != Some("open") {
        return Ok(None);
    }
    words.position += 1;
    words.expect("team")?;
    words.name("a team name").map(Some)
}

fn parse_assign(words: &mut Words<'_>) -> Result<Action, ParseError> {
    words.expect("host")?;
    let host = words.name("a host name")?;
    words.expect("pool")?;
    Ok(Action::Assign { host, pool: words.name("a pool name")? })
}

fn parse_grant(words: &mut Words<'_>) -> Result<Action, ParseError> {
    words.expect("key")?;
    let name = words.name("a key name")?;
    words.expect("secret")?;
    let secret = words.next("a secret")?.to_owned();
    words.expect("team")?;
    let team = words.name("a team name")?;
    let operator = words.peek() == Some("operator");
    words.position += usize::from(operator);
    Ok(Action::Grant { name, secret, team, operator })
}

fn parse_plan_state(words: &mut Words<'_>, state: PlanState) -> Result<Action, ParseError> {
    words.expect("plan")?;
    Ok(Action::Change(ConfigChange::SetPlan { name: words.name("a plan name")?, state }))
}

fn parse_place(words: &mut Words<'_>) -> Result<Place, ParseError> {
    match words.next("host, rack or zone")? {
        "host" => words.name("a host name").map(Place::Host),
        "rack" => words.name("a rack name").map(Place::Rack),
        "zone" => words.name("a zone name").map(Place::Zone),
        _ => Err(words.error_at_previous("host, rack or zone")),
    }
}
