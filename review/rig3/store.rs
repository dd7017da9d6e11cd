//! The platform's store: a log with keyed topics, and a group of members.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, parse, quote};

/// Usual time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
pub const PARTS: u64 = 24;

#[derive(Default)]
struct Log {
    /// Contents of the records, each with its key and value.
    records: Vec<Vec<u8>>,
    /// Newest value of each key with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    /// The last five appends: sequence number and answer.
    recent: VecDeque<(u64, String)>,
}

impl Log {
    fn add(&mut self, content: &[u8]) {
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..=length]).into_owned();
        let value = content[1 + length..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, self.records.len() as u64));
        }
        self.records.push(content.to_vec());
    }

    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

struct Member {
    topics: Vec<String>,
    gone_at: Instant,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Member that holds a partition, and the member that is to hold it since a generation.
    holders: HashMap<(String, u64), String>,
    targets: HashMap<(String, u64), String>,
    since: u64,
}

impl Group {
    /// Deals the partitions evenly after a change of the members.
    fn deal(&mut self) {
        self.generation += 1;
        self.since = self.generation;
        self.targets.clear();
        let topics: Vec<String> = self.members.values().flat_map(|m| m.topics.clone()).collect();
        for topic in topics {
            let takers: Vec<&String> =
                self.members.iter().filter(|(_, m)| m.topics.contains(&topic)).map(|(n, _)| n).collect();
            for part in 0..PARTS {
                let taker = takers[(part * takers.len() as u64 / PARTS) as usize];
                self.targets.insert((topic.clone(), part), taker.clone());
            }
        }
        let members = &self.members;
        self.holders.retain(|_, holder| members.contains_key(holder));
        self.hand_out();
    }

    /// Gives the partitions without a holder to those that are to hold them.
    fn hand_out(&mut self) {
        for (place, target) in &self.targets {
            self.holders.entry(place.clone()).or_insert_with(|| target.clone());
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|_, m| m.gone_at > now);
        if self.members.len() != count {
            self.deal();
        }
    }
}

#[derive(Default)]
struct State {
    logs: HashMap<(String, u64), Log>,
    group: Group,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(self: &Arc<Self>, addr: SocketAddr) -> std::io::Result<Server> {
        let store = Arc::clone(self);
        Server::start(addr, move |request| store.handle(&request))
    }

    /// Writes a record, as the operator and the workers do; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend(key.as_bytes());
        content.extend(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        state.logs.entry((topic.to_owned(), 0)).or_default().add(&content);
        self.changed.notify_all();
    }

