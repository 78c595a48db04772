//! Stand-in for the platform's store: topics of one partition that lose nothing.

use crate::http::{Request, Response, serve};
use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Records by topic.
#[derive(Debug, Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    appended: Condvar,
}

impl Store {
    pub fn open(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = store.clone();
        serve(listener, move |request| Some(served.answer(&request)));
        store
    }

    /// Writes a record of the operator.
    pub fn put_operator_record(&self, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.append("keyed.op", vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        let end = log.len();
        self.appended.notify_all();
        (offset, end)
    }

    fn answer(&self, request: &Request) -> Response {
        let topic = request.parameter("topic").unwrap_or_default();
        match request.path.as_str() {
            "/v1/log-append" if topic == "keyed.op" => (403, Vec::new()),
            "/v1/log-append" => {
                let (offset, end) = self.append(topic, split_records(&request.body));
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            "/v1/log-read" => self.read(topic, request),
            "/v1/log-newest" => self.newest(topic),
            _ => (404, Vec::new()),
        }
    }

    fn read(&self, topic: &str, request: &Request) -> Response {
        let from = request.number("from") as usize;
        let until = Instant::now() + Duration::from_millis(request.number("waitMs").min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            topics = self.appended.wait_timeout(topics, until - now).unwrap().0;
        }
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let limit = request.number("maxKb").max(1) as usize * 1024;
        let mut page = (log.len() as u64).to_be_bytes().to_vec();
        page.extend(0_u64.to_be_bytes());
        for record in log.iter().skip(from) {
            if page.len() + record.len() > limit {
                break;
            }
            page.extend((record.len() as u32).to_be_bytes());
            page.extend(record);
        }
        (200, page)
    }

    fn newest(&self, topic: &str) -> Response {
        let topics = self.topics.lock().unwrap();
        let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(String::from_utf8_lossy(key).into_owned(), (value, offset));
        }
        let items = newest.into_iter().filter(|(_, (value, _))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), log.len());
        (200, format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes())
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
