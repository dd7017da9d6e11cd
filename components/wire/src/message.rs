//! Message types, derived with prost so that the build needs no protobuf compiler.

use prost::{Message, Oneof};

/// Content of one frame: a message and its metadata.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Correlation id: a reply has that of its request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Stamp of the sender's hybrid logical clock.
    #[prost(uint64, tag = "2")]
    pub clock: u64,
    /// Message.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// Message of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of the dialer.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Reply of the acceptor.
    #[prost(message, tag = "4")]
    Challenge(Challenge),
    /// Last frame of the handshake.
    #[prost(message, tag = "5")]
    Proof(Proof),
    /// Heartbeat; the reply is also one.
    #[prost(message, tag = "6")]
    Heartbeat(Heartbeat),
    /// Asks the receiver to vote on a claim.
    #[prost(message, tag = "7")]
    Claim(ClaimMessage),
    /// Vote on a claim.
    #[prost(message, tag = "8")]
    ClaimReply(ClaimReply),
    /// Requests log entries that the receiver has applied.
    #[prost(message, tag = "9")]
    FetchEntries(FetchEntries),
    /// Reply with log entries.
    #[prost(message, tag = "10")]
    LogEntries(LogEntries),
    /// Requests a page of the stored claims.
    #[prost(message, tag = "11")]
    FetchClaims(FetchClaims),
    /// Reply with a page of the stored claims.
    #[prost(message, tag = "12")]
    ClaimPage(ClaimPage),
    /// Hands over a free slot of a worker; the reply repeats it.
    #[prost(message, tag = "13")]
    FreeSlot(FreeSlot),
}

/// First frame of the dialer.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol version.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Dialer's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Dialer's nonce.
    #[prost(bytes = "vec", tag = "3")]
    pub nonce: Vec<u8>,
}

/// Reply of the acceptor.
#[derive(Clone, PartialEq, Message)]
pub struct Challenge {
    /// Acceptor's incarnation.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Acceptor's nonce.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// Acceptor's keyed digest of the handshake.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// Last frame of the handshake.
#[derive(Clone, PartialEq, Message)]
pub struct Proof {
    /// Dialer's keyed digest of the handshake.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// Heartbeat; carries what has changed since the last answered one.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Offset of the next entry that the sender will apply.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Counters of the units given to the receiver.
    #[prost(message, repeated, tag = "3")]
    pub unit_counters: Vec<UnitCounter>,
    /// Units that the sender needs.
    #[prost(message, repeated, tag = "4")]
    pub unit_needs: Vec<UnitNeed>,
    /// Changed loads of the sender, for each team and pool.
    #[prost(message, repeated, tag = "5")]
    pub load_changes: Vec<LoadChange>,
    /// True once the sender is leaving and accepts no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Members that the sender can reach; none if unchanged.
    #[prost(message, optional, tag = "8")]
    pub reachable: Option<ReachablePeers>,
    /// True if a load without an entry is zero; otherwise it is unchanged.
    #[prost(bool, tag = "9")]
    pub full: bool,
}

/// Members that a host has heard from recently.
#[derive(Clone, PartialEq, Message)]
pub struct ReachablePeers {
    /// Incarnations in ascending order.
    #[prost(uint64, repeated, tag = "1")]
    pub incarnations: Vec<u64>,
}

/// Number of units of one team given to one peer so far.
#[derive(Clone, PartialEq, Message)]
pub struct UnitCounter {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Monotonic counter.
    #[prost(int64, tag = "2")]
    pub counter: i64,
}

/// Units of one team that a host needs.
#[derive(Clone, PartialEq, Message)]
pub struct UnitNeed {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of units.
    #[prost(int64, tag = "2")]
    pub units: i64,
}

/// Changed load of one team at a host: its running tasks, or its queue for one pool.
#[derive(Clone, PartialEq, Message)]
pub struct LoadChange {
    /// Team name.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of running tasks.
    #[prost(int64, tag = "2")]
    pub tasks: i64,
    /// Number of queued requests.
    #[prost(int64, tag = "3")]
    pub waiting: i64,
    /// Pool of the queue; empty in the entry that counts running tasks.
    #[prost(string, tag = "4")]
    pub pool: String,
}

/// A free slot of a worker.
#[derive(Clone, PartialEq, Message)]
pub struct FreeSlot {
    /// Worker name.
    #[prost(string, tag = "1")]
    pub worker: String,
}

/// A claim of an entry host on a request id.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimMessage {
    /// Request id.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Round of the vote.
    #[prost(uint32, tag = "2")]
    pub round: u32,
    /// Incarnation of the claiming host.
    #[prost(uint64, tag = "3")]
    pub owner: u64,
    /// Worker name.
    #[prost(string, tag = "4")]
    pub worker: String,
    /// Incarnation of the worker.
    #[prost(uint64, tag = "5")]
    pub boot: u64,
}

/// Vote on a claim.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// True if the member has stored the claim.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// True if the member may not vote.
    #[prost(bool, tag = "2")]
    pub abstained: bool,
    /// Other claims on the request id that the member has stored.
    #[prost(message, repeated, tag = "3")]
    pub others: Vec<ClaimMessage>,
}

/// Request for log entries.
#[derive(Clone, PartialEq, Message)]
pub struct FetchEntries {
    /// Offset of the first entry.
    #[prost(uint64, tag = "1")]
    pub from: u64,
}

/// Log entries in order.
#[derive(Clone, PartialEq, Message)]
pub struct LogEntries {
    /// Entries; empty if the first requested one is no longer kept.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<RawEntry>,
}

/// One log entry as stored in the log.
#[derive(Clone, PartialEq, Message)]
pub struct RawEntry {
    /// Offset in the log.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Record as text.
    #[prost(string, tag = "2")]
    pub data: String,
}

/// Request for a page of the stored claims.
#[derive(Clone, PartialEq, Message)]
pub struct FetchClaims {
    /// Number of claims to skip.
    #[prost(uint64, tag = "1")]
    pub skip: u64,
}

/// Page of the stored claims.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimPage {
    /// Claims, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub claims: Vec<ClaimMessage>,
    /// True on the last page.
    #[prost(bool, tag = "2")]
    pub last: bool,
    /// False if the member may not vote yet; the page is then empty.
    #[prost(bool, tag = "3")]
    pub synced: bool,
}
