//! A request whose clients leave early crashes one replica after the other.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3000;
/// Time after which the clients of the request leave: half of the objective of their route.
const PATIENCE_MS: u64 = 150;
/// Time for which a replica runs the request until it crashes.
const RUN_MS: u64 = 250;
/// Time after which a crashed replica is back.
const DOWN_MS: u64 = 2000;
/// Time between two tries of the request.
const PAUSE_MS: u64 = 1500;
const REPLICAS: usize = 6;

/// What the replicas have seen.
#[derive(Default)]
struct Seen {
    /// When the request reached a replica.
    arrivals: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
    boots: AtomicU64,
}

/// Starts a replica at an address, and starts it again after each crash, as a new boot with a new id.
fn run_replica(place: usize, address: SocketAddr, nodes: Vec<SocketAddr>, seen: Arc<Seen>) {
    thread::spawn(move || {
        loop {
            let id = format!("i-{place}-{}", seen.boots.fetch_add(1, Ordering::SeqCst));
            let stop = Arc::new(AtomicBool::new(false));
            let (own, list, must_crash) = (id.clone(), seen.clone(), stop.clone());
            let serve = Arc::new(move |request: &Request, stream: &mut TcpStream| {
                if request.path != "/lookup/deadly" {
                    sleep_ms(20);
                    return answer(stream, request, "200 OK", "", "found");
                }
                list.arrivals.lock().unwrap().push(now_ms());
                record(&format!("{own} begins to run the request as {}", request.header("attempt-id")));
                // It doesn't notice that the channel closes.
                sleep_ms(RUN_MS);
                must_crash.store(true, Ordering::SeqCst);
                false
            });
            let zone = format!("zone-{}", (b'a' + (place % 3) as u8) as char);
            let replica = loop {
                match Replica::start(&id, "caseapp", address, &zone, 6, "v1", serve.clone()) {
                    Ok(replica) => break replica,
                    Err(_) => sleep_ms(50),
                }
            };
            replica.keep_pinging(nodes.clone(), place, stop.clone());
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(2);
            }
            replica.crash();
            seen.crashes.lock().unwrap().push(now_ms());
            sleep_ms(DOWN_MS);
        }
    });
}

fn main() {
    open_record("review/10");
    let mut fleet = Fleet::new(Sizes { cores: 5, edges: 3, zones: 3, cpu_share: "0.25" });
    fleet.start_all();
    if !fleet.configure(&document(1)) || !fleet.wait_until_ready() {
        cannot_run(&mut fleet, "the deployment did not get ready");
    }
    let nodes: Vec<_> = fleet.cores().iter().map(|at| fleet.control(*at)).collect();
    let seen: Arc<Seen> = Arc::default();
    for place in 0..REPLICAS {
        run_replica(place, fleet.address(place, 8080), nodes.clone(), seen.clone());
    }
    let fronts: Vec<_> = fleet.edges().iter().map(|at| fleet.front(*at)).collect();
    // Clients of sound requests.
    let served = Arc::new(AtomicU64::new(0));
    for client in 0..6 {
        let (fronts, served) = (fronts.clone(), served.clone());
        thread::spawn(move || {
            let mut turn = client;
            loop {
                let id = attempt_id();
                let text = request_text("GET", &format!("/lookup/{id}"), &id, 4000, "Connection: close\r\n", "");
                let status = exchange(fronts[turn % fronts.len()], text.as_bytes(), 4500).map_or(0, |a| a.status);
                served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                turn += 1;
                sleep_ms(100);
            }
        });
    }
    if !wait_for(20, || served.load(Ordering::SeqCst) > 100) {
        cannot_run(&mut fleet, "no request is served");
    }
    while now_ms() < 2 * CONTACT_MS {
        sleep_ms(50);
    }
    // The request comes again and again, with the same path, caller and body, at any machine.
    let patience = if has_trouble() { PATIENCE_MS } else { 4500 };
    let begun = now_ms();
    let mut turn = 0;
    while now_ms() < begun + 30_000 {
        let id = attempt_id();
        let text = request_text("GET", "/lookup/deadly", &id, 4000, "Connection: close\r\n", "");
        let front = fronts[turn % fronts.len()];
        let status = exchange(front, text.as_bytes(), patience).map_or("leaves".into(), |a| a.status.to_string());
        record(&format!("the client of {id} at {front}: {status}"));
        turn += 1;
        sleep_ms(PAUSE_MS);
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    say(&format!("the request was sent {turn} times, reached replicas {} times and crashed {} of them", arrivals.len(), crashes.len()));
    let late = crashes.get(2).map_or(0, |third| arrivals.iter().filter(|at| **at > third + CONTACT_MS).count());
    say(&format!("BUDGET: it reached replicas {late} times later than {CONTACT_MS} ms after its third crash; three are allowed"));
    if crashes.len() < 2 {
        cannot_run(&mut fleet, "the request crashed too few replicas");
    }
    fleet.stop();
    std::process::exit(i32::from(late > 3));
}
