//! Stand-in for the platform's store: topics with one partition, and the newest record of each key of
//! the topics whose name begins with `keyed.`.

use crate::http::{self, Request, Response};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Topic of the operator's records.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Store that serves from threads of its own.
#[derive(Debug, Clone)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
    pub address: SocketAddr,
    record: Arc<Record>,
}

impl Store {
    pub fn start(listener: TcpListener, record: Arc<Record>) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let store = Self { topics: Arc::default(), address, record };
        let served = store.clone();
        http::serve(listener, Arc::new(move |request| Some(served.answer(request))));
        store
    }

    /// Writes the operator's record `key`, as its interface does; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let mut bytes = vec![u8::try_from(key.len()).expect("keys are short")];
        bytes.extend_from_slice(key.as_bytes());
        bytes.extend_from_slice(value.as_bytes());
        let offset = self.append(OPERATOR_TOPIC, vec![bytes]);
        self.record.line(&format!("operator: op/{key} confirmed at offset {offset}"));
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> usize {
        let mut topics = self.topics.0.lock().expect("no writer panics");
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        self.topics.1.notify_all();
        offset
    }

    fn answer(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/log-append") => self.answer_append(topic, &request.body),
            ("GET", "/v1/log-read") => self.answer_read(topic, request),
            ("GET", "/v1/log-newest") => self.answer_newest(topic),
            _ => Response::json(404, "{}"),
        }
    }

    fn answer_append(&self, topic: &str, mut body: &[u8]) -> Response {
        let mut records = Vec::new();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            let Some((record, rest)) = rest.split_at_checked(length) else {
                return Response::json(400, "{}");
            };
            records.push(record.to_vec());
            body = rest;
        }
        let count = records.len();
        let offset = self.append(topic, records);
        Response::json(200, &format!("{{\"offset\":{offset},\"end\":{}}}", offset + count))
    }

    fn answer_read(&self, topic: &str, request: &Request) -> Response {
        let number = |name| request.parameter(name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let max_bytes = number("maxKb").unwrap_or(1024) << 10;
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
        let mut topics = self.topics.0.lock().expect("no writer panics");
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.topics.1.wait_timeout(topics, left);
            topics = waited.expect("no writer panics").0;
        }
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in log.iter().skip(from) {
            if body.len() > 16 && body.len() + record.len() > max_bytes {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Response { status: 200, body }
    }

    fn answer_newest(&self, topic: &str) -> Response {
        let topics = self.topics.0.lock().expect("no writer panics");
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else { continue };
            let (key, value) = rest.split_at(usize::from(*length));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = log.len();
        Response::json(200, &format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let letter = LETTERS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    text
}
