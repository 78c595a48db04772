//! Bodies of the answers to requests that a daemon sends.
//!
//! The other side states how long its answer is, so the size is limited while the body is read. The
//! time is limited by the progress of the body: a long answer on a narrow link may take longer than one
//! that has stalled.

use bytes::{Bytes, BytesMut};
use reqwest::Response;
use std::fmt;
use std::time::Duration;

/// Why the body of an answer could not be read.
#[derive(Debug)]
pub enum AnswerError {
    /// The connection failed before the end of the body.
    Incomplete(reqwest::Error),
    /// The body made no progress for the time allowed.
    Stalled,
    /// The body is larger than the limit.
    TooLarge {
        /// Size limit in bytes.
        limit: usize,
    },
}

impl fmt::Display for AnswerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete(error) => write!(f, "the answer is incomplete: {error}"),
            Self::Stalled => f.write_str("the answer has stalled"),
            Self::TooLarge { limit } => write!(f, "the answer is over the limit of {limit} bytes"),
        }
    }
}

impl std::error::Error for AnswerError {}

/// Reads the body of `response`, at most `limit` bytes, for as long as a part of it arrives within each
/// `stall_timeout`.
///
/// # Errors
/// Fails if the body is larger, stalls or ends early. The rest of it is not read.
pub async fn read_answer(
    mut response: Response,
    limit: usize,
    stall_timeout: Duration,
) -> Result<Bytes, AnswerError> {
    let mut body = BytesMut::new();
    loop {
        let read = tokio::time::timeout(stall_timeout, response.chunk()).await;
        let read = read.map_err(|_| AnswerError::Stalled)?;
        let Some(chunk) = read.map_err(AnswerError::Incomplete)? else { return Ok(body.freeze()) };
        if body.len() + chunk.len() > limit {
            return Err(AnswerError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
}
