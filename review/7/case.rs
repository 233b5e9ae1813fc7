//! An acknowledged departure of a replica is forgotten when the machine that acknowledged it is killed.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `drain_ms` of the site.
const DRAIN_MS: u64 = 2000;
/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3000;
/// How late the last ping arrives.
const LATE_MS: u64 = 4500;

fn main() {
    open_record("review/7");
    let mut fleet = Fleet::new(Sizes { cores: 5, edges: 3, zones: 3, cpu_share: "0.25" });
    fleet.start_all();
    if !fleet.configure(&document(1)) || !fleet.wait_until_ready() {
        cannot_run(&mut fleet, "the deployment did not get ready");
    }
    let arrivals: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let mut replicas = Vec::new();
    let never = Arc::new(AtomicBool::new(false));
    let leaves = Arc::new(AtomicBool::new(false));
    let cores = fleet.cores();
    let nodes: Vec<_> = cores.iter().map(|at| fleet.control(*at)).collect();
    for number in 0..3 {
        let id = format!("i-{number}");
        let (own, list) = (id.clone(), arrivals.clone());
        let serve = Arc::new(move |request: &Request, stream: &mut std::net::TcpStream| {
            let attempt = request.header("attempt-id").to_owned();
            record(&format!("{own} runs {attempt}"));
            list.lock().unwrap().push((now_ms(), own.clone(), attempt));
            sleep_ms(20);
            answer(stream, request, "200 OK", "", "found")
        });
        let address = fleet.address(number, 8080);
        let zone = format!("zone-{}", (b'a' + number as u8) as char);
        let Ok(replica) = Replica::start(&id, "caseapp", address, &zone, 6, "v1", serve) else {
            cannot_run(&mut fleet, "an address is taken");
        };
        replicas.push(replica);
    }
    for (number, replica) in replicas.iter().enumerate() {
        let stop = if number == 0 { leaves.clone() } else { never.clone() };
        replica.keep_pinging(nodes.clone(), number, stop);
    }
    // Clients: one request each 15 ms, at the edge machines in turn.
    let fronts: Vec<_> = fleet.edges().iter().map(|at| fleet.front(*at)).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let sent: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    for client in 0..12 {
        let (fronts, ended, served, sent) = (fronts.clone(), ended.clone(), served.clone(), sent.clone());
        thread::spawn(move || {
            let mut turn = client;
            while !ended.load(Ordering::SeqCst) {
                let id = attempt_id();
                let path = format!("/lookup/{id}");
                let text = request_text("GET", &path, &id, 4000, "Connection: close\r\n", "");
                sent.lock().unwrap().push((id.clone(), now_ms()));
                record(&format!("client sends {id} to {}", fronts[turn % fronts.len()]));
                let status = exchange(fronts[turn % fronts.len()], text.as_bytes(), 4500).map_or(0, |a| a.status);
                record(&format!("client gets {status} for {id}"));
                served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                turn += 1;
                sleep_ms(150);
            }
        });
    }
    if !wait_for(20, || served.load(Ordering::SeqCst) > 100) {
        cannot_run(&mut fleet, "no request is served");
    }
    let runs = |from: u64| {
        let list = arrivals.lock().unwrap();
        list.iter().filter(|(at, id, _)| *at >= from && id == "i-0").count()
    };
    if !wait_for(5, || runs(0) > 5) {
        cannot_run(&mut fleet, "the replica gets no requests");
    }
    let Some(host) = fleet.scheduler_of("caseapp") else {
        cannot_run(&mut fleet, "no log names the machine that places the requests");
    };
    // All machines have run for longer than contact_ms.
    while now_ms() < 2 * CONTACT_MS {
        sleep_ms(50);
    }
    // The last ping is on its way to another machine and gets no answer within a second.
    leaves.store(true, Ordering::SeqCst);
    sleep_ms(100);
    let late = replicas[0].ping_body("ready");
    let other = cores.iter().copied().find(|at| *at != host).unwrap_or(0);
    let (to, path) = (fleet.control(other), replicas[0].path());
    let name = fleet.machines[other].name.clone();
    say(&format!("i-0 sends a ping to {name}; it will arrive {LATE_MS} ms later"));
    thread::spawn(move || {
        sleep_ms(LATE_MS);
        let status = call(to, "PUT", &path, &late, 4000).map_or(0, |a| a.status);
        say(&format!("the late ping of i-0 has arrived at {name}: {status}"));
    });
    sleep_ms(1000);
    // So the next machine is called, with the departure.
    let status = call(fleet.control(host), "DELETE", &replicas[0].path(), "", 1000).map_or(0, |a| a.status);
    let acknowledged = now_ms();
    let host_name = fleet.machines[host].name.clone();
    say(&format!("i-0 tells {host_name} that it is gone: {status}"));
    if status / 100 != 2 {
        cannot_run(&mut fleet, "the departure is not acknowledged");
    }
    let mut disrupted = 0;
    if has_trouble() {
        sleep_ms(300);
        fleet.kill(host);
        sleep_ms(500);
        fleet.start(host, false);
        disrupted = now_ms();
        say(&format!("{host_name} was killed and started again"));
    }
    // The replica serves on for drain_ms and some seconds more, then exits.
    let end = acknowledged + DRAIN_MS + 7000;
    while now_ms() < end {
        sleep_ms(50);
    }
    replicas[0].stop();
    say("i-0 exits");
    ended.store(true, Ordering::SeqCst);
    sleep_ms(500);
    // The rule: requests that reach the replica later than drain_ms after the acknowledgement, sent by clients and sent on
    // while all machines were in touch.
    let calm = if has_trouble() { disrupted + CONTACT_MS } else { 0 };
    let limit = (acknowledged + DRAIN_MS).max(calm);
    let sent = sent.lock().unwrap();
    let is_counted = |attempt: &str| sent.iter().any(|(id, at)| id == attempt && *at > limit);
    let list = arrivals.lock().unwrap();
    let late: Vec<_> = list.iter().filter(|(at, id, attempt)| id == "i-0" && *at > limit && is_counted(attempt)).collect();
    let all = list.iter().filter(|(at, _, _)| *at > limit).count();
    for (at, _, attempt) in late.iter().take(5) {
        say(&format!("{attempt} reached i-0 at {at} ms, {} ms after the acknowledgement", at - acknowledged));
    }
    say(&format!(
        "DRAIN: {} requests reached i-0 later than {DRAIN_MS} ms after its departure was acknowledged, of {all} that any replica ran then",
        late.len()
    ));
    let is_broken = !late.is_empty();
    drop(list);
    fleet.stop();
    std::process::exit(i32::from(is_broken));
}
