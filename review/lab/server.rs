//! Stand-in for a server: slots, a short queue, refusals when it is full, and the faults of the
//! pages that a case asks for.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::random::Random;
use crate::record::Record;

/// What a server does.
#[derive(Clone)]
pub struct Conduct {
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Shortest and longest time of work.
    pub work_ms: (f64, f64),
    pub body: Vec<u8>,
    /// Share of its answers that a garbling server sends a second time, late.
    pub garbled_share: f64,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

pub struct Server {
    pub id: String,
    pub conduct: Conduct,
    pub address: String,
    record: Arc<Record>,
    load: (Mutex<Load>, Condvar),
    random: Mutex<Random>,
    /// Whether some of its answers are followed by a second one, late.
    pub is_garbling: AtomicBool,
    pub answers: AtomicUsize,
    pub garbled: AtomicUsize,
    /// Requests that began to run: id and time.
    pub runs: Mutex<Vec<(String, f64)>>,
}

impl Server {
    pub fn start(id: &str, conduct: Conduct, record: &Arc<Record>, seed: u64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            conduct,
            address: listener.local_addr().expect("an address").to_string(),
            record: Arc::clone(record),
            load: Default::default(),
            random: Mutex::new(Random::new(seed)),
            is_garbling: AtomicBool::new(false),
            answers: AtomicUsize::new(0),
            garbled: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&serving);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// The entry that the server writes in the platform's store.
    pub fn entry(&self) -> String {
        let Conduct { service, zone, slots, .. } = &self.conduct;
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","warmup_left_ms":0,"sequence":1}}"#,
            self.address
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn fraction(&self) -> f64 {
        self.random.lock().expect("random").fraction()
    }

    /// Serves the requests of a connection, one at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        // The second answer to the request before, which a garbling server sends late: at the
        // point where the next response is expected.
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader) {
            if let Some(bytes) = late.take()
                && stream.write_all(&bytes).is_err()
            {
                return;
            }
            let bytes = self.answer(&request);
            if stream.write_all(&bytes).is_err() {
                return;
            }
            self.answers.fetch_add(1, Ordering::Relaxed);
            if self.is_garbling.load(Ordering::Relaxed)
                && self.fraction() < self.conduct.garbled_share
            {
                self.garbled.fetch_add(1, Ordering::Relaxed);
                late = Some(bytes);
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let id = request.field("sycamoreladder-request-id");
        if request.second_word() == "/health" {
            let fields = format!("Sycamoreladder-Instance-Id: {}\r\n", self.id);
            return http::response("200 OK", &fields, b"");
        }
        if request.field("sycamoreladder-expect-instance") != self.id {
            let fields = format!("Sycamoreladder-Instance-Id: {}\r\n", self.id);
            return http::response("421 Misdirected Request", &fields, b"");
        }
        if !self.enter() {
            self.record.note(&format!("{} refused {id}", self.id));
            let fields = format!(
                "Sycamoreladder-Not-Executed: 1\r\nSycamoreladder-Request-Id: {id}\r\n{}",
                self.load_field()
            );
            return http::response("503 Service Unavailable", &fields, b"");
        }
        self.runs.lock().expect("runs").push((id.to_owned(), self.record.now()));
        self.record.note(&format!("{} runs {id}", self.id));
        let (shortest, longest) = self.conduct.work_ms;
        let work_ms = shortest + (longest - shortest) * self.fraction();
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        self.leave();
        let fields = format!(
            "Sycamoreladder-Request-Id: {id}\r\nSycamoreladder-Server-Stamp: {}.{id}\r\n{}",
            self.id,
            self.load_field()
        );
        http::response("200 OK", &fields, &self.conduct.body)
    }

    /// Waits for a slot; `false` if the queue is full.
    fn enter(&self) -> bool {
        let (load, changed) = &self.load;
        let mut load = load.lock().expect("load");
        let (slots, queue) = (self.conduct.slots, self.conduct.queue);
        if load.running + load.waiting >= slots + queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= slots {
            load = changed.wait(load).expect("load");
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn leave(&self) {
        self.load.0.lock().expect("load").running -= 1;
        self.load.1.notify_one();
    }

    fn load_field(&self) -> String {
        let load = self.load.0.lock().expect("load");
        let slots = self.conduct.slots;
        format!("Sycamoreladder-Server-Load: {},{},{slots}\r\n", load.running, load.waiting)
    }
}
