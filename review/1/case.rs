//! Desired states with many routes come in quick succession. Plays the platform's memory limit, and reads the desired
//! state back at the end.

#[path = "../common/harness.rs"]
mod harness;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Cluster, Record, call, cannot_run, config, has_trouble, put_config, watch_memory};

/// Routes that the disruption adds: `big_config` with count 350, twice.
const ADDED_ROUTES: usize = 700;
/// Pause between two changes of one operator (`gap_s` of `config_storm`).
const CHANGE_GAP: Duration = Duration::from_millis(260);
/// Operators, of which each sends complete desired states.
const OPERATORS: usize = 2;
/// Time for which changes are made.
const CHANGE_TIME: Duration = Duration::from_secs(85);
/// Time without an acknowledgement after which no more changes are made.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for which the operator reads the desired state; more than `contact_ms` and `outer_ms` together.
const READ_TIME: Duration = Duration::from_secs(12);

static NEXT_VERSION: AtomicU64 = AtomicU64::new(1);
static ACKNOWLEDGED: AtomicU64 = AtomicU64::new(0);

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(Path::new(&path));
    let cluster = Cluster::new(5, 1);
    cluster.start_all();
    if !change(&cluster, &record, 0, Duration::from_secs(20)) {
        cannot_run(
            &cluster,
            &record,
            "the first desired state was not acknowledged",
        );
    }
    let ends = watch_memory(&cluster, &record);
    let added = if has_trouble() { ADDED_ROUTES } else { 0 };
    let started = Instant::now();
    let operators = (0..OPERATORS).map(|_| {
        let (cluster, record) = (cluster.clone(), record.clone());
        thread::spawn(move || {
            while started.elapsed() < CHANGE_TIME && change(&cluster, &record, added, PATIENCE) {
                thread::sleep(CHANGE_GAP);
            }
        })
    });
    let operators: Vec<_> = operators.collect();
    for operator in operators {
        let _ = operator.join();
    }
    let acknowledged = ACKNOWLEDGED.load(Ordering::SeqCst);
    let newest = read_back(&cluster, &record, acknowledged);
    let killed = ends.lock().unwrap().len();
    cluster.stop();
    let read = newest.map_or("none could be read".to_owned(), |v| {
        format!("version {v} was read")
    });
    let verdict = format!(
        "version {acknowledged} was acknowledged, {read}; {killed} processes ended by their memory"
    );
    record.line(&verdict);
    println!("{verdict}");
    std::process::exit(i32::from(
        newest.is_none_or(|version| version < acknowledged),
    ));
}

/// Sends the next desired state until it is acknowledged.
fn change(cluster: &Arc<Cluster>, record: &Record, added: usize, patience: Duration) -> bool {
    let version = NEXT_VERSION.fetch_add(1, Ordering::SeqCst);
    let route = |k: usize| {
        format!(
            "{{\"name\":\"r-{k:07}\",\"host\":\"shop.example\",\"path_prefix\":\"/part{k:04}/\",\"kind\":\"idempotent\",\"timeout_ms\":{},\"slo_ms\":300,\"priority\":1,\"service\":\"files\",\"max_attempts\":2,\"public\":false,\"affinity\":false,\"resumable\":false}}",
            2000 + version % 1000
        )
    };
    let routes: Vec<String> = (0..=added).map(route).collect();
    let service =
        r#"{"name":"files","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}"#;
    let tenant = r#"{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}"#;
    let state = config(version, &routes, &[service.into()], &[tenant.into()]);
    let done = put_config(cluster, &state, patience);
    if done {
        ACKNOWLEDGED.fetch_max(version, Ordering::SeqCst);
    }
    if version % 50 == 1 || !done {
        let memory: Vec<u64> = cluster
            .cores()
            .map(|core| core.memory_kib().unwrap_or(0))
            .collect();
        let answer = if done {
            "acknowledged"
        } else {
            "not acknowledged"
        };
        record.line(&format!(
            "version {version}, {} bytes: {answer}; memory of the core in KiB: {memory:?}",
            state.len()
        ));
    }
    done
}

/// Reads the desired state at all nodes in turn, until one answers with the acknowledged version or the time is over.
fn read_back(cluster: &Arc<Cluster>, record: &Record, acknowledged: u64) -> Option<u64> {
    let started = Instant::now();
    let mut newest = None;
    while started.elapsed() < READ_TIME {
        for core in cluster.cores() {
            let address = format!("{}:{}", core.ip, cluster.control);
            let answer = call(&address, "GET", "/-/config", b"", Duration::from_secs(1));
            match answer {
                Ok((200, body)) => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let version = text
                        .strip_prefix("{\"version\":")
                        .and_then(|t| t.split(',').next()?.parse().ok());
                    record.line(&format!("{} read: version {version:?}", core.name));
                    newest = newest.max(version);
                }
                Ok((status, _)) => record.line(&format!("{} read: {status}", core.name)),
                Err(error) => record.line(&format!("{} read: {error}", core.name)),
            }
        }
        if newest.is_some_and(|version| version >= acknowledged) {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    newest
}
