//! Authenticated link between two entry hosts.
//!
//! The handshake is a mutual challenge and response: the dialer sends a nonce (`Hello`), the acceptor replies
//! with its own nonce and a digest (`Challenge`), and the dialer sends its digest (`Proof`). A digest is keyed
//! with the shared secret and covers the sender's role, both incarnations and both nonces.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::message::{Body, Challenge, Envelope, Hello, Proof};

/// Protocol version; both sides must have the same.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum frame size.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
const NONCE_BYTES: usize = 16;

/// Why a link failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Reading or writing the connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame does not decode as a message.
    #[error("malformed frame: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The peer has another protocol version.
    #[error("peer has protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u32),
    /// The peer's digest is wrong, so it does not know the shared secret.
    #[error("peer failed authentication with the shared secret")]
    Unauthenticated,
    /// A handshake message arrived out of order.
    #[error("unexpected message in the handshake")]
    UnexpectedMessage,
    /// The system's random number generator failed.
    #[error("system random number generator failed")]
    RandomSource,
}

/// Framed connection to an authenticated peer.
#[derive(Debug)]
pub struct Link<S> {
    frames: Framed<S, LengthDelimitedCodec>,
    /// Peer's incarnation.
    pub peer: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Link<S> {
    /// Performs the handshake as the side that opened the connection.
    ///
    /// # Errors
    /// [`LinkError`], also when the peer does not know the secret.
    pub async fn dial(stream: S, secret: &[u8; 32], own_incarnation: u64) -> Result<Self, LinkError> {
        let mut link = Self::framed(stream);
        let nonce = random_nonce()?;
        link.send_body(Body::Hello(Hello {
            version: PROTOCOL_VERSION,
            incarnation: own_incarnation,
            nonce: nonce.clone(),
        }))
        .await?;
        let Some(Body::Challenge(reply)) = link.recv().await?.body else {
            return Err(LinkError::UnexpectedMessage);
        };
        let handshake = Handshake {
            dialer: own_incarnation,
            acceptor: reply.incarnation,
            nonces: [&nonce, &reply.nonce],
        };
        verify_digest(&reply.digest, &handshake.digest(secret, b"acceptor"))?;
        link.send_body(Body::Proof(Proof {
            digest: handshake.digest(secret, b"dialer").as_bytes().to_vec(),
        }))
        .await?;
        link.peer = reply.incarnation;
        Ok(link)
    }

    /// Performs the handshake as the side that accepted the connection.
    ///
    /// # Errors
    /// [`LinkError`], also when the peer does not know the secret.
    pub async fn accept(stream: S, secret: &[u8; 32], own_incarnation: u64) -> Result<Self, LinkError> {
        let mut link = Self::framed(stream);
        let Some(Body::Hello(hello)) = link.recv().await?.body else {
            return Err(LinkError::UnexpectedMessage);
        };
        if hello.version != PROTOCOL_VERSION {
            return Err(LinkError::Version(hello.version));
        }
        let nonce = random_nonce()?;
        let handshake = Handshake {
            dialer: hello.incarnation,
            acceptor: own_incarnation,
            nonces: [&hello.nonce, &nonce],
        };
        let digest = handshake.digest(secret, b"acceptor").as_bytes().to_vec();
        link.send_body(Body::Challenge(Challenge {
            incarnation: own_incarnation,
            nonce: nonce.clone(),
            digest,
        }))
        .await?;
        let Some(Body::Proof(proof)) = link.recv().await?.body else {
            return Err(LinkError::UnexpectedMessage);
        };
        verify_digest(&proof.digest, &handshake.digest(secret, b"dialer"))?;
        link.peer = hello.incarnation;
        Ok(link)
    }

    /// Sends one frame.
    ///
    /// # Errors
    /// [`LinkError::Io`], also when the frame is too large.
    pub async fn send(&mut self, envelope: &Envelope) -> Result<(), LinkError> {
        Ok(self.frames.send(Bytes::from(envelope.encode_to_vec())).await?)
    }

    /// Receives one frame.
    ///
    /// # Errors
    /// [`LinkError`]; the link cannot be used afterwards.
    pub async fn recv(&mut self) -> Result<Envelope, LinkError> {
        let frame: BytesMut = self.frames.next().await.ok_or(LinkError::Closed)??;
        Ok(Envelope::decode(frame)?)
    }

    fn framed(stream: S) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        Self { frames: Framed::new(stream, codec), peer: 0 }
    }

    async fn send_body(&mut self, body: Body) -> Result<(), LinkError> {
        self.send(&Envelope { id: 0, clock: 0, body: Some(body) }).await
    }
}

/// Values of a handshake that both digests cover.
struct Handshake<'a> {
    dialer: u64,
    acceptor: u64,
    nonces: [&'a [u8]; 2],
}

impl Handshake<'_> {
    /// Digest of the side with a role; the roles differ so that neither side can return the other's digest.
    fn digest(&self, secret: &[u8; 32], role: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(secret);
        hasher.update(role);
        hasher.update(&self.dialer.to_le_bytes());
        hasher.update(&self.acceptor.to_le_bytes());
        for nonce in self.nonces {
            hasher.update(&(nonce.len() as u64).to_le_bytes());
            hasher.update(nonce);
        }
        hasher.finalize()
    }
}

/// Compares the digests in constant time, as [`blake3::Hash`] equality does.
fn verify_digest(received: &[u8], expected: &blake3::Hash) -> Result<(), LinkError> {
    let received = blake3::Hash::from_slice(received).map_err(|_| LinkError::Unauthenticated)?;
    if received == *expected { Ok(()) } else { Err(LinkError::Unauthenticated) }
}

fn random_nonce() -> Result<Vec<u8>, LinkError> {
    let mut bytes = vec![0; NONCE_BYTES];
    getrandom::fill(&mut bytes).map_err(|_| LinkError::RandomSource)?;
    Ok(bytes)
}
