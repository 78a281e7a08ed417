//! Fingerprints of requests: equal if the requests are the same to the servers that run them.

use std::fmt;

use ladder_schema::call::{Message, Request};
use sha2::{Digest, Sha256};

/// Header fields by which servers identify the caller of a message.
const CALLER_FIELDS: [&str; 3] = ["authorization", "cookie", "x-api-key"];

/// Digest of a request's content and caller, the same at all instances.
///
/// Key, attempt number and deadline differ between repetitions of a request and are excluded. The
/// digest is wide enough that nobody can construct a request with the fingerprint of another
/// caller's request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(request: &Request) -> Self {
        let mut hash = Sha256::new();
        match &request.message {
            Some(message) => add_message(&mut hash, message),
            None => {
                add_value(&mut hash, request.index.as_bytes());
                add_value(&mut hash, request.operation.as_bytes());
                request.shards.iter().for_each(|shard| add_value(&mut hash, shard.as_bytes()));
                add_value(&mut hash, request.payload.as_bytes());
            }
        }
        let digest: [u8; 32] = hash.finalize().into();
        let (prefix, _) = digest.split_at(size_of::<u128>());
        Self(prefix.iter().fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }

    /// Decodes a fingerprint sent by a peer; `None` unless there are exactly 16 bytes, as from a
    /// peer that sends no fingerprint.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| Self(u128::from_be_bytes(bytes)))
    }

    /// Encodes the fingerprint for peers, as 16 bytes in big-endian order.
    pub fn bytes(self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// is not a fingerprint of 32 hexadecimal digits
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(displaydoc::Display)]
pub struct ParseFingerprintError;

impl std::error::Error for ParseFingerprintError {}

impl std::str::FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let is_well_formed = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_well_formed);
        number.map(Self).ok_or(ParseFingerprintError)
    }
}

fn add_message(hash: &mut Sha256, message: &Message) {
    add_value(hash, message.method.as_bytes());
    add_value(hash, message.host.to_ascii_lowercase().as_bytes());
    add_value(hash, message.target.as_bytes());
    add_value(hash, &message.body);
    for name in CALLER_FIELDS {
        let fields = message.fields.iter();
        let matching = fields.filter(|field| field.name.eq_ignore_ascii_case(name));
        matching.for_each(|field| {
            add_value(hash, name.as_bytes());
            add_value(hash, &field.value);
        });
    }
}

/// Adds a value preceded by its length, so that different sequences of values never produce the
/// same input.
fn add_value(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_be_bytes());
    hash.update(bytes);
}
