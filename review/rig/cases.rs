//! The cases.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, Pool, Setup};

type Checked = Result<Vec<String>, String>;

/// Plays a case, writes its record and returns the breaks of the rule.
pub fn play(case: &str, trouble: bool, folder: &Path) -> Checked {
    let run = command()?;
    let play = match case {
        "repeat" => repeat,
        "ends" => ends,
        "refused-move" => refused_move,
        "hopeless" => hopeless,
        "rack" => rack,
        "maximum" => maximum,
        "same-epoch" => same_epoch,
        "large" => large,
        "long" => long,
        _ => return Err("no such case".into()),
    };
    let mut made = deploy(case, &run)?;
    let checked = play(&made, trouble);
    let (record, alive) = (made.record.clone(), made.all_alive());
    drop(made);
    match &checked {
        Ok(broken) if broken.is_empty() => record.note("the rule held"),
        Ok(broken) => broken.iter().for_each(|b| record.note(&format!("BROKEN {b}"))),
        Err(error) => record.note(&format!("not run: {error}")),
    }
    record.write(&folder.join("record.txt"));
    if !alive {
        return Err("a daemon has ended by itself".into());
    }
    checked
}

/// The command of the deploy file's role.
fn command() -> Result<Vec<String>, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|e| format!("deploy/system.toml: {e}"))?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("run")).ok_or("the deploy file has no command")?;
    let words = line.trim_start_matches([' ', '=']).trim().trim_matches('"');
    Ok(words.split(' ').map(str::to_owned).collect())
}

const fn pool(service: &'static str, workers: usize, cpu: u64, rack: usize, kind: &'static str) -> Pool {
    Pool { service, workers, cpu, rack, kind }
}

