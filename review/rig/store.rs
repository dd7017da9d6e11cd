//! Stand-in of the platform's store: a log with keyed topics, fenced producers and a group.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{self, Json};

/// Usual time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// An entry of a worker is removed after three status report intervals of silence.
const ENTRY_SILENCE: Duration = Duration::from_millis(4_500);

type Part = (String, u64);

#[derive(Default)]
struct Log {
    /// Content of each record.
    records: Vec<Vec<u8>>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    /// Sequence number, offset and end of the last appends.
    recent: Vec<(u64, u64, u64)>,
}

struct Member {
    topics: Vec<String>,
    ttl: Duration,
    seen: Instant,
}

#[derive(Default, Clone)]
struct Slot {
    holder: Option<String>,
    target: Option<String>,
}

#[derive(Default)]
struct State {
    logs: HashMap<Part, Log>,
    members: BTreeMap<String, Member>,
    slots: BTreeMap<Part, Slot>,
    generation: u64,
    down_since: Option<Instant>,
    beats: HashMap<String, Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    partitions: u64,
}

impl Store {
    pub fn new(partitions: u64) -> Arc<Self> {
        let store = Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), partitions });
        let sweeper = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                sweeper.sweep();
            }
        });
        store
    }

    /// Refuses all calls with 503, and pauses the times of members and entries.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        match (down, state.down_since.take()) {
            (true, since) => state.down_since = Some(since.unwrap_or_else(Instant::now)),
            (false, Some(since)) => {
                let pause = since.elapsed();
                state.members.values_mut().for_each(|m| m.seen += pause);
                state.beats.values_mut().for_each(|b| *b += pause);
            }
            (false, None) => {}
        }
    }

    /// Writes a record as the operator or a worker does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend(key.as_bytes());
        content.extend(value);
        let mut state = self.state.lock().unwrap();
        append(state.logs.entry((topic.to_owned(), 0)).or_default(), topic, vec![content]);
        drop(state);
        self.changed.notify_all();
    }

    /// A worker's status report; false if the store does not take it.
    pub fn beat(&self, id: &str, value: &[u8]) -> bool {
        {
            let mut state = self.state.lock().unwrap();
            if state.down_since.is_some() {
                return false;
            }
            state.beats.insert(id.to_owned(), Instant::now());
        }
        self.put("keyed.servers", id, value);
        true
    }

    /// Whether any partition of a topic holds a record with this key.
    pub fn holds(&self, topic: &str, key: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.logs.iter().any(|((t, _), log)| t == topic && log.newest.contains_key(key))
    }

    /// Partition and member that holds the record with this key in a topic of the system.
    pub fn holder_of(&self, topic: &str, key: &str) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        let mut found = state.logs.iter().filter(|((t, _), log)| t == topic && log.newest.contains_key(key));
        let (part, _) = found.next()?;
        Some((part.1, state.slots.get(part)?.holder.clone()?))
    }

    pub fn generation(&self) -> u64 {
        self.state.lock().unwrap().generation
    }

    fn sweep(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_some() {
            return;
        }
        let dead: Vec<String> =
            state.members.iter().filter(|(_, m)| m.seen.elapsed() > m.ttl).map(|(n, _)| n.clone()).collect();
        for name in dead {
            self.remove_member(&mut state, &name);
        }
        let gone: Vec<String> =
            state.beats.iter().filter(|(_, b)| b.elapsed() > ENTRY_SILENCE).map(|(k, _)| k.clone()).collect();
        for id in &gone {
            state.beats.remove(id);
        }
        drop(state);
        for id in gone {
            self.put("keyed.servers", &id, b"");
        }
    }

    pub fn handle(&self, request: Request) -> Response {
        std::thread::sleep(ANSWER);
        if self.state.lock().unwrap().down_since.is_some() {
            return Some((503, b"{}".to_vec()));
        }
        let (status, body) = match request.path.as_str() {
            "/v1/log-append" => self.append(&request),
            "/v1/log-read" => return Some(self.read(&request)),
            "/v1/log-newest" => self.newest_page(&request),
            "/v1/log-join" => self.join(&body_of(&request)),
            "/v1/log-leave" => self.leave(&body_of(&request)),
            "/v1/log-owners" => self.owners(),
            _ => (404, Json::Null),
        };
        Some((status, body.write().into_bytes()))
    }

    fn append(&self, request: &Request) -> (u16, Json) {
        let topic = request.arg("topic").unwrap_or_default().to_owned();
        let part = request.arg_num("part").unwrap_or(0);
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, Json::Null);
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if length > 262_144 || rest.len() < 4 + length {
                return (400, Json::Null);
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        if request.body.len() > 2_097_152 {
            return (400, Json::Null);
        }
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry((topic.clone(), part)).or_default();
        let named = request.arg("producer").map(str::to_owned);
        let (epoch, sequence) = (request.arg_num("epoch").unwrap_or(0), request.arg_num("sequence").unwrap_or(0));
        if let Some(name) = &named {
            let producer = log.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return (409, json::obj(vec![("reason", json::s("fenced"))]));
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some((_, offset, end)) = producer.recent.iter().find(|(s, ..)| *s == sequence) {
                return (200, json::obj(vec![("offset", json::n(*offset)), ("end", json::n(*end))]));
            }
            if let Some(last) = producer.last
                && sequence != last + 1
            {
                let rows = vec![("reason", json::s("seq")), ("sequence", json::n(last + 1))];
                return (409, json::obj(rows));
            }
        }
        let offset = log.records.len() as u64;
        append(log, &topic, records);
        let end = log.records.len() as u64;
        if let Some(name) = named {
            let producer = log.producers.entry(name).or_default();
            producer.last = Some(sequence);
            producer.recent.push((sequence, offset, end));
            if producer.recent.len() > 5 {
                producer.recent.remove(0);
            }
        }
        drop(state);
        self.changed.notify_all();
        (200, json::obj(vec![("offset", json::n(offset)), ("end", json::n(end))]))
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let key = (request.arg("topic").unwrap_or_default().to_owned(), request.arg_num("part").unwrap_or(0));
        let from = request.arg_num("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.arg_num("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down_since.is_some() {
                return (503, b"{}".to_vec());
            }
            let log = state.logs.entry(key.clone()).or_default();
            if log.records.len() > from || Instant::now() >= until {
                let mut out = (log.records.len() as u64).to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                for record in log.records.iter().skip(from) {
                    out.extend((record.len() as u32).to_be_bytes());
                    out.extend(record);
                }
                return (200, out);
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }

    fn newest_page(&self, request: &Request) -> (u16, Json) {
        let key = (request.arg("topic").unwrap_or_default().to_owned(), request.arg_num("part").unwrap_or(0));
        let after = request.arg("after").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(key).or_default();
        let mut left = log.newest.iter().filter(|(k, _)| k.as_str() > after);
        let items: Vec<Json> = left
            .by_ref()
            .take(500)
            .map(|(k, (offset, v))| {
                json::obj(vec![("key", json::s(k)), ("value", json::s(&base64(v))), ("offset", json::n(*offset))])
            })
            .collect();
        let more = left.next().is_some();
        let end = log.records.len() as u64;
        (200, json::obj(vec![("items", Json::Arr(items)), ("more", Json::Bool(more)), ("end", json::n(end))]))
    }

    fn join(&self, body: &Json) -> (u16, Json) {
        let name = body.text("member");
        let topics: Vec<String> = body.list("topics").iter().map(|t| t.as_str().to_owned()).collect();
        let ttl = Duration::from_millis(body.num("ttlMs").unwrap_or(1_000));
        let generation = body.num("generation").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        for topic in &topics {
            for part in 0..self.partitions {
                state.slots.entry((topic.clone(), part)).or_default();
            }
        }
        let known = state.members.get(&name).is_some_and(|m| m.topics == topics);
        state.members.insert(name.clone(), Member { topics, ttl, seen: Instant::now() });
        if !known {
            deal(&mut state);
        }
        if generation >= state.generation {
            let mine = |slot: &&mut Slot| slot.holder.as_ref() == Some(&name) && slot.target != slot.holder;
            for slot in state.slots.values_mut().filter(mine) {
                slot.holder.clone_from(&slot.target);
            }
        }
        let own = |slot: &Slot| slot.holder.as_ref() == Some(&name) && slot.target.as_ref() == Some(&name);
        let parts = state
            .slots
            .iter()
            .filter(|(_, slot)| own(slot))
            .map(|((topic, part), _)| Json::Arr(vec![json::s(topic), json::n(*part), json::n(0)]))
            .collect();
        (200, json::obj(vec![("generation", json::n(state.generation)), ("parts", Json::Arr(parts))]))
    }

    fn leave(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        self.remove_member(&mut state, &body.text("member"));
        (200, Json::Obj(Vec::new()))
    }

    fn owners(&self) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let row = |((topic, part), slot): (&Part, &Slot)| {
            let holder = slot.holder.clone().unwrap_or_default();
            Json::Arr(vec![json::s(topic), json::n(*part), json::s(&holder), json::n(0)])
        };
        (200, json::obj(vec![("parts", Json::Arr(state.slots.iter().map(row).collect()))]))
    }

    fn remove_member(&self, state: &mut State, name: &str) {
        if state.members.remove(name).is_some() {
            deal(state);
        }
    }
}

