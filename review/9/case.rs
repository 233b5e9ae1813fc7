//! A part of long prompts crashes one replica after the other.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3000;
/// Time after which a crashed replica is back.
const DOWN_MS: u64 = 2000;
/// Time between two requests with the part.
const PAUSE_MS: u64 = 1500;
/// Parts of a prompt.
const PARTS: usize = 40;
const REPLICAS: usize = 6;
/// The part that crashes replicas.
const DEADLY: &str = "dead0bad";

/// What the replicas have seen.
#[derive(Default)]
struct Seen {
    /// When requests with the part reached a replica.
    arrivals: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
    boots: AtomicU64,
}

/// Starts a replica at an address, and starts it again after each crash, as a new boot with a new id.
fn run_replica(place: usize, address: SocketAddr, nodes: Vec<SocketAddr>, seen: Arc<Seen>, crashes: bool) {
    thread::spawn(move || {
        loop {
            let id = format!("i-{place}-{}", seen.boots.fetch_add(1, Ordering::SeqCst));
            let stop = Arc::new(AtomicBool::new(false));
            let (own, list, must_crash) = (id.clone(), seen.clone(), stop.clone());
            let serve = Arc::new(move |request: &Request, stream: &mut TcpStream| {
                let attempt = request.header("attempt-id");
                let is_deadly = request.header("prompt-prefix").contains(DEADLY);
                if is_deadly {
                    list.arrivals.lock().unwrap().push(now_ms());
                    record(&format!("{own} reads the prompt of {attempt}, with the part"));
                }
                sleep_ms(60);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nReplica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                     Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                if is_deadly && crashes {
                    // It begins to write the answer.
                    let _ = stream.write_all(head.as_bytes());
                    must_crash.store(true, Ordering::SeqCst);
                    sleep_ms(1000);
                    return false;
                }
                let mut is_open = stream.write_all(head.as_bytes()).is_ok();
                for number in 1..=5 {
                    let event = format!("id:{number}\ndata:words\n\n");
                    is_open &= stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
                    sleep_ms(20);
                }
                is_open && stream.write_all(b"0\r\n\r\n").is_ok()
            });
            let zone = format!("zone-{}", (b'a' + (place % 3) as u8) as char);
            let replica = loop {
                match Replica::start(&id, "model", address, &zone, 128, "v1", serve.clone()) {
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

/// A request of a conversation: its parts are shared but for one of its own, the last.
fn chat(id: &str, deadly_at: Option<usize>) -> String {
    let mut parts: Vec<String> = (1..PARTS).map(|number| format!("5c1e{number:04x}:40")).collect();
    if let Some(at) = deadly_at {
        parts[at - 1] = format!("{DEADLY}:40");
    }
    parts.push(format!("{}:40", &id[4..]));
    let extra = format!(
        "Model: m\r\nToken-Count: {},80\r\nPrompt-Prefix: {}\r\nConnection: close\r\n",
        PARTS * 40,
        parts.join(",")
    );
    request_text("POST", "/chat/1", id, 15_000, &extra, &format!("{{\"say\":\"{id}\"}}"))
}

fn main() {
    open_record("review/9");
    // Where the part stands in its prompts; within the first 32 the system learns of it.
    let place: usize = std::env::var("PLACE").ok().and_then(|p| p.parse().ok()).unwrap_or(36);
    let mut fleet = Fleet::new(Sizes { cores: 5, edges: 3, zones: 3, cpu_share: "0.25" });
    fleet.start_all();
    if !fleet.configure(&document(1)) || !fleet.wait_until_ready() {
        cannot_run(&mut fleet, "the deployment did not get ready");
    }
    let nodes: Vec<_> = fleet.cores().iter().map(|at| fleet.control(*at)).collect();
    let seen: Arc<Seen> = Arc::default();
    for at in 0..REPLICAS {
        run_replica(at, fleet.address(at, 8080), nodes.clone(), seen.clone(), has_trouble());
    }
    let fronts: Vec<_> = fleet.edges().iter().map(|at| fleet.front(*at)).collect();
    let (served, asked) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for client in 0..6 {
        let (fronts, served, asked) = (fronts.clone(), served.clone(), asked.clone());
        thread::spawn(move || {
            let mut turn = client;
            loop {
                let id = attempt_id();
                let answer = exchange(fronts[turn % fronts.len()], chat(&id, None).as_bytes(), 15_000);
                asked.fetch_add(1, Ordering::SeqCst);
                served.fetch_add(u64::from(answer.is_some_and(|a| a.status == 200 && a.is_complete)), Ordering::SeqCst);
                turn += 1;
                sleep_ms(100);
            }
        });
    }
    if !wait_for(20, || served.load(Ordering::SeqCst) > 50) {
        cannot_run(&mut fleet, "no request is served");
    }
    while now_ms() < 2 * CONTACT_MS {
        sleep_ms(50);
    }
    // Requests with the part come at any machine, no two alike.
    let before = (served.load(Ordering::SeqCst), asked.load(Ordering::SeqCst));
    let begun = now_ms();
    let mut turn = 0;
    while now_ms() < begun + 40_000 {
        let (id, front) = (attempt_id(), fronts[turn % fronts.len()]);
        let text = chat(&id, Some(place));
        thread::spawn(move || {
            let status = exchange(front, text.as_bytes(), 15_000).map_or("no answer".into(), |a| a.status.to_string());
            record(&format!("the client of {id} at {front}: {status}"));
        });
        turn += 1;
        sleep_ms(PAUSE_MS);
    }
    let crashes = seen.crashes.lock().unwrap().clone();
    let arrivals = seen.arrivals.lock().unwrap().clone();
    say(&format!(
        "{turn} requests with the part were sent; they reached replicas {} times and crashed {}",
        arrivals.len(),
        crashes.len()
    ));
    let (good, all) = (served.load(Ordering::SeqCst) - before.0, asked.load(Ordering::SeqCst) - before.1);
    say(&format!("of {all} sound requests meanwhile {good} were served"));
    let late = crashes.get(4).map_or(0, |fifth| arrivals.iter().filter(|at| **at > fifth + CONTACT_MS).count());
    say(&format!("BUDGET: {late} requests with the part reached replicas later than {CONTACT_MS} ms after the fifth crash; three are allowed"));
    fleet.stop();
    std::process::exit(i32::from(late > 3));
}
