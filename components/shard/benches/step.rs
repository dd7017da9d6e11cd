//! Cost of a step by the size of the shard's tables: `cargo bench -p shard`.

use std::collections::HashMap;

use divan::Bencher;
use shard::{
    Action, Input, JobSpec, Ms, Resources, RunEnd, RunOutcome, Shard, StartReply, StartRequest, StepSpec,
    TaskId, Timing, WorkerInfo, WorkerReport,
};

const TIMING: Timing = Timing {
    lease: 5_000,
    lease_limit: 10_000,
    overlap: 1_500,
    poll_wait: 1_000,
    request_timeout: 500,
    stop_interval: 400,
    stall_after: 400,
    retention: 120_000,
};
const START: Ms = 10_000;
/// Tasks that a burst places.
const BURST_TASKS: usize = 1_000;

fn main() {
    divan::main();
}

fn worker(n: usize) -> WorkerInfo {
    WorkerInfo {
        id: format!("w{n}"),
        addr: format!("w{n}:1"),
        service: "s".into(),
        zone: "z1".into(),
        labels: vec!["a".into(), format!("r{}-1", n / 20)],
        capacity: Resources { cpu: 16_000, mem: 32_768, gpu: 0 },
        ready: true,
        incarnation: 0,
    }
}

fn job(n: usize, tasks: u32, cpu: u64) -> JobSpec {
    let step = StepSpec { count: tasks, cpu, mem: 100, estimate: 800, ..StepSpec::default() };
    JobSpec {
        id: format!("{n:016x}"),
        queue: "q".into(),
        service: "s".into(),
        steps: vec![step],
        max_attempts: 2,
        stretch: 1.6,
        target: 600,
        ..JobSpec::default()
    }
}

/// A shard whose workers have all answered, with `waiting` jobs that fit no worker.
fn shard(workers: usize, waiting: usize) -> Shard {
    let mut shard = Shard::new(TIMING, 64, START, START);
    shard.apply(START, START, Input::Workers((0..workers).map(worker).collect()));
    for n in 0..waiting {
        let spec = job(n, 8, 64_000);
        shard.apply(START, START, Input::Submit { request_id: n as u64, spec, searched: false });
    }
    for n in 0..6 {
        let now = START + 1 + n;
        for action in shard.step(now, now, true) {
            let input = match action {
                Action::Append(_) => Input::Stored,
                Action::Poll { worker, wait: 0, .. } => {
                    let report = WorkerReport { incarnation: 1, clock: now, ..WorkerReport::default() };
                    Input::Polled { worker, sent: now, report }
                }
                _ => continue,
            };
            shard.apply(now, now, input);
        }
    }
    shard
}

#[divan::bench(args = [50, 270, 1_100, 3_000])]
fn idle_step(bencher: Bencher, workers: usize) {
    let mut shard = shard(workers, 0);
    let mut now = START + 10;
    bencher.bench_local(|| {
        now += 1;
        shard.step(START + 10, now, true)
    });
}

#[divan::bench(args = [(50, 100), (270, 1_000), (1_100, 1_000), (3_000, 10_000)], sample_count = 10)]
fn idle_step_with_waiting_jobs(bencher: Bencher, (workers, waiting): (usize, usize)) {
    let mut shard = shard(workers, waiting);
    bencher.bench_local(|| shard.step(START + 10, START + 10, true));
}

#[divan::bench(args = [(50, 100), (270, 1_000), (1_100, 1_000), (3_000, 10_000)], sample_count = 10)]
fn burst(bencher: Bencher, (workers, waiting): (usize, usize)) {
    bencher
        .with_inputs(|| {
            let mut shard = shard(workers, waiting);
            for n in 0..BURST_TASKS / 8 {
                let spec = job(waiting + n, 8, 100);
                shard.apply(START + 10, START + 10, Input::Submit { request_id: 0, spec, searched: false });
            }
            shard.step(START + 10, START + 10, true);
            shard.apply(START + 10, START + 10, Input::Stored);
            shard
        })
        .bench_local_refs(|shard| shard.step(START + 11, START + 11, true));
}

/// A shard with ten speculative runs on each worker, which fill the workers, and its time.
fn shard_with_speculative_runs(workers: usize) -> (Shard, Ms) {
    let mut shard = shard(workers, 0);
    let mut now = START + 10;
    for n in 0..workers * 10 / 8 {
        let mut spec = job(n, 8, 1_600);
        spec.steps[0].speculative = true;
        shard.apply(now, now, Input::Submit { request_id: 0, spec, searched: false });
    }
    for _ in 0..6 {
        now += 1;
        for action in shard.step(now, now, true) {
            let input = match action {
                Action::Append(_) => Input::Stored,
                Action::Start(start) => {
                    let StartRequest { worker, task_id, run, .. } = start;
                    Input::StartResult { worker, task_id, run, reply: StartReply::Running }
                }
                _ => continue,
            };
            shard.apply(now, now, input);
        }
    }
    (shard, now)
}

/// Steps that each look at all speculative runs, ten of them on each worker.
#[divan::bench(args = [50, 270, 1_100, 3_000], sample_count = 20, sample_size = 1)]
fn step_with_speculative_runs(bencher: Bencher, workers: usize) {
    let (mut shard, mut now) = shard_with_speculative_runs(workers);
    bencher.bench_local(|| {
        now += 50;
        shard.step(now, now, true)
    });
}

/// A pool that is full, with waiting jobs that cannot all end in time, under overload control.
#[divan::bench(args = [(50, 100), (50, 1_000), (270, 1_000), (270, 3_000)], sample_count = 10)]
fn step_of_a_short_pool(bencher: Bencher, (workers, waiting): (usize, usize)) {
    let mut shard = shard(workers, 0);
    shard.apply(START + 10, START + 10, Input::Weights(Some(HashMap::new())));
    for n in 0..waiting + workers {
        let spec = JobSpec { tenant: String::new(), ..job(n, 8, 8_000) };
        shard.apply(START + 10, START + 10, Input::Submit { request_id: n as u64, spec, searched: false });
    }
    for n in 0..20 {
        for action in shard.step(START + 10 + n, START + 10, true) {
            if let Action::Append(_) = action {
                shard.apply(START + 10 + n, START + 10, Input::Stored);
            }
        }
    }
    assert!(shard.deferred_jobs() > 0, "the pool is short");
    let mut now = START + 30;
    bencher.bench_local(|| {
        // A backlogged owner steps each 12 ms.
        now += 12;
        shard.step(now, START + 30, true)
    });
}

/// The same once a short job of the queue has ended, so that all runs are overdue and no worker has room for copies.
#[divan::bench(args = [50, 270, 1_100, 3_000], sample_count = 5, sample_size = 1)]
fn step_with_overdue_runs(bencher: Bencher, workers: usize) {
    let (mut shard, mut now) = shard_with_speculative_runs(workers);
    end_first_run(&mut shard, now);
    now += 1_000;
    bencher.bench_local(|| {
        now += 50;
        shard.step(now, now, true)
    });
}

/// Lets the first task of the first job end, on the worker that bin packing gave it.
fn end_first_run(shard: &mut Shard, now: Ms) {
    let task_id = TaskId { job: format!("{:016x}", 0), occurrence: 0, step: 0, index: 0 };
    let end = RunEnd { sequence: 1, task_id, run: 1, outcome: RunOutcome::Done, checkpoint: String::new() };
    let ended = vec![end];
    let report =
        WorkerReport { incarnation: 1, clock: now, ended, more_ends: true, ..WorkerReport::default() };
    shard.apply(now, now, Input::Polled { worker: "w0".into(), sent: now, report });
}