/// Deals the partitions evenly, neighbours to one member. A partition that moves stays with its holder until
/// the holder joins again, leaves or falls silent.
fn deal(state: &mut State) {
    state.generation += 1;
    let topics: Vec<String> = state.members.values().flat_map(|m| m.topics.clone()).collect();
    for topic in topics {
        let members: Vec<String> =
            state.members.iter().filter(|(_, m)| m.topics.contains(&topic)).map(|(n, _)| n.clone()).collect();
        let count = state.slots.keys().filter(|(t, _)| *t == topic).count();
        for ((_, part), slot) in state.slots.iter_mut().filter(|((t, _), _)| *t == topic) {
            slot.target = Some(members[*part as usize * members.len() / count].clone());
        }
    }
    let State { members, slots, .. } = state;
    for ((topic, _), slot) in slots.iter_mut() {
        let live = |name: &Option<String>| {
            name.as_ref().and_then(|n| members.get(n)).is_some_and(|m| m.topics.contains(topic))
        };
        if !live(&slot.target) {
            slot.target = None;
        }
        if !live(&slot.holder) {
            slot.holder.clone_from(&slot.target);
        }
    }
}

fn append(log: &mut Log, topic: &str, records: Vec<Vec<u8>>) {
    for content in records {
        if topic.starts_with("keyed.") && !content.is_empty() {
            let length = content[0] as usize;
            let key = String::from_utf8_lossy(&content[1..1 + length]).into_owned();
            let value = content[1 + length..].to_vec();
            if value.is_empty() {
                log.newest.remove(&key);
            } else {
                log.newest.insert(key, (log.records.len() as u64, value));
            }
        }
        log.records.push(content);
    }
}

fn body_of(request: &Request) -> Json {
    Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
