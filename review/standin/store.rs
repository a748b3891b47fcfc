//! The platform's store: revisions, watches, transactions without leases that run out.

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

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and text of each event.
    events: Vec<(u64, String)>,
}

impl Content {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let rev = self.revision;
        let event = match value {
            Some(value) => {
                let created = self.items.get(key).map_or(rev, |item| item.created);
                let item = Item {
                    value,
                    rev,
                    created,
                };
                let event = item_json(key, &item);
                self.items.insert(key.to_owned(), item);
                event
            }
            None => {
                self.items.remove(key);
                format!("{{\"tls_key\":\"{key}\",\"rev\":{rev},\"deleted\":true}}")
            }
        };
        self.events.push((rev, event));
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
                "/api/kv-watch" => ("200 OK", self.watch(&query)),
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
        let matching = content.items.iter();
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
            "{{\"items\":[{}],\"has_more\":{has_more},\"timestamp\":{}}}",
            items.join(","),
            content.revision
        )
    }

    fn watch(&self, query: &HashMap<String, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after_rev").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut content = self.shared.0.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let events = content.events.iter().filter(|(rev, _)| *rev > after);
            let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!(
                    "{{\"events\":[{events}],\"timestamp\":{}}}",
                    content.revision
                );
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
