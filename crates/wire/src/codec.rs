//! MessagePack encoding and decoding with size limits.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Largest message between daemons, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Largest record in a stream of the log, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Deepest nesting of a decoded value, which bounds the stack that decoding needs; no message or record
/// has a tenth of it.
const MAX_DEPTH: usize = 128;

/// Why encoding or decoding failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The encoded message is larger than the limit.
    TooLarge {
        /// Size limit in bytes.
        limit: usize,
        /// Size of the message in bytes.
        size: usize,
    },
    /// The bytes do not have the expected format, or the value cannot be encoded.
    Malformed(String),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit, size } => {
                write!(f, "message of {size} bytes is over the limit of {limit} bytes")
            }
            Self::Malformed(text) => write!(f, "malformed message: {text}"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes `value`; a struct becomes a map with its field names as keys.
///
/// # Errors
/// Fails if the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|e| CodecError::Malformed(e.to_string()))
}

/// Decodes a value from `bytes`, which may be at most `limit` bytes long.
///
/// # Errors
/// Fails if there are more than `limit` bytes, or if they are not an encoded `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, CodecError> {
    if bytes.len() > limit {
        return Err(CodecError::TooLarge { limit, size: bytes.len() });
    }
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    decoder.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut decoder).map_err(|e| CodecError::Malformed(e.to_string()))
}
