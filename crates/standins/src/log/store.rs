//! Record storage and fault injection of the log stand-in.

use bytes::Bytes;
use error_stack::Report;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parsleyspool_core::id::Offset;
use parsleyspool_daemon::error::DaemonError;
use parsleyspool_daemon::interfaces::{LogPage, LogStore};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Faults to inject; the default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether the log is unavailable: every append and read fails.
    #[serde(rename = "is_away")]
    pub is_unavailable: bool,
    /// Whether appends take effect but return an error.
    pub loses_answers: bool,
    /// Time added to each append and read.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct StreamRecords {
    earliest: Offset,
    records: VecDeque<(Instant, Bytes)>,
}

impl StreamRecords {
    fn end(&self) -> Offset {
        self.earliest + self.records.len() as Offset
    }

    fn expire(&mut self, retention: Duration) {
        let now = Instant::now();
        while self.records.front().is_some_and(|(at, _)| now.duration_since(*at) > retention) {
            self.records.pop_front();
            self.earliest += 1;
        }
    }

    fn page(&self, from: Offset, limit: usize) -> LogPage {
        let skip = usize::try_from(from.saturating_sub(self.earliest)).unwrap_or(usize::MAX);
        let first = self.earliest.max(from);
        let records = self.records.iter().skip(skip).take(limit).zip(first..);
        LogPage {
            earliest: self.earliest,
            end: self.end(),
            records: records.map(|((_, bytes), offset)| (offset, bytes.clone())).collect(),
        }
    }
}

#[derive(Debug, Default)]
struct StoreState {
    streams: HashMap<String, StreamRecords>,
    faults: LogFaults,
    file: Option<File>,
    append_count: u64,
}

/// Records of all streams, in memory and optionally in a file.
#[derive(Debug)]
pub struct LogStreams {
    state: Mutex<StoreState>,
    retention: Duration,
    appended: Notify,
}

impl LogStreams {
    /// Creates empty streams in memory. Records expire after `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { state: Mutex::new(StoreState::default()), retention, appended: Notify::new() }
    }

    /// Loads the records from the file at `path`, creating it if necessary, and writes later
    /// appends to it. Loaded records expire as if they had been appended now.
    ///
    /// # Errors
    /// Fails if the file cannot be read or opened.
    pub fn with_file(self, path: &Path) -> std::io::Result<Self> {
        let mut bytes = Vec::new();
        if path.exists() {
            File::open(path)?.read_to_end(&mut bytes)?;
        }
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        {
            let mut state = self.state();
            let mut rest = bytes.as_slice();
            while let Some((stream, record, after)) = decode_frame(rest) {
                let records = state.streams.entry(stream).or_default();
                records.records.push_back((Instant::now(), record));
                rest = after;
            }
            state.file = Some(file);
        }
        Ok(self)
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Faults that are currently injected.
    pub fn faults(&self) -> LogFaults {
        self.state().faults
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state().faults = faults;
    }

    /// Number of appends that took effect since the process started.
    pub fn append_count(&self) -> u64 {
        self.state().append_count
    }

    /// Drops the records of `stream` with offsets below `offset`, as if they had expired.
    pub fn trim(&self, stream: &str, offset: Offset) {
        let mut state = self.state();
        let Some(records) = state.streams.get_mut(stream) else { return };
        while records.earliest < offset && records.records.pop_front().is_some() {
            records.earliest += 1;
        }
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// Fails if the log is unavailable, if the file cannot be written, or if the answer is lost. In
    /// the last case the record has been appended.
    pub async fn append(&self, stream: &str, record: Bytes) -> Result<Offset, &'static str> {
        let faults = self.faults();
        tokio::time::sleep(faults.delay).await;
        if faults.is_unavailable {
            return Err("the log is away");
        }
        let offset = {
            let mut state = self.state();
            if let Some(file) = &mut state.file {
                file.write_all(&encode_frame(stream, &record)).map_err(|_| "the file is full")?;
            }
            state.append_count += 1;
            let records = state.streams.entry(stream.to_owned()).or_default();
            records.records.push_back((Instant::now(), record));
            records.end() - 1
        };
        self.appended.notify_waiters();
        if faults.loses_answers {
            return Err("the answer was lost");
        }
        Ok(offset)
    }

    /// Reads at most `limit` records, starting at the offset `from`; if there are none, waits up to
    /// `wait` for one.
    ///
    /// # Errors
    /// Fails if the log is or becomes unavailable.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage, &'static str> {
        tokio::time::sleep(self.faults().delay).await;
        let until = Instant::now() + wait;
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            if self.faults().is_unavailable {
                return Err("the log is away");
            }
            let page = self.page(stream, from, limit);
            if !page.records.is_empty() || Instant::now() >= until {
                return Ok(page);
            }
            let _ = tokio::time::timeout_at(until, appended).await;
        }
    }

    fn page(&self, stream: &str, from: Offset, limit: usize) -> LogPage {
        let mut state = self.state();
        let records = state.streams.entry(stream.to_owned()).or_default();
        records.expire(self.retention);
        records.page(from, limit)
    }
}

/// Encodes a record for the file: the lengths of the stream name and the record as little-endian
/// `u32`, followed by both.
fn encode_frame(stream: &str, record: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(8 + stream.len() + record.len());
    frame.extend_from_slice(&(stream.len() as u32).to_le_bytes());
    frame.extend_from_slice(&(record.len() as u32).to_le_bytes());
    frame.extend_from_slice(stream.as_bytes());
    frame.extend_from_slice(record);
    frame
}

/// Decodes the first frame of `bytes` and returns it with the remaining bytes; `None` if the frame
/// is incomplete. A crash during a write can leave an incomplete frame at the end of the file.
fn decode_frame(bytes: &[u8]) -> Option<(String, Bytes, &[u8])> {
    let length = |at: usize| {
        let field = bytes.get(at..at + 4)?;
        Some(u32::from_le_bytes(field.try_into().ok()?) as usize)
    };
    let (stream_length, record_length) = (length(0)?, length(4)?);
    let stream = String::from_utf8(bytes.get(8..8 + stream_length)?.to_vec()).ok()?;
    let record =
        Bytes::copy_from_slice(bytes.get(8 + stream_length..8 + stream_length + record_length)?);
    Some((stream, record, &bytes[8 + stream_length + record_length..]))
}

/// Access to a [`LogStreams`] without a socket, for daemons in the same process.
#[derive(Debug, Clone)]
pub struct MemoryLog {
    streams: Arc<LogStreams>,
}

impl MemoryLog {
    /// Creates a log that reads and writes `streams`.
    pub fn new(streams: Arc<LogStreams>) -> Self {
        Self { streams }
    }
}

impl LogStore for MemoryLog {
    fn append(
        &self,
        stream: &'static str,
        record: Bytes,
    ) -> BoxFuture<'_, Result<Offset, Report<DaemonError>>> {
        let result = self.streams.append(stream, record);
        result
            .map(|result| result.map_err(|text| Report::new(DaemonError::Log).attach(text)))
            .boxed()
    }

    fn read(
        &self,
        stream: &'static str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> BoxFuture<'_, Result<LogPage, Report<DaemonError>>> {
        let result = self.streams.read(stream, from, limit, wait);
        result
            .map(|result| result.map_err(|text| Report::new(DaemonError::Log).attach(text)))
            .boxed()
    }
}
