//! Processes of the program under test, ended by id.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// One running process; ended when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Where a process's log goes.
#[derive(Debug, Clone)]
pub struct LogFile(pub PathBuf);

impl Process {
    /// Starts the program with arguments.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start(program: &Path, args: &[&str], log: &LogFile) -> std::io::Result<Self> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&log.0)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses it.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Exit code, once it has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
