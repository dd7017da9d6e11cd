//! Command-line arguments; the comments in the macro are the help text.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::logging::LogFormat;

/// A duration given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationArg(pub Duration);

impl FromStr for DurationArg {
    type Err = humantime::DurationError;

    /// Parses a duration such as `10s` or `1m 30s`; a bare number is in seconds.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Ok(seconds) = text.parse() {
            return Ok(Self(Duration::from_secs(seconds)));
        }
        humantime::parse_duration(text).map(Self)
    }
}

xflags::xflags! {
    /// Shared fleet capacity and maintenance manager.
    cmd lagoonrelay {
        /// Format of the logs: text or json.
        optional --log-format log_format: LogFormat

        /// Run an entry host.
        cmd serve {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }

        /// Run a daemon on the users' platform, with the settings file that the platform provides.
        cmd relay {}

        /// Validate a settings file; exits with code 2 if it is invalid.
        cmd check {
            /// Settings file, JSON with comments.
            required settings: PathBuf
        }

        /// Check an operators' configuration document; exits with code 1 if there are findings, 2 if it is unreadable.
        cmd check-config {
            /// Configuration document, JSON.
            required file: PathBuf
            /// Configuration document in force, to show what differs from it.
            optional --in-force in_force: PathBuf
        }

        /// Send a command or query, or a file of them, to an entry host.
        cmd ctl {
            /// Admin address of any entry host.
            required --to to: SocketAddr
            /// Operator key; LAGOONRELAY_KEY is read if it is not given.
            optional --key key: String
            /// Print responses as JSON.
            optional --json
            /// File with one command or query per line; empty lines and lines that start with # are skipped.
            optional --file file: PathBuf
            /// Words of the command or query.
            repeated words: String
        }

        /// Show the events of several entry hosts, merged in causal order.
        cmd timeline {
            /// Admin address of an entry host; can be repeated.
            repeated --from from: SocketAddr
            /// Operator key; LAGOONRELAY_KEY is read if it is not given.
            optional --key key: String
            /// Only events of this job or request.
            optional --job job: String
            /// Only events of this worker or entry host.
            optional --host host: String
            /// Only events of this team.
            optional --team team: String
            /// Only events of this availability zone.
            optional --zone zone: String
            /// Only events after this time, in ms since the Unix epoch.
            optional --after after: u64
            /// Keep running and show new events.
            optional --follow
        }

        /// Run stand-ins, workers and entry hosts in one process and send requests through them.
        cmd demo {
            /// Time to run, such as 10s or 2m, or a number of seconds; also `--for`. Runs until Ctrl-C by default.
            optional --for-time time: DurationArg
        }

        /// Run one stand-in for a service of the platform.
        cmd standin {
            /// Kind of stand-in: log, list (of hosts) or worker.
            required kind: String
            /// Address to listen on.
            required --listen listen: SocketAddr
            /// Number of tasks that a worker stand-in runs at once.
            optional --slots slots: u32
        }
    }
}

impl Lagoonrelay {
    /// Parses the arguments of the process; prints help or an error and exits if there is nothing to run.
    pub fn parse_or_exit() -> Self {
        // `for` is a Rust keyword, so it cannot name a field of the generated types.
        let normalize = |arg: OsString| {
            if arg == "--for" { OsString::from("--for-time") } else { arg }
        };
        Self::from_vec(std::env::args_os().skip(1).map(normalize).collect())
            .unwrap_or_else(|error| error.exit())
    }
}
