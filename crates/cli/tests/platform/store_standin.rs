//! Stand-in for the platform's metadata store: topics of one partition, and the newest record of
//! each key.

use crate::http_server::{HttpRequest, HttpResponse, HttpService};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Topic of the operator's records, to which the system may not write.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Longest wait of a read for the next record.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Size of the length that precedes each record, in bytes.
const LENGTH_BYTES: usize = 4;
const KIB: usize = 1024;

/// Log with topics, each with the partition 0 only.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    topics: Mutex<HashMap<String, Vec<Bytes>>>,
    /// Number of appends so far.
    appends: watch::Sender<u64>,
}

impl StoreStandIn {
    /// Writes a record of the operator.
    pub fn put_operator_record(&self, key: &str, value: &Value) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        record.extend(value.to_string().as_bytes());
        self.append(OPERATOR_TOPIC, vec![record.into()]);
    }

    /// Drops a record of the operator.
    pub fn drop_operator_record(&self, key: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend(key.as_bytes());
        self.append(OPERATOR_TOPIC, vec![record.into()]);
    }

    fn topics(&self) -> MutexGuard<'_, HashMap<String, Vec<Bytes>>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends records and returns the offset of the first one and the new end.
    fn append(&self, topic: &str, records: Vec<Bytes>) -> (usize, usize) {
        let mut topics = self.topics();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        drop(topics);
        self.appends.send_modify(|count| *count += 1);
        (offset, end)
    }

    fn end(&self, topic: &str) -> usize {
        self.topics().get(topic).map_or(0, Vec::len)
    }

    fn handle_append(&self, topic: &str, body: Vec<u8>) -> HttpResponse {
        if topic == OPERATOR_TOPIC {
            return HttpResponse::empty(403);
        }
        let Some(records) = split_records(body.into()) else { return HttpResponse::empty(400) };
        let (offset, end) = self.append(topic, records);
        HttpResponse::json(200, &json!({ "offset": offset, "end": end }))
    }

    /// Waits for a record at or above the offset `from`, and returns the page that begins there.
    async fn handle_read(&self, topic: &str, request: &HttpRequest) -> HttpResponse {
        let from = request.query_number("from") as usize;
        let wait = Duration::from_millis(request.query_number("waitMs")).min(MAX_WAIT);
        let mut appends = self.appends.subscribe();
        let is_reached =
            async { while self.end(topic) <= from && appends.changed().await.is_ok() {} };
        let _ = tokio::time::timeout(wait, is_reached).await;
        let max_bytes = request.query_number("maxKb").max(1) as usize * KIB;
        HttpResponse { status: 200, body: self.page(topic, from, max_bytes) }
    }

    fn page(&self, topic: &str, from: usize, max_bytes: usize) -> Vec<u8> {
        let topics = self.topics();
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut page = Vec::new();
        page.put_u64(log.len() as u64);
        page.put_u64(0);
        for record in log.iter().skip(from) {
            if page.len() + record.len() > max_bytes {
                break;
            }
            page.put_u32(u32::try_from(record.len()).expect("a small record"));
            page.put_slice(record);
        }
        page
    }

    /// Newest record of each key; all fit into one page.
    fn newest(&self, topic: &str) -> HttpResponse {
        let topics = self.topics();
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
        }
        let items = newest.into_iter().map(|(key, (value, offset))| {
            json!({ "key": key, "value": STANDARD.encode(value), "offset": offset })
        });
        let items: Vec<Value> = items.collect();
        HttpResponse::json(200, &json!({ "items": items, "hasMore": false, "end": log.len() }))
    }
}

/// Splits the body of an append into its records; `None` if the last one is truncated.
fn split_records(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        let length = if body.len() < LENGTH_BYTES { return None } else { body.get_u32() as usize };
        records.push(if body.len() < length { return None } else { body.split_to(length) });
    }
    Some(records)
}

impl HttpService for StoreStandIn {
    async fn answer(self: Arc<Self>, request: HttpRequest) -> Option<HttpResponse> {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        Some(match request.path.as_str() {
            "/v1/log-append" => self.handle_append(&topic, request.body),
            "/v1/log-read" => self.handle_read(&topic, &request).await,
            "/v1/log-newest" => self.newest(&topic),
            _ => HttpResponse::empty(404),
        })
    }
}
