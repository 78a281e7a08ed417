//! Stand-ins of the users' platform for the cases of the second review: store, servers and callers,
//! and the instances of the deployed program as separate processes. Uses only the standard library.

use std::collections::{BTreeMap, HashMap};
use std::env;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Whether the disruption takes place; `TROUBLE=0` runs the same without it.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Prints a line; nobody has to read it.
pub fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// What was sent, answered and run, with the time since the start of the record.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), lines: Mutex::default() })
    }

    /// Seconds since the start of the record.
    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: impl Into<String>) {
        let line = (self.at(), text.into());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record to a file, in order of time.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines.iter() {
            let _ = writeln!(text, "{at:9.3} {line}");
        }
        let _ = fs::write(path, text);
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let index = (word >> (18 - 6 * position)) & 63;
            text.push(if position <= chunk.len() { BASE64[index as usize] as char } else { '=' });
        }
    }
    text
}

/// An HTTP message: its first line, its fields with lower-case names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The request's path and query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The response's status; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Reads a message whose body has a length, or none.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut message = Self::default();
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        message.line = line.trim_end().to_owned();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            message.fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = message.field("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

#[derive(Default)]
struct Items {
    revision: u64,
    /// Current items by key, as JSON.
    current: BTreeMap<String, String>,
    /// All changes in their order, as JSON.
    changes: Vec<(u64, String)>,
}

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    pub address: String,
    items: Arc<(Mutex<Items>, Condvar)>,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(&address).expect("a port");
        let items = Items { revision: 10, ..Items::default() };
        let items = Arc::new((Mutex::new(items), Condvar::new()));
        let store = Self { address, items, record: Arc::clone(record) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let item = format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value.as_bytes())
        );
        items.current.insert(key.to_owned(), item.clone());
        items.changes.push((revision, item));
        changed.notify_all();
        self.record.note(format!("store {revision} {key} {value}"));
    }

    pub fn remove(&self, key: &str) {
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.current.remove(key);
        let item = format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
        items.changes.push((revision, item));
        changed.notify_all();
        self.record.note(format!("store {revision} {key} removed"));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader) {
            let body = self.answer(request.target());
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length:";
            let bytes = format!("{head} {}\r\n\r\n{body}", body.len());
            if writer.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> String {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = |name: &str| pairs.get(name).copied().unwrap_or_default();
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap();
        if path == "/v1/kv-range" {
            let prefix = text("prefix");
            let listed = items.current.iter().filter(|(key, _)| key.starts_with(prefix));
            let listed: Vec<&str> = listed.map(|(_, item)| item.as_str()).collect();
            let (listed, revision) = (listed.join(","), items.revision);
            return format!(
                r#"{{"items":[{listed}],"has_more":false,"store_revision":{revision}}}"#
            );
        }
        let after: u64 = text("after").parse().unwrap_or(0);
        let until = Instant::now() + millis(text("wait_ms").parse().unwrap_or(0));
        while items.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            items = changed.wait_timeout(items, left).unwrap().0;
        }
        let events = items.changes.iter().filter(|(revision, _)| *revision > after);
        let events: Vec<&str> = events.map(|(_, item)| item.as_str()).collect();
        format!(r#"{{"events":[{}],"store_revision":{}}}"#, events.join(","), items.revision)
    }
}

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Seconds since the start of the record.
    pub at: f64,
    pub request: String,
    pub target: String,
}

/// What a server does with a request that it runs. `None` closes the connection.
pub type Work = Arc<dyn Fn(&Server, &Message) -> Option<Vec<u8>> + Send + Sync>;

/// One incarnation of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub born: u64,
    pub started: f64,
    pub slots: u32,
    /// How long the server is cold after its start.
    pub warmup_ms: u64,
    /// Whether the server has reported that it leaves.
    draining: Arc<AtomicBool>,
    /// Whether the server writes no more, as its entry is removed.
    has_left: Arc<AtomicBool>,
    pub record: Arc<Record>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    sequence: Arc<AtomicU64>,
    store: Store,
    runs: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    work: Work,
}

/// How a server is started.
#[derive(Clone)]
pub struct ServerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Where the server listens.
    pub address: String,
    pub slots: u32,
    pub warmup_ms: u64,
    /// How far the clock of the server's machine is ahead at the start.
    pub clock_ahead_ms: u64,
    pub work: Work,
}

/// Interval between a server's writes to the store.
pub const HEARTBEAT_MS: u64 = 1200;

