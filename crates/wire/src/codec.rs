//! MessagePack with size limits.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// Largest message between daemons, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Largest record that a stream of ours holds, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Why bytes could not be decoded or a value not encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are more than the limit.
    TooLarge {
        /// Limit in bytes.
        limit: usize,
        /// Size met.
        size: usize,
    },
    /// The bytes are not of the expected form.
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

/// Bytes of `value`, with field names.
///
/// # Errors
/// Fails where the value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(value).map_err(|e| CodecError::Malformed(e.to_string()))
}

/// Value from at most `limit` bytes.
///
/// # Errors
/// Fails where the bytes are too many or not of the form of `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, CodecError> {
    if bytes.len() > limit {
        return Err(CodecError::TooLarge { limit, size: bytes.len() });
    }
    rmp_serde::from_slice(bytes).map_err(|e| CodecError::Malformed(e.to_string()))
}
