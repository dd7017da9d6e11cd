//! Applies entries to the tables: membership, units, worker health and jobs.
//!
//! Changes of the configuration are applied in `change`, steps of maintenance plans in `plan`.

use crate::Incarnation;
use crate::record::{Entry, JobOutcome, Operation, OrphanedTask, TeamUnits};
use crate::tables::{Job, JobPhase, Member, MemberState, Outcome, Refusal, Tables};

/// Result of one operation, to which the offset is added afterwards.
pub(crate) type ApplyResult = Result<(), Refusal>;

impl Tables {
    /// Applies the entry at the next offset; the outcomes are in the order of its operations.
    ///
    /// An entry that was applied before has no effect and returns no outcomes.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Outcome> {
        let offset = self.next_offset;
        self.next_offset += 1;
        if self.last_seqs.get(&entry.by).is_some_and(|last| entry.seq <= *last) {
            return Vec::new();
        }
        self.last_seqs.insert(entry.by, entry.seq);
        entry.operations.iter().map(|operation| self.apply_operation(entry.by, offset, operation)).collect()
    }

    /// Advances past a record that is not an entry.
    pub const fn skip_entry(&mut self) {
        self.next_offset += 1;
    }

    fn apply_operation(&mut self, by: Incarnation, offset: u64, operation: &Operation) -> Outcome {
        if let Operation::Configure { operator_key: _, command_id, version, change } = operation {
            return match self.require_live_writer(by) {
                Ok(()) => self.configure(offset, command_id, *version, change),
                Err(refusal) => Outcome::Refused(refusal),
            };
        }
        match self.execute(by, offset, operation) {
            Ok(()) => Outcome::Applied(offset),
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    /// Applies any operation but `Configure`, whose outcome may be that of an earlier command.
    fn execute(&mut self, by: Incarnation, offset: u64, operation: &Operation) -> ApplyResult {
        if let Operation::Join { host, peer, admin, zone } = operation {
            self.join(by, Member::new(host, peer, admin, zone, offset));
            return Ok(());
        }
        self.require_live_writer(by)?;
        match operation {
            Operation::Join { .. } | Operation::Configure { .. } | Operation::Checkpoint { .. } => Ok(()),
            Operation::Fence { inc } => {
                self.set_member_state(offset, *inc, MemberState::Live, MemberState::Fencing)
            }
            Operation::Fenced { inc } => {
                self.set_member_state(offset, *inc, MemberState::Fencing, MemberState::Fenced)
            }
            Operation::Leave => self.set_member_state(offset, by, MemberState::Live, MemberState::Fenced),
            Operation::Settle { about, net } => self.settle(by, *about, net),
            Operation::Reclaim { fenced, running } => self.reclaim(fenced, running),
            Operation::ReleaseOrphans { tasks } => self.release_orphans(tasks),
            Operation::RequestUnits(units) => self.request_units(by, units),
            Operation::ReturnUnits(units) => self.return_units(by, units),
            Operation::Health { host, down } => self.set_health(host, *down),
            Operation::PlanDrain { plan, host } => self.plan_drain(plan, host),
            Operation::PlanReboot { plan, host, boot } => self.plan_reboot(plan, host, *boot),
            Operation::PlanDone { plan, host } => self.plan_done(plan, host),
            Operation::JobAccept { job, team, queue, path, body, rerun } => {
                self.accept_job(job, Job { rerun: *rerun, ..Job::new(team, queue, path, body) })
            }
            Operation::JobClaim { job, attempt, worker, boot } => {
                let phase = JobPhase::Claimed { by, worker: worker.clone(), boot: *boot };
                self.claim_job(job, *attempt, phase)
            }
            Operation::JobRelease { job, attempt, worker_fault, resume_from } => {
                self.release_job(job, *attempt, *worker_fault, resume_from.as_ref())
            }
            Operation::JobEnd { job, outcome } => self.end_job(job, outcome),
            Operation::JobCancel { jobs } => self.cancel_jobs(jobs),
        }
    }

    fn require_live_writer(&self, by: Incarnation) -> ApplyResult {
        match self.members.get(&by) {
            Some(m) if m.state == MemberState::Live => Ok(()),
            _ => Err(Refusal::Fenced),
        }
    }

    /// Adds a member and fences earlier incarnations at its peer address.
    ///
    /// A new process at the same address proves that the earlier one has ended.
    fn join(&mut self, by: Incarnation, member: Member) {
        for earlier in self.members.values_mut().filter(|m| m.peer == member.peer) {
            earlier.state = MemberState::Fenced;
            earlier.state_offset = member.join_offset;
        }
        self.members.insert(by, member);
    }

    fn set_member_state(
        &mut self,
        offset: u64,
        inc: Incarnation,
        from: MemberState,
        to: MemberState,
    ) -> ApplyResult {
        let member = self.members.get_mut(&inc).ok_or_else(|| Refusal::Missing(format!("member {inc}")))?;
        if member.state != from {
            return Err(Refusal::InvalidState(format!("member {inc} is not {from:?}")));
        }
        member.state = to;
        member.state_offset = offset;
        Ok(())
    }

    fn settle(&mut self, by: Incarnation, about: Incarnation, net: &[TeamUnits]) -> ApplyResult {
        let member =
            self.members.get_mut(&about).ok_or_else(|| Refusal::Missing(format!("member {about}")))?;
        if member.state == MemberState::Live {
            return Err(Refusal::InvalidState(format!("member {about} is live")));
        }
        if !member.settled.insert(by) {
            return Err(Refusal::InvalidState(format!("member {by} has settled with {about}")));
        }
        for team_units in net {
            if let Some(team) = self.teams.get_mut(&team_units.team) {
                team.quota.settle(by, about, team_units.units);
            }
        }
        Ok(())
    }

    fn reclaim(&mut self, fenced: &[Incarnation], running: &[OrphanedTask]) -> ApplyResult {
        if fenced != self.fenced_members() || !self.all_settled() {
            return Err(Refusal::InvalidState("other members are shut out or have not settled".into()));
        }
        for team in self.teams.values_mut() {
            team.quota.reclaim(fenced);
        }
        for task in running {
            self.add_orphan(task);
        }
        for inc in fenced {
            self.members.remove(inc);
        }
        Ok(())
    }

    fn add_orphan(&mut self, task: &OrphanedTask) {
        if let Some(team) = self.teams.get_mut(&task.team) {
            team.quota.orphaned += 1;
            self.orphaned_tasks.insert(task.id.clone(), task.clone());
        }
    }

    fn release_orphans(&mut self, tasks: &[String]) -> ApplyResult {
        for id in tasks {
            let Some(task) = self.orphaned_tasks.remove(id) else {
                continue;
            };
            if let Some(team) = self.teams.get_mut(&task.team) {
                team.quota.orphaned -= 1;
            }
        }
        Ok(())
    }

    fn request_units(&mut self, by: Incarnation, units: &TeamUnits) -> ApplyResult {
        let team = self.teams.get_mut(&units.team).ok_or_else(|| Refusal::Missing(units.team.clone()))?;
        team.quota.allot(by, units.units);
        Ok(())
    }

    fn return_units(&mut self, by: Incarnation, units: &TeamUnits) -> ApplyResult {
        let team = self.teams.get_mut(&units.team).ok_or_else(|| Refusal::Missing(units.team.clone()))?;
        team.quota.return_units(by, units.units);
        Ok(())
    }

    fn set_health(&mut self, name: &str, down: bool) -> ApplyResult {
        let host = self.hosts.get_mut(name).ok_or_else(|| Refusal::Missing(format!("host {name}")))?;
        host.down = down;
        Ok(())
    }

    fn accept_job(&mut self, id: &str, job: Job) -> ApplyResult {
        if self.jobs.contains_key(id) {
            return Err(Refusal::InvalidState(format!("job {id} is accepted already")));
        }
        self.jobs.insert(id.to_owned(), job);
        Ok(())
    }

    fn claim_job(&mut self, id: &str, attempt: u32, phase: JobPhase) -> ApplyResult {
        let job = self.jobs.get_mut(id).ok_or_else(|| Refusal::Missing(format!("job {id}")))?;
        if job.phase != JobPhase::Accepted || job.cancelled || attempt != job.attempt + 1 {
            return Err(Refusal::InvalidState(format!("job {id} is not free for attempt {attempt}")));
        }
        job.attempt = attempt;
        job.phase = phase;
        Ok(())
    }

    fn release_job(
        &mut self,
        id: &str,
        attempt: u32,
        worker_fault: bool,
        resume_from: Option<&String>,
    ) -> ApplyResult {
        let job = self.jobs.get_mut(id).ok_or_else(|| Refusal::Missing(format!("job {id}")))?;
        let JobPhase::Claimed { worker, .. } = &job.phase else {
            return Err(Refusal::InvalidState(format!("job {id} is not claimed")));
        };
        if attempt != job.attempt {
            return Err(Refusal::InvalidState(format!("job {id} is at attempt {}", job.attempt)));
        }
        if worker_fault {
            job.failed_on.insert(worker.clone());
        }
        if resume_from.is_some() {
            job.resume_from = resume_from.cloned();
        }
        job.phase = JobPhase::Accepted;
        Ok(())
    }

    fn end_job(&mut self, id: &str, outcome: &JobOutcome) -> ApplyResult {
        let job = self.jobs.get_mut(id).ok_or_else(|| Refusal::Missing(format!("job {id}")))?;
        if matches!(job.phase, JobPhase::Ended(_)) {
            return Err(Refusal::InvalidState(format!("job {id} has ended")));
        }
        job.phase = JobPhase::Ended(outcome.clone());
        Ok(())
    }

    fn cancel_jobs(&mut self, ids: &[String]) -> ApplyResult {
        for id in ids {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            job.cancelled = true;
            if job.phase == JobPhase::Accepted {
                job.phase = JobPhase::Ended(JobOutcome::Cancelled);
            }
        }
        Ok(())
    }
}

impl Member {
    fn new(host: &str, peer: &str, admin: &str, zone: &str, join_offset: u64) -> Self {
        Self {
            host: host.to_owned(),
            peer: peer.to_owned(),
            admin: admin.to_owned(),
            zone: zone.to_owned(),
            join_offset,
            state: MemberState::Live,
            state_offset: join_offset,
            settled: std::collections::BTreeSet::new(),
        }
    }
}

impl Job {
    fn new(team: &str, queue: &str, path: &str, body: &str) -> Self {
        Self {
            team: team.to_owned(),
            queue: queue.to_owned(),
            path: path.to_owned(),
            body: body.to_owned(),
            attempt: 0,
            failed_on: std::collections::BTreeSet::new(),
            phase: JobPhase::Accepted,
            resume_from: None,
            rerun: false,
            cancelled: false,
        }
    }
}
