//! Requests between daemons and their answers, as they travel over the mesh.

use shard::{JobSpec, JobState};

/// A request to the owner of a shard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Pairs the answer with the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Shard.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// What is asked.
    #[prost(oneof = "Want", tags = "3, 4, 5, 6, 7")]
    pub want: Option<Want>,
}

/// What is asked of a shard's owner.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Want {
    /// Accept a job.
    #[prost(message, tag = "3")]
    Submit(JobSpec),
    /// Cancel a job.
    #[prost(string, tag = "4")]
    Cancel(String),
    /// State of a job.
    #[prost(string, tag = "5")]
    State(String),
    /// Jobs of a queue that wait.
    #[prost(string, tag = "6")]
    Waiting(String),
    /// Empty a worker and count the runs that are left.
    #[prost(string, tag = "7")]
    Empty(String),
}

/// Kinds of answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Not understood.
    Unset = 0,
    /// Stored.
    Done = 1,
    /// Not stored, never runs.
    Refused = 2,
    /// No such job.
    Unknown = 3,
    /// This daemon does not own the shard; nothing was done.
    NotOwner = 4,
    /// Unknown whether it was stored.
    Unsure = 5,
    /// State of a job: see `value`.
    State = 6,
    /// Number: see `value`.
    Count = 7,
}

/// An answer.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Reply {
    /// Id of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Kind.
    #[prost(enumeration = "Kind", tag = "2")]
    pub kind: i32,
    /// State or count.
    #[prost(uint64, tag = "3")]
    pub value: u64,
}

impl Reply {
    /// An answer without a value.
    #[must_use]
    pub const fn of(kind: Kind) -> Self {
        Self { id: 0, kind: kind as i32, value: 0 }
    }

    /// A count.
    #[must_use]
    pub fn count(count: usize) -> Self {
        Self { id: 0, kind: Kind::Count as i32, value: count as u64 }
    }

    /// A job's state.
    #[must_use]
    pub const fn state(state: JobState) -> Self {
        let value = match state {
            JobState::Queued => 0,
            JobState::Running => 1,
            JobState::Completed => 2,
            JobState::Failed => 3,
            JobState::Cancelled => 4,
        };
        Self { id: 0, kind: Kind::State as i32, value }
    }

    /// Reads a state.
    #[must_use]
    pub const fn as_state(&self) -> Option<JobState> {
        Some(match self.value {
            0 => JobState::Queued,
            1 => JobState::Running,
            2 => JobState::Completed,
            3 => JobState::Failed,
            4 => JobState::Cancelled,
            _ => return None,
        })
    }
}
