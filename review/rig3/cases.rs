//! The cases. Each returns whether the rule held; an error means that the case could not run.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Queue};
use crate::fleet::Step;

type Outcome = std::io::Result<bool>;

/// `finish_s` of the settings, and the span of the rule LOST.
const FINISH: Duration = Duration::from_secs(14);
const SPAN: Duration = Duration::from_secs(3);

fn fail(text: &str) -> std::io::Error {
    std::io::Error::other(text.to_owned())
}

/// Watches an accepted job as the rule LOST does: true if, from `from` on and until `until`, there is a span of 3 s in
/// which nothing of it runs although there is room for it twice over on the workers in `fit`, and under half of the
/// service's capacity is in use. The tenant has no maximum.
fn stands_still(
    deployment: &Deployment,
    job: &str,
    step: &Step,
    (fit, service): (&[String], &[String]),
    until: Instant,
) -> bool {
    const CORES: u64 = 16_000;
    let mut since: Option<Instant> = None;
    while Instant::now() < until {
        let used = deployment.fleet.used_cpu();
        let free = |id: &String| used.get(id).map_or(0, |u| CORES.saturating_sub(*u) / step.cpu);
        let room: u64 = fit.iter().map(free).sum();
        let busy: u64 = service.iter().filter_map(|id| used.get(id)).sum();
        let half = busy * 2 < CORES * service.len() as u64;
        let all_up = service.iter().all(|id| used.contains_key(id));
        let idle = deployment.fleet.running(job) == 0;
        if idle && all_up && half && room >= 2 * u64::from(step.count) {
            let start = *since.get_or_insert_with(Instant::now);
            if start.elapsed() >= SPAN {
                deployment.record.line(&format!(
                    "rule LOST: for 3 s nothing of {job} runs, though {room} of its {} tasks fit and {busy} of {} thousandths of a core are in use",
                    step.count,
                    CORES * service.len() as u64
                ));
                return true;
            }
        } else {
            since = None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A gang that comes after a job that can never be done.
pub fn gang_after_hopeless_job(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let pool = deployment.add_workers("yard-desk", &["a", "a", "a", "a"])?;
    deployment.add_workers("ferry-desk", &["a", "a", "a", "a"])?;
    let queue = |name, service| Queue { name, service, priority: 1, max_attempts: 3 };
    deployment.run(
        &["yard-desk", "ferry-desk"],
        &[queue("route-confirm", "yard-desk"), queue("ferry-book", "ferry-desk")],
    )?;
    // Nineteen jobs that can be done, and one that cannot: a share of 0.05.
    let plain = Step::plain(8, 1_700, 300);
    let hopeless = Step { hopeless: true, ..Step::plain(8, 8_000, 300) };
    for n in 0..20 {
        let id = format!("{:016x}", 0xa000 + n);
        let step = if trouble && n == 19 { &hopeless } else { &plain };
        if !deployment.submit("route-confirm", &id, std::slice::from_ref(step)) {
            return Err(fail("a job was not accepted"));
        }
        thread::sleep(Duration::from_millis(150));
    }
    for n in 0..20 {
        let id = format!("{:016x}", 0xa000 + n);
        if !deployment.wait_for("route-confirm", &id, &["completed", "failed"], Duration::from_secs(15)) {
            return Err(fail("a job of the first twenty has not ended"));
        }
    }
    // The gang: it needs half of the pool, which is empty.
    let gang = Step { gang: true, ..Step::plain(8, 4_000, 1_000) };
    let id = format!("{:016x}", 0xb000);
    if !deployment.submit("route-confirm", &id, std::slice::from_ref(&gang)) {
        return Err(fail("the gang was not accepted"));
    }
    let done = deployment.wait_for("route-confirm", &id, &["completed"], FINISH);
    // Jobs of the other queue are done all the while.
    let other = format!("{:016x}", 0xc000);
    let others = deployment.submit("ferry-book", &other, std::slice::from_ref(&plain))
        && deployment.wait_for("ferry-book", &other, &["completed"], Duration::from_secs(10));
    deployment.record.line(&format!("a job of another queue was done: {others}"));
    if done {
        return Ok(true);
    }
    let until = Instant::now() + Duration::from_secs(20);
    let lost = stands_still(deployment, &id, &gang, (&pool, &pool), until);
    // For the record only: a job without a gang is done by the same workers, and then the gang is.
    let after = format!("{:016x}", 0xb001);
    deployment.submit("route-confirm", &after, std::slice::from_ref(&plain));
    deployment.wait_for("route-confirm", &after, &["completed"], Duration::from_secs(10));
    deployment.wait_for("route-confirm", &id, &["completed"], Duration::from_secs(10));
    Ok(!lost)
}

/// A job for the one worker of a kind, which went down and up by turns before.
pub fn worker_after_restarts(deployment: &mut Deployment, trouble: bool) -> Outcome {
    // Share 0.1 of the service's ten workers, by turns of 1.1 s for 6.5 s, eight times.
    const PERIOD: Duration = Duration::from_millis(1_100);
    const BURST: Duration = Duration::from_millis(6_500);
    const BURSTS: u32 = 9;
    const PAUSE: Duration = Duration::from_millis(1_500);
    let kinds = ["b", "a", "a", "a", "a", "a", "a", "a", "a", "a"];
    let pool = deployment.add_workers("yard-desk", &kinds)?;
    let flapping = pool[0].clone();
    deployment.run(
        &["yard-desk"],
        &[Queue { name: "route-confirm", service: "yard-desk", priority: 1, max_attempts: 3 }],
    )?;
    let task = Step { label: "b".into(), ..Step::plain(2, 1_700, 500) };
    let first = format!("{:016x}", 0xa000);
    if !deployment.submit("route-confirm", &first, std::slice::from_ref(&task))
        || !deployment.wait_for("route-confirm", &first, &["completed"], Duration::from_secs(10))
    {
        return Err(fail("the first job was not done"));
    }
    for _ in 0..BURSTS {
        let start = Instant::now();
        while start.elapsed() < BURST {
            if trouble {
                let spec =
                    deployment.fleet.crash(&flapping).ok_or_else(|| fail("the worker is not there"))?;
                thread::sleep(PERIOD / 2);
                deployment.fleet.boot(spec)?;
                thread::sleep(PERIOD / 2);
            } else {
                thread::sleep(PERIOD);
            }
        }
        thread::sleep(PAUSE);
    }
    // All is calm: the worker stays up.
    thread::sleep(Duration::from_secs(8));
    let last = format!("{:016x}", 0xb000);
    if !deployment.submit("route-confirm", &last, std::slice::from_ref(&task)) {
        return Err(fail("the last job was not accepted"));
    }
    if deployment.wait_for("route-confirm", &last, &["completed"], FINISH) {
        return Ok(true);
    }
    let until = Instant::now() + Duration::from_secs(6);
    Ok(!stands_still(deployment, &last, &task, (std::slice::from_ref(&flapping), &pool), until))
}

/// Tasks that wait for a worker of a kind which crashes and comes back as another kind.
pub fn worker_of_another_kind(deployment: &mut Deployment, trouble: bool) -> Outcome {
    const CRASHES: usize = 8;
    let kinds = ["b", "a", "a", "a", "a", "a", "a", "a"];
    let pool = deployment.add_workers("yard-desk", &kinds)?;
    let changing = pool[0].clone();
    deployment.run(
        &["yard-desk"],
        &[Queue { name: "route-confirm", service: "yard-desk", priority: 1, max_attempts: 3 }],
    )?;
    let task = Step { label: "b".into(), ..Step::plain(4, 6_000, 600) };
    for n in 0..CRASHES {
        // More tasks than the one worker of the kind takes at a time.
        for k in 0..3 {
            let id = format!("{:016x}", 0xa000 + 16 * n + k);
            if !deployment.submit("route-confirm", &id, std::slice::from_ref(&task)) {
                return Err(fail("a job was not accepted"));
            }
        }
        thread::sleep(Duration::from_millis(700));
        if trouble {
            for kind in ["a", "b"] {
                let mut spec =
                    deployment.fleet.crash(&changing).ok_or_else(|| fail("the worker is not there"))?;
                spec.labels[0] = kind.to_owned();
                thread::sleep(Duration::from_millis(800));
                deployment.fleet.boot(spec)?;
                thread::sleep(Duration::from_millis(2_500));
            }
        } else {
            thread::sleep(Duration::from_millis(6_600));
        }
    }
    Ok(deployment.fleet.wrong_kinds() == 0)
}

/// Two waves that share their machines, while the machines' interface gives no answers for a moment.
pub fn two_waves(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let _ = deployment.add_workers("yard-desk", &["a"; 6])?;
    deployment.run(
        &["yard-desk"],
        &[Queue { name: "route-confirm", service: "yard-desk", priority: 1, max_attempts: 3 }],
    )?;
    thread::sleep(Duration::from_secs(3));
    if trouble {
        deployment.machines.plan_outage(Duration::from_millis(2_200));
    }
    let names = deployment.machines.names()[..2].to_vec();
    let quoted: Vec<String> = names.iter().map(|n| format!("\"{n}\"")).collect();
    for wave in [1, 2] {
        deployment.machines.add_wave(wave, &names);
        let request =
            format!("{{\"wave\":{wave},\"machines\":[{}],\"durationS\":26,\"maximum\":2}}", quoted.join(","));
        deployment.record.line(&format!("operator: op/wave/{wave} {request}"));
        deployment.store.put("keyed.op", &format!("wave/{wave}"), &request);
    }
    let until = Instant::now() + Duration::from_secs(60);
    let mut open = vec![1, 2];
    let mut held = true;
    while !open.is_empty() && Instant::now() < until {
        open.retain(|&wave| {
            let status = deployment.store.newest("keyed.status", &format!("wave/{wave}"));
            if !status.is_some_and(|s| s.contains("completed")) {
                return true;
            }
            let missing = deployment.machines.missing(wave);
            deployment.record.line(&format!("status/wave/{wave} is completed; not begun: {missing:?}"));
            held &= missing.is_empty();
            false
        });
        thread::sleep(Duration::from_millis(20));
    }
    if !open.is_empty() {
        return Err(fail("a wave has not ended"));
    }
    // What is missing stays so.
    thread::sleep(Duration::from_secs(10));
    for wave in [1, 2] {
        let missing = deployment.machines.missing(wave);
        deployment.record.line(&format!("10 s later, wave {wave}: not begun: {missing:?}"));
    }
    if !held {
        deployment
            .record
            .line("rule MIXED: a wave was said to be completed though a machine has not begun its upkeep");
    }
    Ok(held)
}

/// Jobs of a queue that goes to another service, handed in while a daemon is away, and again under the next config.
pub fn queue_to_another_service(deployment: &mut Deployment, trouble: bool) -> Outcome {
    const SERVICES: [&str; 3] = ["dairy-desk", "beef-desk", "yard-desk"];
    const APPLY: Duration = Duration::from_secs(2);
    for service in SERVICES {
        deployment.add_workers(service, &["a"; 4])?;
    }
    let queue = |service| Queue { name: "slot-quote", service, priority: 0, max_attempts: 4 };
    deployment.run(&SERVICES, &[queue(SERVICES[0])])?;
    let plain = Step::plain(4, 1_000, 300);
    let submit =
        |deployment: &Deployment, id: &str| deployment.submit("slot-quote", id, std::slice::from_ref(&plain));
    let first = format!("{:016x}", 0xa000);
    if !submit(deployment, &first) {
        return Err(fail("the first job was not accepted"));
    }
    deployment.configure(8, &SERVICES, &[queue(SERVICES[1])]);
    thread::sleep(APPLY + Duration::from_secs(2));
    let second = format!("{:016x}", 0xa001);
    if !submit(deployment, &second)
        || !deployment.wait_for("slot-quote", &second, &["completed"], Duration::from_secs(10))
        || deployment.fleet.services_of(&second).iter().any(|s| s != SERVICES[1])
    {
        return Err(fail("the second job did not run on the second service"));
    }
    let holder = |service| deployment.partition(service).and_then(|p| deployment.holder(p));
    let holders: Vec<Option<u8>> = SERVICES.into_iter().map(holder).collect();
    deployment.record.line(&format!("holders of the services' partitions: {holders:?}"));
    let [Some(home), Some(away), _] = holders[..] else { return Err(fail("a partition has no holder")) };
    if home == away {
        return Err(fail("one daemon holds both partitions"));
    }
    let jobs: Vec<String> = (0..5).map(|n| format!("{:016x}", 0xb000 + n)).collect();
    let mut refused = Vec::new();
    if trouble {
        deployment.kill(away);
        for id in &jobs {
            if deployment.submit_at(home, "slot-quote", id, std::slice::from_ref(&plain)) == Some(503) {
                refused.push(id.clone());
            }
        }
        thread::sleep(Duration::from_millis(500));
        deployment.spawn(away)?;
        if refused.is_empty() {
            return Err(fail("no job was refused"));
        }
    } else {
        refused.clone_from(&jobs);
    }
    thread::sleep(Duration::from_secs(6));
    deployment.configure(13, &SERVICES, &[queue(SERVICES[2])]);
    thread::sleep(APPLY + Duration::from_secs(4));
    let mut held = true;
    for id in &refused {
        if !submit(deployment, id) {
            return Err(fail("a job was not accepted"));
        }
        if !deployment.wait_for("slot-quote", id, &["completed"], Duration::from_secs(10)) {
            return Err(fail("a job was not done"));
        }
        let services = deployment.fleet.services_of(id);
        deployment.record.line(&format!("{id} ran on {services:?}"));
        if services.iter().any(|s| s != SERVICES[2]) {
            deployment.record.line(&format!(
                "rule CONFIG: {id}, handed in over 2 s after the ack of config 13, ran as config 8 allows"
            ));
            held = false;
        }
    }
    Ok(held)
}

/// Orders are carried out late, and some workers start again under their ids meanwhile.
pub fn late_orders(deployment: &mut Deployment, trouble: bool) -> Outcome {
    let pool = deployment.add_workers("beef-desk", &["a"; 8])?;
    deployment.run(
        &["beef-desk"],
        &[Queue { name: "beef-quote", service: "beef-desk", priority: 0, max_attempts: 4 }],
    )?;
    let plain = Step::plain(16, 800, 150);
    let start = Instant::now();
    let mut crashes: Vec<f64> = (0..10).map(|n| 7.0 + 1.2 * f64::from(n)).collect();
    let mut leaves = vec![3.0, 10.0];
    let mut down: Option<(Instant, crate::fleet::WorkerSpec)> = None;
    let mut jobs = Vec::new();
    while start.elapsed() < Duration::from_secs(20) {
        let at = start.elapsed().as_secs_f64();
        if trouble && leaves.first().is_some_and(|due| at >= *due) {
            leaves.remove(0);
            deployment.fleet.leave_orders(Duration::from_millis(5_500));
        }
        if trouble && crashes.first().is_some_and(|due| at >= *due) {
            crashes.remove(0);
            down =
                deployment.fleet.crash(&deployment.fleet.most_late(&pool)).map(|spec| (Instant::now(), spec));
        }
        if let Some((since, spec)) = down.take() {
            if since.elapsed() < Duration::from_millis(500) {
                down = Some((since, spec));
            } else {
                deployment.fleet.boot(spec)?;
            }
        }
        let id = format!("{:016x}", 0xa000 + jobs.len());
        if !deployment.submit("beef-quote", &id, std::slice::from_ref(&plain)) {
            return Err(fail("a job was not accepted"));
        }
        jobs.push(id);
        thread::sleep(Duration::from_millis(70));
    }
    if let Some((_, spec)) = down {
        deployment.fleet.boot(spec)?;
    }
    thread::sleep(Duration::from_secs(8));
    let ended = jobs.iter().filter(|id| deployment.state("beef-quote", id) == "completed").count();
    deployment.record.line(&format!("{ended} of {} jobs are completed", jobs.len()));
    Ok(deployment.fleet.begun_again() == 0)
}
