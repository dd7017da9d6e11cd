//! Protocol between entry hosts: length-delimited frames of protobuf messages over TCP.
//!
//! A link starts with a handshake in which each side proves that it knows the shared secret; no other message
//! is accepted before that. Frames above a maximum size and peers with another protocol version are rejected.

mod link;
mod message;

pub use link::{Link, LinkError, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use message::{
    Body, ClaimMessage, ClaimPage, ClaimReply, Envelope, FetchClaims, FetchEntries, FreeSlot, Heartbeat,
    LoadChange, LogEntries, RawEntry, ReachablePeers, UnitCounter, UnitNeed,
};
