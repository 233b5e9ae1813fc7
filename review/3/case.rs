//! A desired state takes the keys of all tenants away. Counts the requests with such keys that run afterwards.

#[path = "../common/harness.rs"]
mod harness;

use std::collections::BTreeSet;
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Cluster, Head, Record, Replica, cannot_run, config, has_trouble, put_config};

/// Time after which a request with a key that was taken away must not run (`revoke_ms`).
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Time for which clients go on after that.
const LATER_TIME: Duration = Duration::from_secs(5);
/// Pause between two requests of a client.
const REQUEST_GAP: Duration = Duration::from_millis(250);
/// Key that no desired state ever holds.
const UNKNOWN_KEY: &str = "key-of-nobody";

/// Attempt ids that the replica ran, with the `Tenant-Id` that it got.
static RUNS: Mutex<Vec<(String, Option<String>)>> = Mutex::new(Vec::new());

/// A request that a client sent.
struct Sent {
    id: String,
    key: String,
    at: Instant,
    status: u16,
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(Path::new(&path));
    let cluster = Cluster::new(3, 2);
    cluster.start_all();
    let route = r#"{"name":"r-file","host":"shop.example","path_prefix":"/file/","kind":"idempotent","timeout_ms":4000,"slo_ms":300,"priority":1,"service":"files","max_attempts":2,"public":false,"affinity":false,"resumable":false}"#;
    let service =
        r#"{"name":"files","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}"#;
    let tenants = [
        r#"{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}"#.to_owned(),
        r#"{"name":"shop-b","api_keys":["key-of-shop-b"],"priority":1}"#.to_owned(),
    ];
    let state =
        |version, tenants: &[String]| config(version, &[route.into()], &[service.into()], tenants);
    if !put_config(&cluster, &state(1, &tenants), Duration::from_secs(20)) {
        cannot_run(
            &cluster,
            &record,
            "the first desired state was not acknowledged",
        );
    }
    Replica::start(&cluster, &record, "i-0", "files", 6, false, answer);
    thread::sleep(Duration::from_millis(3500));

    let sent = Arc::new(Mutex::new(Vec::new()));
    let stop_at = Arc::new(Mutex::new(None::<Instant>));
    let keys = ["key-of-shop-a", "key-of-shop-b", UNKNOWN_KEY];
    let clients = cluster
        .edges()
        .flat_map(|edge| keys.iter().map(move |key| (edge.clone(), *key)));
    let clients = clients.enumerate().map(|(number, (edge, key))| {
        let address = format!("{}:{}", edge.ip, cluster.front);
        let (sent, stop_at, record) = (sent.clone(), stop_at.clone(), record.clone());
        thread::spawn(move || run_client(number, &address, key, &sent, &stop_at, &record))
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(Duration::from_secs(2));
    // Without the disruption, the second state takes nothing away.
    let second = if has_trouble() {
        state(2, &[]).replace("\"limits\"", "\"tenants\":[],\"limits\"")
    } else {
        state(2, &tenants)
    };
    record.line(&format!("the operator sends {second}"));
    if !put_config(&cluster, &second, Duration::from_secs(20)) {
        cannot_run(
            &cluster,
            &record,
            "the second desired state was not acknowledged",
        );
    }
    let acknowledged = Instant::now();
    record.line("version 2 is acknowledged");
    *stop_at.lock().unwrap() = Some(acknowledged + REVOKE_TIME + LATER_TIME);
    for client in clients {
        let _ = client.join();
    }
    cluster.stop();

    let runs: BTreeSet<String> = RUNS
        .lock()
        .unwrap()
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    let sent = sent.lock().unwrap();
    let has_run = |s: &&Sent| runs.contains(&s.id);
    let withdrawn =
        |s: &&Sent| has_trouble() && s.key != UNKNOWN_KEY && s.at > acknowledged + REVOKE_TIME;
    let late = sent.iter().filter(withdrawn).filter(has_run).count();
    let unknown = sent
        .iter()
        .filter(|s| s.key == UNKNOWN_KEY)
        .filter(has_run)
        .count();
    let served = sent
        .iter()
        .filter(|s| s.key != UNKNOWN_KEY && s.at < acknowledged && s.status == 200)
        .count();
    let verdict = format!(
        "{served} requests served before; {late} requests ran over {} s after their key was taken away, {unknown} with a key that no state ever held; one breaks CONFIG or ROUTE",
        REVOKE_TIME.as_secs()
    );
    record.line(&verdict);
    println!("{verdict}");
    if served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(late + unknown > 0));
}

/// Sends requests with one key, over one channel as long as it lasts.
fn run_client(
    number: usize,
    address: &str,
    key: &str,
    sent: &Mutex<Vec<Sent>>,
    stop_at: &Mutex<Option<Instant>>,
    record: &Record,
) {
    let mut channel = None;
    for count in 0.. {
        if stop_at
            .lock()
            .unwrap()
            .is_some_and(|end| Instant::now() > end)
        {
            return;
        }
        let id = format!("{number:04x}{count:012x}");
        let at = Instant::now();
        let status = exchange(&mut channel, address, key, &id).unwrap_or(0);
        record.line(&format!("{id} with {key} at {address} got {status}"));
        sent.lock().unwrap().push(Sent {
            id,
            key: key.to_owned(),
            at,
            status,
        });
        thread::sleep(REQUEST_GAP);
    }
}

fn exchange(
    channel: &mut Option<BufReader<TcpStream>>,
    address: &str,
    key: &str,
    id: &str,
) -> io::Result<u16> {
    let mut reader = match channel.take() {
        Some(reader) => reader,
        None => {
            let stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            BufReader::new(stream)
        }
    };
    let request = format!(
        "GET /file/{id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nKey: {key}\r\nTime-Budget: 4000\r\n\r\n"
    );
    reader.get_mut().write_all(request.as_bytes())?;
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    io::copy(
        &mut (&mut reader).take(head.length() as u64),
        &mut io::sink(),
    )?;
    if head.get("connection") != Some("close") {
        *channel = Some(reader);
    }
    Ok(head.status())
}

fn answer(
    replica: &Replica,
    head: &Head,
    _: &mut BufReader<TcpStream>,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let id = head.get("attempt-id").unwrap_or_default();
    let tenant = head.get("tenant-id").map(str::to_owned);
    replica.record.line(&format!(
        "{} runs {id} of tenant {}",
        replica.id,
        tenant.as_deref().unwrap_or("(none)")
    ));
    RUNS.lock().unwrap().push((id.to_owned(), tenant));
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Seal: seal.{id}\r\nContent-Length: 4\r\n\r\ndone"
    );
    stream.write_all(answer.as_bytes())?;
    Ok(true)
}
