//! Stand-in of the platform's store: keyed logs, fenced producers, and one consumer group.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};

/// Partitions of a topic.
pub const PARTS: u32 = 24;
/// Time that each answer takes.
const ANSWER: Duration = Duration::from_millis(4);
/// Most items of a page of newest records.
const PAGE_ITEMS: usize = 500;
/// Megabytes per second that a partition takes.
const PARTITION_MB_S: u64 = 20;
/// Most bytes of a record.
const RECORD_BYTES: usize = 262_144;
/// Most bytes of the records of a call.
const CALL_BYTES: usize = 2_097_152;

#[derive(Default)]
struct Log {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: u64,
    /// First responses of the last five appends.
    answers: VecDeque<(u64, Vec<u8>)>,
}

struct Member {
    topics: Vec<String>,
    ttl: Duration,
    joined: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Member that a partition is meant for, and the one that holds it.
    target: BTreeMap<(String, u32), String>,
    holder: BTreeMap<(String, u32), String>,
}

#[derive(Default)]
struct State {
    logs: HashMap<(String, u32), Log>,
    group: Group,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Keys of the records of each append of the shards' owners.
    appended: Mutex<Vec<Vec<String>>>,
}

impl Log {
    fn append(&mut self, content: &[u8]) {
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
        let value = content[1 + length..].to_vec();
        let offset = self.records.len() as u64;
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
        self.records.push(content.to_vec());
    }
}

impl Group {
    /// Deals the partitions of each topic evenly, in runs of neighbours, to the members that joined with it.
    fn deal(&mut self) {
        self.generation += 1;
        let mut topics: Vec<String> = self.members.values().flat_map(|m| m.topics.clone()).collect();
        topics.sort();
        topics.dedup();
        self.target.clear();
        for topic in topics {
            let members: Vec<&String> =
                self.members.iter().filter(|(_, m)| m.topics.contains(&topic)).map(|(n, _)| n).collect();
            for part in 0..PARTS {
                let index = part as usize * members.len() / PARTS as usize;
                self.target.insert((topic.clone(), part), members[index].clone());
            }
        }
        let members = &self.members;
        self.holder.retain(|_, holder| members.contains_key(holder));
    }

    fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, m| m.joined.elapsed() < m.ttl);
        if self.members.len() != before {
            self.deal();
        }
    }

    fn join(&mut self, name: &str, topics: Vec<String>, ttl: Duration, generation: u64) -> Value {
        self.expire();
        let known = self.members.get(name).is_some_and(|m| m.topics == topics);
        let member = Member { topics, ttl, joined: Instant::now() };
        self.members.insert(name.to_owned(), member);
        if !known {
            self.deal();
        }
        // A member that knows this generation has given up what it does not list.
        if generation >= self.generation {
            let target = &self.target;
            self.holder.retain(|part, holder| holder != name || target.get(part).is_some_and(|t| t == name));
        }
        let mut rows = Vec::new();
        for (part, target) in &self.target {
            if target == name {
                let holder = self.holder.entry(part.clone()).or_insert_with(|| name.to_owned());
                if holder == name {
                    rows.push(json!([part.0, part.1, 0]));
                }
            }
        }
        json!({ "generation": self.generation, "parts": rows })
    }

    /// Reassigns all partitions at once, without a request: each goes to the member that many places after the one that
    /// it is meant for.
    fn deal_anew(&mut self, places: usize) {
        self.expire();
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        for target in self.target.values_mut() {
            let index = names.iter().position(|n| n == target).unwrap_or(0);
            target.clone_from(&names[(index + places) % names.len()]);
        }
        self.holder = self.target.clone();
    }

    fn leave(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.deal();
        }
    }

    fn owners(&mut self) -> Value {
        self.expire();
        let row = |part: &(String, u32)| {
            json!([part.0, part.1, self.holder.get(part).cloned().unwrap_or_default(), 0])
        };
        json!({ "parts": self.target.keys().map(row).collect::<Vec<_>>() })
    }
}

impl Store {
    /// Serves the store at an address.
    pub fn serve(self: &Arc<Self>, addr: SocketAddr) -> std::io::Result<()> {
        let store = Arc::clone(self);
        http::serve(addr, Arc::new(move |request| store.respond(request)))
    }

