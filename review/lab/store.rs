//! Stand-in for the platform's store: listings, watches and the items that a case writes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Host of all routes.
pub const HOST: &str = "pupu76.example";

#[derive(Default)]
struct Items {
    revision: u64,
    /// Items by key, as JSON.
    current: BTreeMap<String, String>,
    /// All changes: key, revision, JSON.
    changes: Vec<(String, u64, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: String,
    items: Arc<(Mutex<Items>, Condvar)>,
    /// Number of times that all waiting watches have been cut.
    cuts: Arc<AtomicU64>,
    /// Number of watches that wait now.
    waiting: Arc<AtomicU64>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let items = Items { revision: 1, ..Items::default() };
        let store = Self {
            address,
            items: Arc::new((Mutex::new(items), Condvar::new())),
            cuts: Arc::default(),
            waiting: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; on return the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) {
        let (items, changed) = &*self.items;
        let mut items = items.lock().expect("items");
        items.revision += 1;
        let revision = items.revision;
        let value = base64(value.as_bytes());
        let json = format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
        );
        items.current.insert(key.to_owned(), json.clone());
        items.changes.push((key.to_owned(), revision, json));
        changed.notify_all();
    }

    /// Removes an item; on return the store has acknowledged it.
    pub fn remove(&self, key: &str) {
        let (items, changed) = &*self.items;
        let mut items = items.lock().expect("items");
        items.revision += 1;
        let revision = items.revision;
        items.current.remove(key);
        let json = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
        items.changes.push((key.to_owned(), revision, json));
        changed.notify_all();
    }

    /// Number of watches that wait for changes.
    pub fn waiting_watches(&self) -> u64 {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Cuts all watches that are waiting.
    pub fn cut_watches(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.items.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(request) = http::read(&mut reader) {
            let body = match request.second_word().split('?').next() {
                Some("/v1/kv-range") => Some(self.list(&request)),
                Some("/v1/kv-watch") => {
                    self.waiting.fetch_add(1, Ordering::SeqCst);
                    let answer = self.watch(&request);
                    self.waiting.fetch_sub(1, Ordering::SeqCst);
                    answer
                }
                _ => None,
            };
            let Some(body) = body else { return };
            let fields = "Content-Type: application/json\r\n";
            if stream.write_all(&http::response("200 OK", fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn list(&self, request: &http::Message) -> String {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let items = self.items.0.lock().expect("items");
        let listed = items.current.iter();
        let listed = listed.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let listed: Vec<&str> = listed.map(|(_, json)| json.as_str()).collect();
        let (listed, revision) = (listed.join(","), items.revision);
        format!(r#"{{"items":[{listed}],"has_more":false,"store_revision":{revision}}}"#)
    }

    /// Waits for changes; `None` if the watch is cut while it waits.
    fn watch(&self, request: &http::Message) -> Option<String> {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let cuts = self.cuts.load(Ordering::SeqCst);
        let mut items = self.items.0.lock().expect("items");
        loop {
            let is_new = |(key, revision, _): &&(String, u64, String)| {
                *revision > after && key.starts_with(prefix)
            };
            let events: Vec<&str> =
                items.changes.iter().filter(is_new).map(|(_, _, json)| json.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, revision) = (events.join(","), items.revision);
                return Some(format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
            }
            if self.cuts.load(Ordering::SeqCst) != cuts {
                return None;
            }
            items = self.items.1.wait_timeout(items, end - now).expect("items").0;
        }
    }
}

/// A route of the configuration, as JSON; `kind` is its route type.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u32, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":400,"priority":2,"service":"{service}","max_attempts":2}}"#
    )
}

/// A configuration, as JSON.
pub fn configuration(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","health_check_path":"/health","max_connections":26,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(group >> (18 - 6 * digit) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