impl Server {
    /// Starts a server, which writes its entry at once and then every heartbeat.
    pub fn start(plan: &ServerPlan, store: &Store, record: &Arc<Record>) -> Self {
        let listener = TcpListener::bind(&plan.address).expect("the server's address");
        let address = listener.local_addr().expect("an address").to_string();
        let server = Self {
            id: plan.id.clone(),
            service: plan.service.clone(),
            zone: plan.zone.clone(),
            address,
            born: unix_ms() + plan.clock_ahead_ms,
            started: record.at(),
            slots: plan.slots,
            warmup_ms: plan.warmup_ms,
            draining: Arc::default(),
            has_left: Arc::default(),
            record: Arc::clone(record),
            arrivals: Arc::default(),
            sequence: Arc::default(),
            store: store.clone(),
            runs: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            work: Arc::clone(&plan.work),
        };
        record.note(format!("server {} starts at {}", server.id, server.address));
        listener.set_nonblocking(true).expect("a listener that does not block");
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || {
            while beating.runs() && !beating.has_left.load(Ordering::SeqCst) {
                beating.beat();
                sleep_ms(HEARTBEAT_MS);
            }
        });
        server
    }

    pub fn runs(&self) -> bool {
        self.runs.load(Ordering::SeqCst)
    }

    /// How much longer the server is cold.
    pub fn warmup_left_ms(&self) -> u64 {
        let age_ms = ((self.record.at() - self.started) * 1000.0) as u64;
        // The first entry is written with the start itself.
        if age_ms < 20 { self.warmup_ms } else { self.warmup_ms.saturating_sub(age_ms) }
    }

    /// Reports that the server leaves; returns when the store has acknowledged that.
    pub fn drain(&self) -> f64 {
        self.draining.store(true, Ordering::SeqCst);
        self.beat();
        self.record.at()
    }

    /// The server's entry is removed; the server goes on.
    pub fn leave_store(&self) {
        self.has_left.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
    }

    fn beat(&self) {
        self.store.put(&format!("servers/{}", self.id), &self.entry());
    }

    /// What the server writes about itself now.
    pub fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","warmup_left_ms":{},"sequence":{sequence},"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.warmup_left_ms(),
            self.born
        )
    }

    fn accept(&self, listener: &TcpListener) {
        while self.runs() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(200));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(other) = stream.try_clone() {
                self.connections.lock().unwrap().push(other);
            }
            let server = self.clone();
            thread::spawn(move || server.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader).filter(|_| self.runs()) {
            if request.field("sycamoreladder-expect-instance") != self.id {
                let id = &self.id;
                let head = "HTTP/1.1 421 Misdirected Request\r\nSycamoreladder-Instance-Id:";
                let bytes = format!("{head} {id}\r\nContent-Length: 0\r\n\r\n");
                if writer.write_all(bytes.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let arrival = Arrival {
                at: self.record.at(),
                request: request.field("sycamoreladder-request-id").to_owned(),
                target: request.target().to_owned(),
            };
            self.record.note(format!("run {} {} at {}", arrival.request, arrival.target, self.id));
            self.arrivals.lock().unwrap().push(arrival);
            let Some(bytes) = (self.work)(self, &request).filter(|_| self.runs()) else {
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// A complete response of this server to a request.
    pub fn response(&self, request: &Message, body: &[u8]) -> Vec<u8> {
        static STAMPS: AtomicU64 = AtomicU64::new(0);
        let stamp = STAMPS.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nSycamoreladder-Request-Id: {}\r\nSycamoreladder-Server-Stamp: {}.{stamp}\r\nSycamoreladder-Server-Load: 1,0,{}\r\nContent-Length: {}\r\n\r\n",
            request.field("sycamoreladder-request-id"),
            self.id,
            self.slots,
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    /// The process ends: all connections are reset or closed, and nothing listens any more.
    pub fn crash(&self) {
        if !self.runs.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.note(format!("server {} crashes", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Value of a field of a process's settings, for the template.
#[derive(Clone)]
pub enum Field {
    Text(String),
    List(Vec<String>),
    Table(Vec<(String, String)>),
}

/// Fills in a template of settings as the platform does, as far as `deploy/settings.json` needs it.
pub fn fill_in(template: &str, fields: &HashMap<String, Field>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (tag, after) = after.split_once("}}").expect("the end of a placeholder");
        rest = after;
        let Some(name) = tag.strip_prefix('#') else {
            if let Some(Field::Text(value)) = fields.get(tag) {
                text.push_str(value);
            }
            continue;
        };
        let end = format!("{{{{/{name}}}}}");
        let (inner, after) = after.split_once(&end).expect("the end of a section");
        rest = after;
        let entries: Vec<(String, String)> = match fields.get(name) {
            None => Vec::new(),
            Some(Field::Text(_)) => {
                text.push_str(&fill_in(inner, fields));
                continue;
            }
            Some(Field::List(list)) => {
                list.iter().enumerate().map(|(at, one)| (at.to_string(), one.clone())).collect()
            }
            Some(Field::Table(table)) => table.clone(),
        };
        for (position, (key, value)) in entries.iter().enumerate() {
            let comma = if position + 1 < entries.len() { "," } else { "" };
            let entry = inner.replace("{{@}}", key).replace("{{.}}", value).replace("{{,}}", comma);
            text.push_str(&fill_in(&entry, fields));
        }
    }
    text.push_str(rest);
    text
}

/// A process of the deployed program.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub front: String,
    pub ready: String,
    pub control: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A free loopback address. Its port is outside of the range from which the operating system takes
/// the ports of outgoing connections, so that it stays free while nothing listens there.
pub fn free_address() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..10_000 {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + u64::from(std::process::id()) * 97;
        let address = format!("127.0.0.1:{}", 12_000 + number % 18_000);
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// A small deployment: instances of the deployed program in zones.
pub struct Fleet {
    pub instances: Vec<Instance>,
    folder: PathBuf,
    record: Arc<Record>,
}

impl Fleet {
    /// Starts instances in the given zones (name and region of each) and waits until all are ready.
    /// `bounds` are the deployment's bounds. Returns `None` if they do not start.
    pub fn start(
        zones: &[(&str, &str)],
        placed: &[&str],
        bounds: &[(&str, &str)],
        store: &Store,
        record: &Arc<Record>,
    ) -> Option<Self> {
        let folder = env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder).ok()?;
        let mut fleet = Self { instances: Vec::new(), folder, record: Arc::clone(record) };
        for (position, zone) in placed.iter().enumerate() {
            let name = format!("edge-{zone}-{position}");
            fleet.instances.push(Instance {
                settings: fleet.folder.join(format!("{name}.conf")),
                log: fleet.folder.join(format!("{name}.log")),
                name,
                zone: (*zone).to_owned(),
                front: free_address(),
                ready: free_address(),
                control: free_address(),
                child: None,
            });
        }
        let template = fs::read_to_string("deploy/settings.json").ok()?;
        let seeds: Vec<String> =
            fleet.instances.iter().take(3).map(|one| one.control.clone()).collect();
        let zone_table: Vec<(String, String)> =
            zones.iter().map(|(zone, region)| ((*zone).into(), (*region).into())).collect();
        for instance in &mut fleet.instances {
            let admin = free_address();
            let text = |value: &str| Field::Text(value.to_owned());
            let mut fields: HashMap<String, Field> = HashMap::from([
                ("node_name".to_owned(), text(&instance.name)),
                ("zone".to_owned(), text(&instance.zone)),
                ("limits.cpu_share".to_owned(), text("0.25")),
                ("listen_addrs.front".to_owned(), text(&instance.front)),
                ("listen_addrs.ready".to_owned(), text(&instance.ready)),
                ("listen_addrs.control".to_owned(), text(&instance.control)),
                ("ip".to_owned(), text("127.0.0.1")),
                ("platform.address".to_owned(), text(&store.address)),
                ("zones".to_owned(), Field::Table(zone_table.clone())),
                ("seeds".to_owned(), Field::List(seeds.clone())),
            ]);
            for (name, value) in bounds {
                fields.insert(format!("bounds.{name}"), text(value));
            }
            // All instances run on one machine here, so each needs an operators' port of its own.
            let settings = fill_in(&template, &fields).replace("127.0.0.1:9464", &admin);
            fs::write(&instance.settings, settings).ok()?;
            instance.spawn(record);
        }
        let until = Instant::now() + millis(15_000);
        while !fleet.instances.iter().all(Instance::is_ready) {
            if Instant::now() > until {
                return None;
            }
            sleep_ms(50);
        }
        record.note("all instances are ready");
        Some(fleet)
    }

}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill(&self.record);
        }
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Instance {
    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self, record: &Record) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let child = Command::new("target/release/ladder-platform")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
        record.note(format!("instance {} starts", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(millis(1000)));
        let _ = stream.write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        let mut first = [0; 12];
        stream.read_exact(&mut first).is_ok() && first.ends_with(b"200")
    }

    /// Sends a signal by its name to the process.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str, record: &Record) {
        if let Some(child) = &self.child {
            record.note(format!("instance {} gets {name}", self.name));
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            record.note(format!("instance {} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

}

/// Sends one request on a new connection. The status is 0 if there is no complete answer.
pub fn call(
    front: &str,
    method: &str,
    target: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Option<Message> {
    let mut stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(millis(deadline_ms + 1000)));
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nSycamoreladder-Request-Id: {id}\r\nSycamoreladder-Request-Deadline: {deadline_ms}\r\n"
    );
    if !body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    Message::read(&mut BufReader::new(stream))
}