fn deploy(case: &str, run: &[String]) -> Result<Deployment, String> {
    let dairy = [("slot-quote", "dairy-desk", 0)];
    let base = Setup {
        daemons: 3,
        last: None,
        pools: &[pool("dairy-desk", 9, 16_000, 4, "a")],
        routes: &dairy,
        maximum: 0,
        stop_ms: 200,
    };
    match case {
        "ends" => {
            let setup = Setup { pools: &[pool("rounds", 6, 64_000, 4, "a")], stop_ms: 400, ..base };
            Deployment::start(&Setup { routes: &[("round-plan", "rounds", 0)], ..setup }, run)
        }
        "refused-move" => {
            let pools = [pool("yard-desk", 5, 16_000, 4, "a"), pool("ferry-desk", 8, 64_000, 4, "b")];
            let routes = [("route-confirm", "yard-desk", 1), ("ferry-audit", "ferry-desk", 0)];
            Deployment::start(&Setup { pools: &pools, routes: &routes, ..base }, run)
        }
        "hopeless" => {
            let routes = [dairy[0], ("manifest-recon", "dairy-desk", 0)];
            Deployment::start(&Setup { pools: &[pool("dairy-desk", 6, 16_000, 4, "a")], routes: &routes, ..base }, run)
        }
        "rack" => Deployment::start(&Setup { pools: &[pool("dairy-desk", 8, 16_000, 4, "a")], ..base }, run),
        "maximum" => {
            let pools = [
                pool("dairy-desk", 3, 16_000, 4, "a"),
                pool("yard-desk", 3, 16_000, 4, "b"),
                pool("ferry-desk", 3, 16_000, 4, "c"),
            ];
            let routes = [dairy[0], ("route-confirm", "yard-desk", 0), ("ferry-book", "ferry-desk", 0)];
            Deployment::start(&Setup { pools: &pools, routes: &routes, maximum: 20_000, ..base }, run)
        }
        "same-epoch" => Deployment::start(&Setup { last: Some(LAST), ..base }, run),
        _ => Deployment::start(&base, run),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; false if it doesn't within `ms`.
fn wait(ms: u64, met: impl Fn() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(ms);
    while !met() {
        if Instant::now() > until {
            return false;
        }
        pause(10);
    }
    true
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// TWICE: a job with occurrences, and the machine that starts its tasks is killed while the first occurrence runs.
fn repeat(made: &Deployment, trouble: bool) -> Checked {
    let job = "5c0e7a21d94b36f8";
    let path = format!("/slot-quote/{job}");
    let body = format!(
        r#"{{"taskSpec":"work=4000..4001","steps":[{{"count":6,"cpu":800,"memMb":1500,"estimatedMs":4000}}],"repeatCount":2,"firstRunMs":{},"intervalMs":12000}}"#,
        unix_ms() + 1_500
    );
    if !made.submit(&path, &body) {
        return Err("the job was not accepted".into());
    }
    if !wait(8_000, || made.record.at_work(job) == 6) {
        return Err("the first occurrence doesn't start".into());
    }
    pause(500);
    let owner = made.owner_of(job).ok_or("the shard has no owner")?;
    if trouble {
        made.kill(owner);
    }
    pause(1_000);
    if trouble {
        made.restart(owner)?;
    }
    pause(18_000);
    made.record.note(&format!("state of the job: {}", made.state(&path)));
    Ok(made.record.twice())
}

/// TWICE: a worker with many short tasks is cut off, and more of them end meanwhile than one answer lists.
fn ends(made: &Deployment, trouble: bool) -> Checked {
    let job = "6d1f8b32ea5c47a9";
    let path = format!("/round-plan/{job}");
    let body = r#"{"taskSpec":"work=2500..3500","steps":[{"count":600,"cpu":100,"memMb":100,"estimatedMs":3000}]}"#;
    if !made.submit(&path, body) {
        return Err("the job was not accepted".into());
    }
    if !wait(2_400, || made.record.at_work(job) == 600) {
        return Err(format!("only {} tasks started in time", made.record.at_work(job)));
    }
    let busy = made.workers.iter().max_by_key(|w| w.running()).ok_or("no workers")?;
    if trouble {
        busy.set_cut(true);
    }
    pause(3_800);
    if trouble {
        busy.set_cut(false);
    }
    pause(12_000);
    made.record.note(&format!("state of the job: {}", made.state(&path)));
    Ok(made.record.twice())
}

/// LOST: large jobs come at once to one service, and the platform refuses to move machines of another kind there.
fn refused_move(made: &Deployment, trouble: bool) -> Checked {
    let large = r#"{"taskSpec":"work=2000..2200","steps":[{"count":8,"cpu":1700,"memMb":2500,"estimatedMs":2100}]}"#;
    let begin = Instant::now();
    let mut number = 0;
    let mut send = |count: usize| {
        (0..count).all(|_| {
            number += 1;
            made.submit(&format!("/route-confirm/{number:016x}"), large)
        })
    };
    // One job each 2 s; in the burst, five in 4 s instead of two.
    for second in 0..6 {
        let at_once = if trouble && second == 2 { 5 } else { usize::from(!trouble || second != 3) };
        if !send(at_once) {
            return Err("a job was not accepted".into());
        }
        pause((2_000 * (second + 1) as u64).saturating_sub(begin.elapsed().as_millis() as u64));
    }
    let job = "7e2a9c43fb6d58ba";
    let path = format!("/ferry-audit/{job}");
    let lasting = r#"{"taskSpec":"lasts","steps":[{"count":5,"cpu":1800,"memMb":3000,"estimatedMs":900,"antiAffinity":1,"longRunning":true,"mayMiss":1}]}"#;
    if !made.submit(&path, lasting) {
        return Err("the lasting job was not accepted".into());
    }
    all_at_work(made, job, 5, &path)
}

/// LOST: one job that can never be done comes before twenty that can.
fn hopeless(made: &Deployment, trouble: bool) -> Checked {
    if trouble {
        let step = r#"{"count":1,"cpu":1300,"memMb":3000,"estimatedMs":900,"requirements":"c","longRunning":true}"#;
        let body = format!(r#"{{"taskSpec":"lasts","steps":[{}]}}"#, vec![step; 24].join(","));
        if !made.submit("/manifest-recon/8f3b0d54ac7e69cb", &body) {
            return Err("the hopeless job was not accepted".into());
        }
    }
    let body = r#"{"taskSpec":"work=600..700","steps":[{"count":2,"cpu":800,"memMb":1500,"estimatedMs":640}]}"#;
    let jobs: Vec<String> = (1..=19).map(|i| format!("90{i:014x}")).collect();
    for job in &jobs {
        if !made.submit(&format!("/slot-quote/{job}"), body) {
            return Err("a job was not accepted".into());
        }
        pause(150);
    }
    // finish_s after the end of the traffic, jobs are asked for.
    pause(14_000);
    let waiting = |job: &&String| made.record.runs().iter().all(|(task, _)| !task.starts_with(job.as_str()));
    let mut left: Vec<&String> = jobs.iter().filter(waiting).collect();
    let from = made.record.now();
    pause(4_000);
    left.retain(|job| waiting(&job));
    let until = made.record.now();
    Ok(left
        .iter()
        .map(|job| {
            let state = made.state(&format!("/slot-quote/{job}"));
            format!("{job} is {state} and has had no run from its acceptance to {until} ms, with all workers idle; looked at from {from} ms")
        })
        .collect())
}

/// LOST: the workers of a rack crash, and come back under their ids.
fn rack(made: &Deployment, trouble: bool) -> Checked {
    let job = "a14c1e65bd8f7adc";
    let path = format!("/slot-quote/{job}");
    let body = r#"{"taskSpec":"lasts","steps":[{"count":8,"cpu":1300,"memMb":3000,"estimatedMs":900,"antiAffinity":1,"longRunning":true,"mayMiss":1}]}"#;
    if !made.submit(&path, body) {
        return Err("the job was not accepted".into());
    }
    if !wait(8_000, || made.record.at_work(job) == 8) {
        return Err("the tasks don't start".into());
    }
    pause(2_000);
    let rack = || made.workers.iter().filter(|w| w.spec.labels.contains(&"dairy-desk-0".to_owned()));
    if trouble {
        rack().for_each(|w| w.power_off());
    }
    pause(7_800);
    if trouble {
        rack().for_each(|w| w.power_on());
    }
    all_at_work(made, job, 8, &path)
}

/// LOST: each task that lasts is at work 6 s after its last run, where there is capacity; watched for 4 s after that
/// and after further 7 s of calm.
fn all_at_work(made: &Deployment, job: &str, count: usize, path: &str) -> Checked {
    pause(13_000);
    let mut most = 0;
    let from = made.record.now();
    for _ in 0..40 {
        most = most.max(made.record.at_work(job));
        pause(100);
    }
    let state = made.state(path);
    if most == count {
        return Ok(Vec::new());
    }
    let idle = made.workers.iter().filter(|w| w.running() == 0).map(|w| w.spec.id.as_str());
    let idle: Vec<&str> = idle.filter(|id| id.contains(made.service_of(path))).collect();
    Ok(vec![format!(
        "{job} is {state}; from {from} ms to {} ms at most {most} of its {count} tasks are at work; idle workers of its service: {}",
        made.record.now(),
        idle.join(" ")
    )])
}

/// LOST: jobs of one tenant on three queues at once, none of whose tasks needs more than 12 of its 20 cores.
fn maximum(made: &Deployment, trouble: bool) -> Checked {
    let body = r#"{"taskSpec":"work=2000..2100","steps":[{"count":1,"cpu":12000,"memMb":2500,"estimatedMs":1500}]}"#;
    let jobs =
        ["/ferry-book/b25d2f76ce9a8bed", "/slot-quote/c36e3a87df0b9cfe", "/route-confirm/d47f4b98ea1cad0f"];
    for path in jobs {
        if !made.submit(path, body) {
            return Err("a job was not accepted".into());
        }
        pause(if trouble { 550 } else { 4_100 });
    }
    pause(14_000);
    let began = |path: &str| made.record.runs().keys().any(|task| task.starts_with(&path[path.len() - 16..]));
    let from = made.record.now();
    pause(4_000);
    let until = made.record.now();
    let left = jobs.iter().filter(|path| !began(path));
    Ok(left
        .map(|path| {
            let state = made.state(path);
            format!("{path} is {state} and has had no run up to {until} ms; nothing else ran from {from} ms on")
        })
        .collect())
}

/// Daemon that gets the shard of `dairy-desk` when all three are there.
const LAST: usize = 0;

/// LOST: the machine that owns a shard is killed and comes back while the store is down; a job that is accepted
/// afterwards is gone once another machine owns the shard.
fn same_epoch(made: &Deployment, trouble: bool) -> Checked {
    let job = |n: u64| format!("e{n:015x}");
    let path = |n: u64| format!("/slot-quote/{}", job(n));
    let body = r#"{"taskSpec":"work=600..700","steps":[{"count":2,"cpu":800,"memMb":1500,"estimatedMs":640}]}"#;
    if !made.submit(&path(1), body) {
        return Err("the first job was not accepted".into());
    }
    pause(3_000);
    let owner = made.owner_of(&job(1)).ok_or("the shard has no owner")?;
    let token = made.record.runs().values().flatten().map(|r| r.token).max().unwrap_or(0);
    let generation = made.store.generation();
    made.record.note(&format!("owner {owner}, its fencing token {token}, generation of the group {generation}"));
    if owner != LAST {
        return Err("the shard is not where the case needs it".into());
    }
    if trouble {
        made.store.set_down(true);
        made.record.note("the store refuses all calls with 503");
        pause(500);
        made.kill(owner);
        pause(1_000);
        made.restart(owner)?;
        pause(2_500);
        made.store.set_down(false);
        made.record.note("the store serves again");
    } else {
        pause(4_000);
    }
    pause(6_000);
    if !made.submit(&path(2), body) {
        return Err("the second job was not accepted".into());
    }
    let held = made.store.holds("keyed.shards", &format!("j:{}", job(2)));
    made.record.note(&format!("the store holds the second job: {held}"));
    pause(5_000);
    made.record.note(&format!("state of the second job: {}", made.state(&path(2))));
    let owner = made.owner_of(&job(1)).ok_or("the shard has no owner")?;
    made.terminate(owner);
    made.restart(owner)?;
    pause(5_000);
    let states: Vec<String> = (1..=2).map(|n| made.state(&path(n))).collect();
    made.record.note(&format!("states of the two jobs: {}", states.join(", ")));
    let gone = (1..=2).zip(&states).filter(|(_, s)| *s == "410");
    Ok(gone.map(|(n, _)| format!("{} was accepted, and is answered 410", path(n))).collect())
}

/// LOST: one job has more small tasks than a record of the log can list for one worker.
fn large(made: &Deployment, trouble: bool) -> Checked {
    if trouble {
        let body = r#"{"taskSpec":"work=600..700","steps":[{"count":12000,"cpu":1,"memMb":1,"estimatedMs":640}]}"#;
        if !made.submit("/slot-quote/f000000000000001", body) {
            return Err("the large job was not accepted".into());
        }
    }
    let body = r#"{"taskSpec":"work=600..700","steps":[{"count":2,"cpu":800,"memMb":1500,"estimatedMs":640}]}"#;
    let accepted = made.submit("/slot-quote/f000000000000002", body);
    made.record.note(&format!("the small job is accepted: {accepted}"));
    pause(18_000);
    let states = [1, 2].map(|n| made.state(&format!("/slot-quote/f00000000000000{n}")));
    made.record.note(&format!("states: {}", states.join(", ")));
    Ok(if made.record.runs().is_empty() { vec!["no task has started".into()] } else { Vec::new() })
}

/// LOST: one job of twenty takes twenty times as long. Its data lies in a rack of one worker.
fn long(made: &Deployment, trouble: bool) -> Checked {
    let job = "aa00000000000001";
    let path = format!("/slot-quote/{job}");
    let work = if trouble { 400_000 } else { 20_000 };
    let body = format!(
        r#"{{"taskSpec":"work={work}..{}","steps":[{{"count":1,"cpu":800,"memMb":1500,"estimatedMs":20000,"requirements":"dairy-desk-2"}}]}}"#,
        work + 1
    );
    if !made.submit(&path, &body) {
        return Err("the job was not accepted".into());
    }
    let small = r#"{"taskSpec":"work=600..700","steps":[{"count":2,"cpu":800,"memMb":1500,"estimatedMs":640}]}"#;
    for number in 2..=20 {
        if !made.submit(&format!("/slot-quote/aa000000000000{number:02x}"), small) {
            return Err("a small job was not accepted".into());
        }
        pause(150);
    }
    // finish_s after the end of the traffic, jobs are asked for.
    pause(14_000);
    let (mut since, mut longest, mut end) = (made.record.now(), 0, 0);
    for _ in 0..1_000 {
        pause(20);
        let now = made.record.now();
        if made.record.at_work(job) > 0 {
            since = now;
        } else if now - since > longest {
            (longest, end) = (now - since, now);
        }
    }
    let state = made.state(&path);
    let runs: usize = made.record.runs().iter().filter(|(task, _)| task.starts_with(job)).map(|(_, r)| r.len()).sum();
    made.record.note(&format!("{job} is {state} after {runs} runs; longest time with nothing running: {longest} ms"));
    if state == "completed" || longest < 3_000 {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "{job} is {state} after {runs} runs of its only task; up to {end} ms it had nothing running for {longest} ms, with its worker empty"
    )])
}
