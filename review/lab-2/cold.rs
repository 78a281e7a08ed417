//! A server that is still cold after its start crashes once and starts again under its id.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::lab::{Fleet, Record, Server, ServerPlan, Store, call, free_address, has_trouble, say, sleep_ms};

/// How long a server is cold, in seconds; `warmup_s` of the site.
const WARMUP_S: f64 = 3.0;
/// Requests a second that a cold server tolerates.
const WARMUP_PER_S: f64 = 4.0;
/// `warmup_overshoot` and `warmup_slack` of the site.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Most requests that a cold server may get in one second.
const LIMIT: usize = (WARMUP_PER_S * OVERSHOOT + SLACK) as usize;
/// A cold server crashes at a rate well above the one it tolerates: here twice the rule's bound.
const CRASH_RATE: usize = 2 * LIMIT;
/// Time from the start of the server to its crash: before its second write to the store.
const CRASH_AFTER_MS: u64 = 900;
/// Time from a crash to the next start.
const DOWN_MS: u64 = 2000;
const CALLERS: u64 = 24;

fn plan(id: &str, zone: &str, warmup_ms: u64) -> ServerPlan {
    let work = |server: &Server, request: &crate::lab::Message| {
        let is_cold = server.warmup_left_ms() > 0;
        let now = server.record.at();
        let arrivals = server.arrivals.lock().unwrap();
        let recent = arrivals.iter().rev().take_while(|arrival| arrival.at > now - 1.0).count();
        drop(arrivals);
        if is_cold && recent > CRASH_RATE {
            server.crash();
            return None;
        }
        sleep_ms(if is_cold { 32 } else { 20 });
        Some(server.response(request, b"permit"))
    };
    ServerPlan {
        id: id.to_owned(),
        service: "permits".to_owned(),
        zone: zone.to_owned(),
        address: free_address(),
        slots: 6,
        warmup_ms,
        clock_ahead_ms: 0,
        work: Arc::new(work),
    }
}

/// Most requests that arrived at a server within one second while it was cold.
fn most_in_a_second(server: &Server) -> usize {
    let until = server.started + WARMUP_S;
    let arrivals = server.arrivals.lock().unwrap();
    let times: Vec<f64> = arrivals.iter().map(|one| one.at).filter(|at| *at < until).collect();
    let counts = times.iter().map(|from| {
        times.iter().filter(|at| **at >= *from && **at < from + 1.0).count()
    });
    counts.max().unwrap_or(0)
}

pub fn run(record: &Arc<Record>) -> Option<bool> {
    let store = Store::start(record);
    let warm = [plan("i-warm-1", "ansan-a", 0), plan("i-warm-2", "hwaseong-b", 0)];
    let warm: Vec<Server> = warm.iter().map(|plan| Server::start(plan, &store, record)).collect();
    store.put("op/config", &format!(
        r#"{{"version":1,"routes":[{{"name":"permit","host":"shop.example","prefix":"/permit/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"permits","max_attempts":2}}],"services":[{{"name":"permits","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":{WARMUP_S:?},"warmup_per_s":{WARMUP_PER_S:?}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    ));
    let zones = [("ansan-a", "gyeonggi"), ("hwaseong-b", "gyeonggi"), ("siheung-c", "gyeonggi")];
    let placed =
        ["ansan-a", "hwaseong-b", "siheung-c", "ansan-a", "hwaseong-b", "siheung-c", "ansan-a"];
    let (overshoot, slack) = (OVERSHOOT.to_string(), SLACK.to_string());
    let bounds = [
        ("retry_budget_ratio", "0.2"),
        ("retry_budget_slack", "54"),
        ("budget_window_s", "10"),
        ("warmup_overshoot", &*overshoot),
        ("warmup_slack", &*slack),
        ("grace_s", "6"),
        ("contact_ms", "5000"),
    ];
    let fleet = Fleet::start(&zones, &placed, &bounds, &store, record)?;
    let fronts: Vec<String> = fleet.instances.iter().map(|one| one.front.clone()).collect();
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = fronts[caller as usize % fronts.len()].clone();
            let (ends, served, record) = (Arc::clone(&ends), Arc::clone(&served), Arc::clone(record));
            thread::spawn(move || {
                for number in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{caller:04x}{number:012x}");
                    let answer = call(&front, "GET", &format!("/permit/{number}"), &id, 2000, b"");
                    let status = answer.map_or(0, |answer| answer.status());
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    record.note(format!("answer {id} {status}"));
                    sleep_ms(50);
                }
            })
        })
        .collect();
    // By now each instance knows the others, and shares the requests of cold servers out.
    sleep_ms(6000);
    let lives: Arc<Mutex<Vec<Server>>> = Arc::default();
    let mut cold = plan("i-cold", "siheung-c", (WARMUP_S * 1000.0) as u64);
    let first = Server::start(&cold, &store, record);
    cold.address = first.address.clone();
    lives.lock().unwrap().push(first.clone());
    if has_trouble() {
        sleep_ms(CRASH_AFTER_MS);
        first.crash();
    }
    // Whatever ends the server, it starts again under its id.
    for _ in 0..140 {
        sleep_ms(100);
        let last = lives.lock().unwrap().last().cloned()?;
        if !last.runs() {
            sleep_ms(DOWN_MS - 100);
            lives.lock().unwrap().push(Server::start(&cold, &store, record));
        }
    }
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let mut most = 0;
    for (number, life) in lives.lock().unwrap().iter().enumerate() {
        let count = most_in_a_second(life);
        let ended = if life.runs() { "runs on" } else { "crashed" };
        record.note(format!(
            "start {number} of i-cold at {:.3}: at most {count} requests in one second while cold, allowed {LIMIT}; {ended}",
            life.started
        ));
        most = most.max(count);
        life.crash();
    }
    warm.iter().for_each(Server::crash);
    let starts = lives.lock().unwrap().len();
    let served = served.load(Ordering::SeqCst);
    record.note(format!("{starts} starts, most {most} in a second, {served} requests served"));
    say(&format!("{starts} starts, most {most} in a second, allowed {LIMIT}, {served} served"));
    // Without traffic the case shows nothing.
    (served > 200).then_some(most > LIMIT)
}