    /// Writes a record of the operator or of a worker.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut content = vec![key.len() as u8];
        content.extend(key.as_bytes());
        content.extend(value.to_string().as_bytes());
        let mut state = self.state.lock().unwrap();
        state.logs.entry((topic.to_owned(), 0)).or_default().append(&content);
        drop(state);
        self.changed.notify_all();
    }

    /// Waits until a member has renewed its membership, then reassigns all partitions at once. Those of the member go to
    /// the one that is the next to renew its own, whose name is returned.
    pub fn deal_anew_after(&self, member: &str) -> Option<String> {
        let renewed = |state: &State| state.group.members.get(member).map(|m| m.joined);
        let before = renewed(&self.state.lock().unwrap())?;
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let mut state = self.state.lock().unwrap();
            if renewed(&state)? == before {
                continue;
            }
            let names: Vec<String> = state.group.members.keys().cloned().collect();
            let others = names.iter().filter(|n| *n != member);
            let next = others.min_by_key(|n| state.group.members[*n].joined)?.clone();
            let place = |name: &str| names.iter().position(|n| n == name);
            let places = (place(&next)? + names.len() - place(member)?) % names.len();
            state.group.deal_anew(places);
            return Some(next);
        }
    }

    /// Number of appends of the shards' owners so far.
    pub fn appends(&self) -> usize {
        self.appended.lock().unwrap().len()
    }

    /// Whether an append from this number on holds a record with this key.
    pub fn appended_since(&self, from: usize, key: &str) -> bool {
        let appended = self.appended.lock().unwrap();
        appended.iter().skip(from).any(|keys| keys.iter().any(|k| k == key))
    }

    /// Member that holds the partition to which a record with this key was appended last under an epoch.
    pub fn holder_of_key(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let part =
            state.logs.iter().find(|(_, log)| log.newest.contains_key(key) && !log.producers.is_empty())?;
        state.group.holder.get(part.0).cloned()
    }

    fn respond(&self, request: &Request) -> Answer {
        std::thread::sleep(ANSWER);
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let part = (text("topic"), number("part").unwrap_or(0) as u32);
        let body = || serde_json::from_slice::<Value>(&request.body).unwrap_or_default();
        match request.path.as_str() {
            "/v1/log-append" => {
                self.append(part, request, &text("producer"), number("epoch"), number("sequence"))
            }
            "/v1/log-read" => self.read(&part, number("from").unwrap_or(0), number("waitMs").unwrap_or(0)),
            "/v1/log-newest" => self.newest(&part, &text("after")),
            "/v1/log-join" => {
                let body = body();
                let topics = body["topics"].as_array().cloned().unwrap_or_default();
                let topics = topics.iter().filter_map(|t| t.as_str().map(str::to_owned)).collect();
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1_000));
                let name = body["member"].as_str().unwrap_or("").to_owned();
                let generation = body["generation"].as_u64().unwrap_or(0);
                let answer = self.state.lock().unwrap().group.join(&name, topics, ttl, generation);
                ok(&answer)
            }
            "/v1/log-leave" => {
                let name = body()["member"].as_str().unwrap_or("").to_owned();
                self.state.lock().unwrap().group.leave(&name);
                ok(&json!({}))
            }
            "/v1/log-owners" => ok(&self.state.lock().unwrap().group.owners()),
            _ => Answer::Send(404, Vec::new()),
        }
    }

    fn append(
        &self,
        part: (String, u32),
        request: &Request,
        producer: &str,
        epoch: Option<u64>,
        sequence: Option<u64>,
    ) -> Answer {
        if ["keyed.op", "keyed.servers"].contains(&part.0.as_str()) {
            return Answer::Send(403, Vec::new());
        }
        let Some(records) = split(&request.body) else { return Answer::Send(400, Vec::new()) };
        std::thread::sleep(Duration::from_micros(request.body.len() as u64 / PARTITION_MB_S));
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(part).or_default();
        if let (Some(epoch), Some(sequence)) = (epoch, sequence) {
            let producer = log.producers.entry(producer.to_owned()).or_default();
            if epoch < producer.epoch {
                return Answer::Send(409, json!({ "reason": "fenced" }).to_string().into_bytes());
            }
            if epoch == producer.epoch {
                if let Some((_, first)) = producer.answers.iter().find(|(s, _)| *s == sequence) {
                    return Answer::Send(200, first.clone());
                }
                if sequence != producer.last + 1 {
                    let body = json!({ "reason": "seq", "sequence": producer.last + 1 });
                    return Answer::Send(409, body.to_string().into_bytes());
                }
            } else {
                *producer = Producer { epoch, ..Producer::default() };
            }
        }
        let offset = log.records.len();
        if sequence.is_some() {
            let key = |r: &&[u8]| String::from_utf8_lossy(&r[1..=usize::from(r[0])]).into_owned();
            self.appended.lock().unwrap().push(records.iter().map(key).collect());
        }
        for record in records {
            log.append(record);
        }
        let answer = json!({ "offset": offset, "end": log.records.len() }).to_string().into_bytes();
        if let Some(sequence) = sequence {
            let producer = log.producers.entry(producer.to_owned()).or_default();
            producer.last = sequence;
            producer.answers.push_back((sequence, answer.clone()));
            if producer.answers.len() > 5 {
                producer.answers.pop_front();
            }
        }
        drop(state);
        self.changed.notify_all();
        Answer::Send(200, answer)
    }

    fn read(&self, part: &(String, u32), from: u64, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.logs.entry(part.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if log.records.len() as u64 > from || left.is_zero() {
                let mut page = (log.records.len() as u64).to_be_bytes().to_vec();
                page.extend(0_u64.to_be_bytes());
                for record in log.records.iter().skip(from as usize) {
                    if page.len() + record.len() > 1_024 * 1_024 {
                        break;
                    }
                    page.extend((record.len() as u32).to_be_bytes());
                    page.extend(record);
                }
                return Answer::Send(200, page);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, part: &(String, u32), after: &str) -> Answer {
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(part.clone()).or_default();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (value, offset)) in
            log.newest.iter().filter(|(k, _)| after.is_empty() || k.as_str() > after)
        {
            if items.len() >= PAGE_ITEMS || bytes >= 1_000_000 {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(json!({ "key": key, "value": base64(value), "offset": offset }));
        }
        ok(&json!({ "items": items, "more": more, "end": log.records.len() }))
    }
}

fn ok(body: &Value) -> Answer {
    Answer::Send(200, body.to_string().into_bytes())
}

/// Records of a call; `None` if they are malformed or too long.
fn split(mut body: &[u8]) -> Option<Vec<&[u8]>> {
    if body.len() > CALL_BYTES {
        return None;
    }
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        if length > RECORD_BYTES {
            return None;
        }
        records.push(rest.get(..length)?);
        body = &rest[length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
