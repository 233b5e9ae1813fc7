//! A desired state with many keys stops all machines that serve control.

#[path = "../common-2/kit.rs"]
mod kit;

use kit::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// `contact_ms` of the site.
const CONTACT_MS: u64 = 3000;
/// Tenants of the site.
const TENANTS: usize = 16;
/// Keys that each tenant gets by the second desired state, with and without the disruption.
const KEYS: [usize; 2] = [4, 6000];
/// How long the operator sends the second desired state.
const SENDING_MS: u64 = 10_000;

fn main() {
    open_record("review/6");
    let mut fleet = Fleet::new(Sizes { cores: 5, edges: 3, zones: 3, cpu_share: "0.25" });
    fleet.start_all();
    if !fleet.configure(&document(1)) || !fleet.wait_until_ready() {
        cannot_run(&mut fleet, "the deployment did not get ready");
    }
    let serve = Arc::new(|request: &Request, stream: &mut std::net::TcpStream| {
        record(&format!("i-0 runs {}", request.header("attempt-id")));
        answer(stream, request, "200 OK", "", "found")
    });
    let Ok(replica) = Replica::start("i-0", "caseapp", fleet.address(0, 8080), "zone-a", 6, "v1", serve) else {
        cannot_run(&mut fleet, "an address is taken");
    };
    let nodes: Vec<_> = fleet.cores().iter().map(|at| fleet.control(*at)).collect();
    let ended = Arc::new(AtomicBool::new(false));
    replica.keep_pinging(nodes.clone(), 0, ended.clone());
    let answers: Arc<Mutex<Vec<(u64, u16)>>> = Arc::default();
    for at in fleet.edges() {
        let (front, ended, answers) = (fleet.front(at), ended.clone(), answers.clone());
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let id = attempt_id();
                let text = request_text("GET", "/lookup/x", &id, 4000, "Connection: close\r\n", "");
                let status = exchange(front, text.as_bytes(), 4500).map_or(0, |a| a.status);
                record(&format!("client sent {id} to {front}: {status}"));
                answers.lock().unwrap().push((now_ms(), status));
                sleep_ms(200);
            }
        });
    }
    while now_ms() < 2 * CONTACT_MS {
        sleep_ms(50);
    }
    let served = |from: u64, to: u64| {
        let answers = answers.lock().unwrap();
        let all: Vec<_> = answers.iter().filter(|(at, _)| (from..to).contains(at)).collect();
        (all.iter().filter(|(_, status)| *status == 200).count(), all.len())
    };
    let (good, all) = served(0, now_ms());
    say(&format!("before: {good} of {all} requests are served"));
    if good == 0 {
        cannot_run(&mut fleet, "no request is served");
    }
    let keys = KEYS[usize::from(has_trouble())];
    let text = with_keys(&document(2), keys);
    say(&format!("the operator sends version 2: {} keys, {} bytes", TENANTS * keys, text.len()));
    let (begun, mut turn, mut pause) = (now_ms(), 0, 100);
    let mut acknowledged = false;
    while now_ms() < begun + SENDING_MS && !acknowledged {
        // The next node after a failure, with increasing backoff; more than a second for a large body.
        let status = call(nodes[turn % nodes.len()], "PUT", "/-/config", &text, 4000).map_or(0, |a| a.status);
        say(&format!("{} answers {status}", nodes[turn % nodes.len()]));
        acknowledged = status == 200;
        turn += 1;
        sleep_ms(pause);
        pause = (pause * 2).min(2000);
    }
    // The end of the day: the operator reads the desired state back, repeatedly, for three times as long as it must.
    let asked = now_ms();
    let read: Arc<Mutex<Vec<u64>>> = Arc::default();
    let readers: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (node, read) = (*node, read.clone());
            thread::spawn(move || {
                while now_ms() < asked + 3 * CONTACT_MS {
                    let answer = call(node, "GET", "/-/config", "", 3000);
                    let status = answer.as_ref().map_or(0, |a| a.status);
                    let version = answer.filter(|a| a.status == 200 && a.is_complete).and_then(|a| version_of(&a.body));
                    record(&format!("{node} answers the reading with {status}, version {version:?}"));
                    read.lock().unwrap().extend(version);
                    sleep_ms(100);
                }
            })
        })
        .collect();
    for reader in readers {
        let _ = reader.join();
    }
    let read = read.lock().unwrap();
    let (good, all) = served(asked, now_ms());
    say(&format!("meanwhile {good} of {all} requests are served"));
    let least = if acknowledged { 2 } else { 1 };
    let is_read = read.iter().any(|version| *version >= least);
    say(&format!(
        "CONFIG: version 1 was acknowledged, version 2 {}; read back: {}",
        if acknowledged { "too" } else { "not" },
        read.last().map_or("nothing comes".into(), |version| format!("version {version}"))
    ));
    ended.store(true, Ordering::SeqCst);
    fleet.stop();
    std::process::exit(i32::from(!is_read));
}

/// Gives the tenants of a desired state so many keys each.
fn with_keys(document: &str, keys: usize) -> String {
    let mut number: u64 = 88172645463325252;
    let mut next_key = || {
        let mut key = String::new();
        for _ in 0..20 {
            number ^= number << 13;
            number ^= number >> 7;
            number ^= number << 17;
            key.push(b"abcdefghijklmnopqrstuvwxyz0123456789"[(number % 36) as usize] as char);
        }
        key
    };
    let mut tenants = String::new();
    for tenant in 1..TENANTS {
        let list: Vec<String> = (0..keys).map(|_| format!("\"{}\"", next_key())).collect();
        tenants += &format!(r#"{{"name":"shop{tenant}","api_keys":[{}],"priority":1}},"#, list.join(","));
    }
    let list: Vec<String> = (0..keys).map(|_| format!("\"{}\"", next_key())).collect();
    let own = format!(r#"{{"name":"adala","api_keys":["{KEY}",{}]"#, list.join(","));
    let plain = format!(r#"{{"name":"adala","api_keys":["{KEY}"]"#);
    assert!(document.contains(&plain));
    document.replace(&plain, &format!("{tenants}{own}"))
}

/// The version of a desired state.
fn version_of(body: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(body).ok()?;
    let rest = text.split_once("\"version\":")?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
