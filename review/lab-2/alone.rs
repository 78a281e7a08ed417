//! All machines lose power; those that come back first cannot reach the seeds, which come back later.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

use crate::lab::{Fleet, Message, Record, Server, ServerPlan, Store, call, free_address, has_trouble, say, sleep_ms};

/// How long a server is cold, in seconds; `warmup_s` of the site.
const WARMUP_S: f64 = 3.0;
/// Requests a second that a cold server tolerates.
const WARMUP_PER_S: f64 = 4.0;
/// `warmup_overshoot` and `warmup_slack` of the site.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Most requests that a cold server may get in one second.
const LIMIT: usize = (WARMUP_PER_S * OVERSHOOT + SLACK) as usize;
/// Instances that the settings name as seeds.
const SEEDS: usize = 3;
/// Time for which the machines that are no seeds are down.
const DOWN_MS: u64 = 500;
/// Time for which the seeds are down, in all.
const SEEDS_DOWN_MS: u64 = 5000;
/// Time from the return of the first machines to the start of the new server.
const RETURNED_MS: u64 = 3800;
const CALLERS: u64 = 72;

fn plan(id: &str, zone: &str, warmup_ms: u64) -> ServerPlan {
    let work = |server: &Server, request: &Message| {
        sleep_ms(if server.warmup_left_ms() > 0 { 60 } else { 40 });
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

pub fn run(record: &Arc<Record>) -> Option<bool> {
    let store = Store::start(record);
    let warm = [plan("i-warm-1", "ansan-a", 0), plan("i-warm-2", "hwaseong-b", 0)];
    let warm: Vec<Server> = warm.iter().map(|plan| Server::start(plan, &store, record)).collect();
    store.put("op/config", &format!(
        r#"{{"version":1,"routes":[{{"name":"permit","host":"shop.example","prefix":"/permit/","route_type":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"permits","max_attempts":2}}],"services":[{{"name":"permits","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":{WARMUP_S:?},"warmup_per_s":{WARMUP_PER_S:?}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    ));
    let zones = [("ansan-a", "gyeonggi"), ("hwaseong-b", "gyeonggi"), ("siheung-c", "gyeonggi")];
    let placed = ["ansan-a", "hwaseong-b", "siheung-c"].repeat(3);
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
    let mut fleet = Fleet::start(&zones, &placed, &bounds, &store, record)?;
    let fronts: Vec<String> = fleet.instances.iter().map(|one| one.front.clone()).collect();
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            // The platform forwards to the machines that are in rotation: here those without seeds.
            let front = fronts[SEEDS + caller as usize % (fronts.len() - SEEDS)].clone();
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
    sleep_ms(5000);
    if has_trouble() {
        for instance in &mut fleet.instances {
            instance.kill(record);
        }
        sleep_ms(DOWN_MS);
        for instance in fleet.instances.iter_mut().skip(SEEDS) {
            instance.spawn(record);
        }
    }
    sleep_ms(RETURNED_MS);
    let served_before = served.load(Ordering::SeqCst);
    // Planned work: a server is added.
    let cold = Server::start(&plan("i-cold", "siheung-c", 3000), &store, record);
    if has_trouble() {
        sleep_ms(SEEDS_DOWN_MS - DOWN_MS - RETURNED_MS);
        for instance in fleet.instances.iter_mut().take(SEEDS) {
            instance.spawn(record);
        }
    }
    sleep_ms((WARMUP_S * 1000.0) as u64 + 500);
    let arrivals: Vec<f64> = cold.arrivals.lock().unwrap().iter().map(|one| one.at).collect();
    let until = cold.started + WARMUP_S;
    let times: Vec<f64> = arrivals.into_iter().filter(|at| *at < until).collect();
    let counts =
        times.iter().map(|from| times.iter().filter(|at| **at >= *from && **at < from + 1.0).count());
    let most = counts.max().unwrap_or(0);
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    cold.crash();
    warm.iter().for_each(Server::crash);
    let served = served.load(Ordering::SeqCst);
    let text = format!(
        "at most {most} requests in one second at the cold server, allowed {LIMIT}; {served} requests served"
    );
    record.note(text.clone());
    say(&text);
    (served_before > 200).then_some(most > LIMIT)
}
