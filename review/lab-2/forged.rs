//! Another writer writes an entry without `born` under the id of a server that has left the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use crate::lab::{Fleet, Message, Record, Server, ServerPlan, Store, call, free_address, has_trouble, say, sleep_ms};

/// Time for which the server has been in use when it leaves.
const CALM_MS: u64 = 4000;
/// Time from the removal of its entry to the write of another writer.
const WRITTEN_AFTER_MS: u64 = 3000;
/// Three heartbeats of silence, after which the store removes an entry.
const SILENCE_MS: u64 = 3600;
/// `drain_ms` of the site.
const DRAIN_MS: u64 = 5000;
/// How much longer than `drain_ms` the server goes on.
const LONGER_MS: u64 = 4000;
const CALLERS: u64 = 12;

fn plan(id: &str, zone: &str) -> ServerPlan {
    let work = |server: &Server, request: &Message| {
        sleep_ms(40);
        Some(server.response(request, b"booked"))
    };
    ServerPlan {
        id: id.to_owned(),
        service: "booking".to_owned(),
        zone: zone.to_owned(),
        address: free_address(),
        slots: 6,
        warmup_ms: 0,
        clock_ahead_ms: 0,
        work: Arc::new(work),
    }
}

pub fn run(record: &Arc<Record>) -> Option<bool> {
    let store = Store::start(record);
    let others = [plan("i-other-1", "ansan-a"), plan("i-other-2", "hwaseong-b")];
    let others: Vec<Server> =
        others.iter().map(|plan| Server::start(plan, &store, record)).collect();
    store.put("op/config", r#"{"version":1,"routes":[{"name":"book","host":"shop.example","prefix":"/book/","route_type":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"booking","max_attempts":2}],"services":[{"name":"booking","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let zones = [("ansan-a", "gyeonggi"), ("hwaseong-b", "gyeonggi"), ("siheung-c", "gyeonggi")];
    let placed =
        ["ansan-a", "hwaseong-b", "siheung-c", "ansan-a", "hwaseong-b", "siheung-c", "ansan-a"];
    let bounds = [
        ("retry_budget_ratio", "0.2"),
        ("retry_budget_slack", "54"),
        ("budget_window_s", "10"),
        ("grace_s", "6"),
        ("contact_ms", "5000"),
    ];
    let fleet = Fleet::start(&zones, &placed, &bounds, &store, record)?;
    let fronts: Vec<String> = fleet.instances.iter().map(|one| one.front.clone()).collect();
    let ends = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let front = fronts[caller as usize % fronts.len()].clone();
            let ends = Arc::clone(&ends);
            let record = Arc::clone(record);
            thread::spawn(move || {
                for number in 0.. {
                    if ends.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{caller:04x}{number:012x}");
                    record.note(format!("send {id}"));
                    let target = format!("/book/{number}");
                    let answer = call(&front, "POST", &target, &id, 2000, b"dock=7");
                    let status = answer.map_or(0, |answer| answer.status());
                    record.note(format!("answer {id} {status}"));
                    sleep_ms(30);
                }
            })
        })
        .collect();
    sleep_ms(3000);
    let server = Server::start(&plan("i-leaving", "siheung-c"), &store, record);
    sleep_ms(CALM_MS);
    let used = server.arrivals.lock().unwrap().len();
    // Planned work: the server leaves; it does not report that, but its entry is removed.
    server.leave_store();
    let acknowledged = record.at();
    record.note("the store has acknowledged that i-leaving is gone");
    if has_trouble() {
        sleep_ms(WRITTEN_AFTER_MS);
        let entry = format!(
            r#"{{"service":"booking","address":"{}","zone":"siheung-c","version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"sequence":1}}"#,
            server.address
        );
        store.put("servers/i-leaving", &entry);
        sleep_ms(SILENCE_MS);
        store.remove("servers/i-leaving");
    }
    let passed = if has_trouble() { WRITTEN_AFTER_MS + SILENCE_MS } else { 0 };
    sleep_ms(DRAIN_MS + LONGER_MS - passed);
    server.crash();
    record.note("i-leaving has ended after its drain");
    sleep_ms(1500);
    ends.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let due = acknowledged + DRAIN_MS as f64 / 1000.0;
    let arrivals = server.arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > due).collect();
    others.iter().for_each(Server::crash);
    let text = format!(
        "{used} requests before the removal, {} later than drain_ms after its acknowledgement; allowed 0",
        late.len()
    );
    record.note(text.clone());
    say(&text);
    (used > 50).then_some(!late.is_empty())
}
