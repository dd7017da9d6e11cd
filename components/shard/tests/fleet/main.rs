//! A shard in an in-memory environment.

mod copies;
mod copies_load;
mod copies_odds;
mod copies_owners;
mod extremes;
mod failures;
mod jobs;
mod kept;
mod late_calls;
mod occurrences;
mod overload;
mod random_faults;
mod referrals;
mod repeated_starts;
mod restarts;
mod review;
mod settled_tasks;
mod slow_log;
mod standstill;
mod storm;
mod support;
mod unanswered;
