//! A replica numbers the events of its streams from 0. Compares what it wrote with what the clients got.

#[path = "../common/harness.rs"]
mod harness;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use harness::{Cluster, Head, Record, Replica, cannot_run, config, has_trouble, put_config};

/// Events of a stream, and the pause between two.
const EVENTS: u64 = 10;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Streams that clients read, one after the other at each router.
const STREAMS: u64 = 12;

/// Number of the first event.
fn first_event() -> u64 {
    if has_trouble() { 0 } else { 1 }
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(Path::new(&path));
    let cluster = Cluster::new(3, 2);
    cluster.start_all();
    let route = r#"{"name":"r-draft","host":"shop.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":15000,"slo_ms":800,"priority":1,"service":"engines","max_attempts":2,"public":false,"affinity":true,"resumable":true,"gap_target_ms":250}"#;
    let service = r#"{"name":"engines","health_path":"/health","max_conns":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":668887,"kv_token_bytes":35136,"link_mbps":550000.0,"moves":true,"backups":true,"stride":2,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}"#;
    let state = config(1, &[route.into()], &[service.into()], &[]);
    if !put_config(&cluster, &state, Duration::from_secs(20)) {
        cannot_run(
            &cluster,
            &record,
            "the first desired state was not acknowledged",
        );
    }
    Replica::start(&cluster, &record, "i-0", "engines", 128, true, write_stream);
    thread::sleep(Duration::from_millis(3500));
    let expected: Vec<u64> = (first_event()..first_event() + EVENTS).collect();
    let edges: Vec<String> = cluster
        .edges()
        .map(|node| format!("{}:{}", node.ip, cluster.front))
        .collect();
    let (mut complete, mut incomplete) = (0, 0);
    for id in 0..STREAMS {
        let edge = &edges[id as usize % edges.len()];
        match read_stream(id, edge) {
            Ok(events) => {
                record.line(&format!(
                    "stream {id:016x} at {edge} came complete with events {events:?}"
                ));
                if events == expected {
                    complete += 1
                } else {
                    incomplete += 1
                }
            }
            Err(error) => record.line(&format!("stream {id:016x} at {edge} failed: {error}")),
        }
    }
    cluster.stop();
    let verdict = format!(
        "{incomplete} of {} streams that ended as complete lack an event; one breaks ORDER",
        complete + incomplete
    );
    record.line(&verdict);
    println!("{verdict}");
    if complete + incomplete == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(incomplete > 0));
}

fn write_stream(
    replica: &Replica,
    head: &Head,
    reader: &mut BufReader<TcpStream>,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    io::copy(&mut reader.take(head.length() as u64), &mut io::sink())?;
    let id = head.get("attempt-id").unwrap_or_default();
    let last: Option<u64> = head.get("last-event-id").and_then(|v| v.parse().ok());
    let first = last.map_or(first_event(), |last| last + 1);
    replica
        .record
        .line(&format!("{} runs {id} from event {first}", replica.id));
    let answer = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Seal: seal.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(answer.as_bytes())?;
    for number in first..first_event() + EVENTS {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        replica
            .record
            .line(&format!("{} wrote event {number} of {id}", replica.id));
        thread::sleep(EVENT_GAP);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Numbers of the events of one stream, which must end as complete.
fn read_stream(id: u64, edge: &str) -> io::Result<Vec<u64>> {
    let mut stream = TcpStream::connect(edge)?;
    stream.set_read_timeout(Some(Duration::from_secs(16)))?;
    let request = format!(
        "POST /draft/{id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id:016x}\r\nModel: m\r\nToken-Count: 500,20\r\nPrompt-Prefix: aa:400,{:x}:100\r\nTime-Budget: 15000\r\nContent-Length: 5\r\n\r\ndraft",
        id + 256
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Err(io::Error::other(format!("status {}", head.status())));
    }
    let mut events = Vec::new();
    loop {
        let mut size = String::new();
        reader.read_line(&mut size)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(events);
        }
        let text = String::from_utf8_lossy(&chunk[..size]).into_owned();
        events.extend(
            text.lines()
                .filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok()),
        );
    }
}
