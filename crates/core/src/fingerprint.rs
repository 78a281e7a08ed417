//! What makes two requests the same to the servers that run them.

use std::fmt;

use ladder_schema::call::{Message, Request};
use sha2::{Digest, Sha256};

/// Fields of a message by which servers know its caller.
const CALLER_FIELDS: [&str; 3] = ["authorization", "cookie", "x-api-key"];

/// Digest of what is asked and by whom, the same at all instances.
///
/// Key, attempt and deadline differ between repetitions and don't belong to it. It is wide enough that
/// nobody can make a request up that passes for another caller's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Of a request.
    pub fn of(request: &Request) -> Self {
        let mut hash = Sha256::new();
        match &request.message {
            Some(message) => add_message(&mut hash, message),
            None => {
                add(&mut hash, request.index.as_bytes());
                add(&mut hash, request.operation.as_bytes());
                request.shards.iter().for_each(|shard| add(&mut hash, shard.as_bytes()));
                add(&mut hash, request.payload.as_bytes());
            }
        }
        let digest: [u8; 32] = hash.finalize().into();
        let (half, _) = digest.split_at(size_of::<u128>());
        Self(half.iter().fold(0, |number, byte| number << 8 | u128::from(*byte)))
    }

    /// As peers write it; `None` for bytes that are none, such as those of a peer that names none.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(|bytes| Self(u128::from_be_bytes(bytes)))
    }

    /// As it is written to peers.
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
pub struct Unreadable;

impl std::error::Error for Unreadable {}

impl std::str::FromStr for Fingerprint {
    type Err = Unreadable;

    fn from_str(text: &str) -> Result<Self, Unreadable> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).ok_or(Unreadable)
    }
}

fn add_message(hash: &mut Sha256, message: &Message) {
    add(hash, message.method.as_bytes());
    add(hash, message.host.to_ascii_lowercase().as_bytes());
    add(hash, message.target.as_bytes());
    add(hash, &message.body);
    for name in CALLER_FIELDS {
        let fields = message.fields.iter();
        let own = fields.filter(|field| field.name.eq_ignore_ascii_case(name));
        own.for_each(|field| {
            add(hash, name.as_bytes());
            add(hash, &field.value);
        });
    }
}

/// Adds a value with its length, so that two values never look like two others.
fn add(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_be_bytes());
    hash.update(bytes);
}
