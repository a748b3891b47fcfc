//! The platform's store: revisions, watches with a bounded history, reads that may be old, and
//! transactions without leases that run out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::json::Json;
use crate::json::base64;

/// Items of one page at most.
const PAGE_ITEMS: usize = 500;
/// For how long events are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: Arc<str>,
    rev: u64,
    created: u64,
}

type Items = BTreeMap<String, Item>;

#[derive(Default)]
struct Content {
    revision: u64,
    items: Items,
    /// Events of the last [`HISTORY`], oldest first.
    events: Vec<Event>,
    /// Revision up to which events were forgotten.
    forgotten: u64,
    /// Content after each change, oldest first, for reads that may be old.
    versions: Vec<(Instant, u64, Items)>,
    /// How old the content of such reads is.
    staleness: Duration,
}

struct Event {
    at: Instant,
    rev: u64,
    text: String,
}

impl Content {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let rev = self.revision;
        let text = match value {
            Some(value) => {
                let created = self.items.get(key).map_or(rev, |item| item.created);
                let value = value.into();
                let item = Item {
                    value,
                    rev,
                    created,
                };
                let text = item_json(key, &item);
                self.items.insert(key.to_owned(), item);
                text
            }
            None => {
                self.items.remove(key);
                format!("{{\"tls_key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}")
            }
        };
        let at = Instant::now();
        self.events.push(Event { at, rev, text });
        self.versions.push((at, rev, self.items.clone()));
    }

    /// Forgets events that are older than the history.
    fn forget(&mut self) {
        let old = self
            .events
            .partition_point(|event| event.at.elapsed() > HISTORY);
        if let Some(last) = self.events.drain(..old).last() {
            self.forgotten = last.rev;
        }
    }

    /// Revision and items for a read that may be old.
    fn old(&self) -> (u64, &Items) {
        let is_old = |at: &Instant| at.elapsed() >= self.staleness;
        let known = self.versions.partition_point(|(at, ..)| is_old(at));
        match known.checked_sub(1) {
            Some(last) => (self.versions[last].1, &self.versions[last].2),
            None => (self.revision, &self.items),
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        rev,
        created,
    } = item;
    format!(
        "{{\"tls_key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\"lease\":0}}"
    )
}

/// Handle to a store; clones share its content.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value as the operator or a server does.
    pub fn put(&self, key: &str, text: &str) {
        self.change(|content| content.write(key, Some(base64(text))));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(|content| content.write(key, None));
    }

    /// Reads that may be old return the content of this long ago from now on.
    pub fn set_staleness(&self, staleness: Duration) {
        self.shared.0.lock().unwrap().staleness = staleness;
    }

    fn change(&self, f: impl FnOnce(&mut Content)) {
        f(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut connection = Connection::new(stream);
        while let Some(head) = connection.read_head().ok()? {
            let len = head
                .header("content-length")
                .and_then(|text| text.parse().ok());
            let body = connection
                .read_body(len.unwrap_or(0), 64 << 10, || ())
                .ok()?;
            let (path, query) = head
                .second_word()
                .split_once('?')
                .unwrap_or((head.second_word(), ""));
            let query = parse_query(query);
            let (status, answer) = match path {
                "/api/kv-range" => ("200 OK", self.range(&query)),
                "/api/kv-watch" => self.watch(&query),
                "/api/kv-txn" => self.transact(&String::from_utf8_lossy(&body)),
                "/api/kv-lease" => ("200 OK", "{\"lease\":7,\"ttl_ms\":600000}".to_owned()),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            connection
                .write_message(&format!("HTTP/1.1 {status}"), &headers, &answer)
                .ok()?;
        }
        Some(())
    }

    fn range(&self, query: &HashMap<String, String>) -> String {
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        let after = query.get("after_rev").map_or("", String::as_str);
        let content = self.shared.0.lock().unwrap();
        let (revision, items) = match query.contains_key("stale_ok") {
            true => content.old(),
            false => (content.revision, &content.items),
        };
        let matching = items.iter();
        let mut matching: Vec<_> = matching
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let has_more = matching.len() > PAGE_ITEMS;
        matching.truncate(PAGE_ITEMS);
        let items: Vec<String> = matching
            .into_iter()
            .map(|(key, item)| item_json(key, item))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"timestamp\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, query: &HashMap<String, String>) -> (&'static str, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after_rev").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut content = self.shared.0.lock().unwrap();
        loop {
            content.forget();
            if after < content.forgotten || after > content.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let left = until.saturating_duration_since(Instant::now());
            let events = content.events.iter().filter(|event| event.rev > after);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                let answer = format!("{{\"events\":[{events}],\"timestamp\":{revision}}}");
                return ("200 OK", answer);
            }
            content = self.shared.1.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name: &str| body.get(name).map_or(&[][..], Json::items).to_vec();
        let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
        let mut content = self.shared.0.lock().unwrap();
        let is_expected = |row: &Json| {
            let item = content.items.get(&text(row, "tls_key"));
            item.map_or(0, |item| item.rev) == row.get("rev").map_or(0, Json::integer)
        };
        if !list("expected_rev").iter().all(is_expected) {
            return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
        }
        for row in list("writes") {
            content.write(&text(&row, "tls_key"), Some(text(&row, "value")));
        }
        for key in list("remove") {
            content.write(key.text(), None);
        }
        let rev = content.revision;
        drop(content);
        self.shared.1.notify_all();
        ("200 OK", format!("{{\"rev\":{rev}}}"))
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