    /// Newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let log = state.logs.get(&(topic.to_owned(), 0))?;
        log.newest.get(key).map(|(v, _)| String::from_utf8_lossy(v).into_owned())
    }

    /// Member that holds a partition.
    pub fn holder(&self, topic: &str, part: u64) -> Option<String> {
        self.state.lock().unwrap().group.holders.get(&(topic.to_owned(), part)).cloned()
    }

    fn handle(&self, request: &Request) -> Answer {
        thread::sleep(ANSWER);
        let (status, body) = match request.path.as_str() {
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => return Some(self.read(request)),
            "/v1/log-newest" => self.list_newest(request),
            "/v1/log-join" => self.join(&parse(&request.body)?),
            "/v1/log-leave" => self.leave(&parse(&request.body)?),
            "/v1/log-owners" => self.owners(),
            _ => (404, String::new()),
        };
        Some((status, body.into_bytes()))
    }

    fn append(&self, request: &Request) -> (u16, String) {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, "{}".into());
        }
        let part = request.query_number("part").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry((topic, part)).or_default();
        if let Some(at) = request.query_number("at")
            && at != log.end()
        {
            return (412, format!("{{\"end\":{}}}", log.end()));
        }
        let mut contents = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some(content) = tail.get(..length).filter(|c| !c.is_empty()) else {
                return (400, "{}".into());
            };
            contents.push(content);
            rest = &tail[length..];
        }
        let producer = request.query("producer").map(str::to_owned);
        let epoch = request.query_number("epoch").unwrap_or(0);
        let sequence = request.query_number("sequence").unwrap_or(0);
        if let Some(name) = &producer {
            let entry = log.producers.entry(name.clone()).or_default();
            if epoch < entry.epoch {
                return (409, "{\"reason\":\"fenced\"}".into());
            }
            if epoch == entry.epoch {
                if let Some((_, answer)) = entry.recent.iter().find(|(s, _)| *s == sequence) {
                    return (200, answer.clone());
                }
                if sequence != entry.sequence + 1 {
                    return (409, format!("{{\"reason\":\"seq\",\"sequence\":{}}}", entry.sequence + 1));
                }
            } else {
                entry.recent.clear();
            }
            (entry.epoch, entry.sequence) = (epoch, sequence);
        }
        let offset = log.end();
        contents.iter().for_each(|c| log.add(c));
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", log.end());
        if let Some(name) = producer {
            let recent = &mut log.producers.entry(name).or_default().recent;
            recent.push_back((sequence, answer.clone()));
            if recent.len() > 5 {
                recent.pop_front();
            }
        }
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, request: &Request) -> (u16, Vec<u8>) {
        let place = (
            request.query("topic").unwrap_or_default().to_owned(),
            request.query_number("part").unwrap_or(0),
        );
        let from = request.query_number("from").unwrap_or(0);
        let most = request.query_number("maxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(request.query_number("waitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let log = state.logs.entry(place.clone()).or_default();
            let now = Instant::now();
            if from < log.end() || now >= until {
                let mut out = log.end().to_be_bytes().to_vec();
                out.extend(0_u64.to_be_bytes());
                for content in log.records.iter().skip(from as usize) {
                    if out.len() + content.len() > most {
                        break;
                    }
                    out.extend((content.len() as u32).to_be_bytes());
                    out.extend(content);
                }
                return (200, out);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn list_newest(&self, request: &Request) -> (u16, String) {
        let place = (
            request.query("topic").unwrap_or_default().to_owned(),
            request.query_number("part").unwrap_or(0),
        );
        let after = request.query("after").unwrap_or_default().to_owned();
        let mut state = self.state.lock().unwrap();
        let log = state.logs.entry(place).or_default();
        let mut rows = log.newest.iter().filter(|(k, _)| **k > after);
        let items: Vec<String> = rows
            .by_ref()
            .take(500)
            .map(|(k, (v, offset))| {
                format!("{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}", quote(k), base64(v))
            })
            .collect();
        let more = rows.next().is_some();
        (200, format!("{{\"items\":[{}],\"more\":{more},\"end\":{}}}", items.join(","), log.end()))
    }

    fn join(&self, body: &Json) -> (u16, String) {
        let (member, ttl) = (body.text("member"), body.number("ttlMs").unwrap_or(1_000));
        let known = body.number("generation").unwrap_or(0);
        let topics: Vec<String> = body
            .list("topics")
            .into_iter()
            .filter_map(|t| if let Json::Text(t) = t { Some(t) } else { None })
            .collect();
        let mut state = self.state.lock().unwrap();
        let group = &mut state.group;
        group.expire();
        let gone_at = Instant::now() + Duration::from_millis(ttl);
        let old = group.members.insert(member.clone(), Member { topics: topics.clone(), gone_at });
        if old.is_none_or(|m| m.topics != topics) {
            group.deal();
        }
        if known >= group.since {
            let targets = &group.targets;
            group.holders.retain(|place, holder| *holder != member || targets.get(place) == Some(&member));
            group.hand_out();
        }
        let mut parts: Vec<&(String, u64)> = group
            .holders
            .iter()
            .filter(|(place, holder)| **holder == member && group.targets.get(place) == Some(&member))
            .map(|(place, _)| place)
            .collect();
        parts.sort();
        let rows: Vec<String> = parts.iter().map(|(t, p)| format!("[{},{p},0]", quote(t))).collect();
        (200, format!("{{\"generation\":{},\"parts\":[{}]}}", group.generation, rows.join(",")))
    }

    fn leave(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        if state.group.members.remove(&body.text("member")).is_some() {
            state.group.deal();
        }
        (200, "{}".into())
    }

    fn owners(&self) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.group.expire();
        let mut rows: Vec<String> = state
            .group
            .holders
            .iter()
            .map(|((topic, part), holder)| format!("[{},{part},{},0]", quote(topic), quote(holder)))
            .collect();
        rows.sort();
        (200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |w, i| w << 8 | u32::from(chunk.get(i).copied().unwrap_or(0)));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
