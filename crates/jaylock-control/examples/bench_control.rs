//! Measures three replicas, each with its own thread and data folder: commits per second with
//! synced disks, the time without a leader after a kill, and the recovery after 10,000 changes.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::Runtime;
use futures_channel::oneshot;
use futures_util::future::{join_all, select};
use jaylock_control::{ClientSettings, ControlClient, FileDisk, Replica, ReplicaSettings};
use jaylock_rpc::v1::command::Body;
use jaylock_rpc::v1::{Command, Member, Organisation};
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve};

const REPLICAS: usize = 3;
const CHANGES: usize = 10_000;
const LEADER_KILLS: usize = 20;
/// Number of organisations that the changes are distributed over.
const ORGANISATIONS: usize = 800;
/// Concurrent callers of each row in the first table.
const CALLERS: [usize; 3] = [1, 16, 64];

struct Node {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

fn main() {
    let folders: Vec<_> = (0..REPLICAS)
        .map(|_| tempfile::tempdir_in(".").expect("a folder"))
        .collect();
    let members = members();
    let start = |at: usize| start(members[at].clone(), members.clone(), folders[at].path());
    let mut nodes: Vec<Option<Node>> = (0..REPLICAS).map(|at| Some(start(at))).collect();
    let runtime = Runtime::new().expect("a runtime");
    let client = client(&members);
    println!("callers  commits/s  time per commit");
    let mut done = 0;
    for callers in CALLERS {
        let count = CHANGES / CALLERS.len() + 1;
        runtime.block_on(measure_commits(&client, callers, done..done + count));
        done += count;
    }
    println!("\nkills: time from the kill of the leader to the next commit");
    let gaps: Vec<Duration> = (0..LEADER_KILLS)
        .map(|round| {
            let leader = runtime.block_on(find_leader(&client, &members));
            let node = nodes[leader].take().expect("a node");
            let killed_at = Instant::now();
            let _ = node.stop.send(());
            node.thread.join().expect("an end");
            runtime.block_on(commit(&client, done + round));
            let gap = killed_at.elapsed();
            nodes[leader] = Some(start(leader));
            std::thread::sleep(Duration::from_millis(1500));
            gap
        })
        .collect();
    print_row("", gaps);
    for node in nodes.into_iter().flatten() {
        let _ = node.stop.send(());
        node.thread.join().expect("an end");
    }
    measure_recovery(&members, folders[0].path());
}

fn members() -> Vec<Member> {
    let free = |at: usize| {
        let listener = StdListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        Member {
            instance: format!("r{at}"),
            peer_address: address.to_string(),
            domain: format!("d{at}"),
            ..Member::default()
        }
    };
    (0..REPLICAS).map(free).collect()
}

fn start(identity: Member, bootstrap: Vec<Member>, folder: &Path) -> Node {
    let folder = folder.to_owned();
    let (stop, stopped) = oneshot::channel();
    let thread = std::thread::spawn(move || {
        let running = run(identity, bootstrap, &folder, stopped);
        Runtime::new().expect("a runtime").block_on(running);
    });
    Node { stop, thread }
}

async fn run(
    identity: Member,
    bootstrap: Vec<Member>,
    folder: &Path,
    stopped: oneshot::Receiver<()>,
) {
    let disk = FileDisk::open(folder).await.expect("a data folder");
    let address: SocketAddr = identity.peer_address.parse().expect("an address");
    let listener = TcpListener::bind(address).await.expect("a port");
    let settings = ReplicaSettings::default();
    let replica = Replica::open(identity, bootstrap, disk, settings).await;
    let replica = replica.expect("a replica");
    let (peers, control) = replica.services();
    let routes = Routes::default()
        .with(Access::Instances, peers)
        .with(Access::Instances, control);
    let serving = serve(listener, routes, ServerSettings::default());
    let working = async { futures_util::join!(serving, replica.run()) };
    select(std::pin::pin!(working), stopped).await;
}

fn client(members: &[Member]) -> ControlClient {
    let seeds = members
        .iter()
        .map(|m| m.peer_address.parse().expect("an address"));
    let settings = ClientSettings {
        retry_delay: Duration::from_millis(5),
        reply_timeout: Duration::from_millis(300),
        ..ClientSettings::default()
    };
    ControlClient::new(seeds.collect(), ChannelSettings::default(), settings)
}

async fn commit(client: &ControlClient, at: usize) {
    let command = Command {
        id: format!("change-{at}"),
        expected_revision: None,
        body: Some(Body::PutOrganisation(Organisation {
            id: format!("organisation-{}", at % ORGANISATIONS),
            weight: u32::try_from(at % 9 + 1).expect("a weight"),
            ..Organisation::default()
        })),
    };
    client.propose(command).await.expect("a reply");
}

async fn measure_commits(client: &ControlClient, callers: usize, range: std::ops::Range<usize>) {
    commit(client, range.end + CHANGES).await;
    let started = Instant::now();
    let count = range.len();
    let run_caller = async |from: usize| {
        let mut times = Vec::new();
        for at in (range.start + from..range.end).step_by(callers) {
            let sent = Instant::now();
            commit(client, at).await;
            times.push(sent.elapsed());
        }
        times
    };
    let times: Vec<Vec<Duration>> = join_all((0..callers).map(run_caller)).await;
    let rate = count as u128 * 1000 / started.elapsed().as_millis().max(1);
    print_row(&format!("{callers:7}  {rate:9}"), times.concat());
}

/// Index of the replica that became leader according to the newest event.
async fn find_leader(client: &ControlClient, members: &[Member]) -> usize {
    let events = client.events(u32::MAX).await.expect("events").events;
    let leader = events
        .iter()
        .rev()
        .find_map(|e| e.text.strip_suffix(" leads"));
    let leader = leader.expect("a leader");
    members
        .iter()
        .position(|m| m.instance == leader)
        .expect("a member")
}

fn print_row(head: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1000.0;
    println!(
        "{head}  p50 {:.1} ms  p99 {:.1} ms  max {:.1} ms",
        at(50),
        at(99),
        at(100)
    );
}

/// Measures opening a replica with the data of the previous measurements.
fn measure_recovery(members: &[Member], folder: &Path) {
    let runtime = Runtime::new().expect("a runtime");
    let before = resident_kib();
    let started = Instant::now();
    let replica = runtime.block_on(async {
        let disk = FileDisk::open(folder).await.expect("a data folder");
        let settings = ReplicaSettings::default();
        Replica::open(members[0].clone(), members.to_vec(), disk, settings).await
    });
    let recovery_time = started.elapsed();
    let after = resident_kib();
    let bytes = |name| std::fs::metadata(folder.join(name)).map_or(0, |m| m.len());
    println!(
        "\nrecovery after {CHANGES} changes: {:.1} ms, {} KiB more memory, snapshot {} KiB, log {} KiB",
        recovery_time.as_secs_f64() * 1000.0,
        after.saturating_sub(before),
        bytes("snapshot") / 1024,
        bytes("log") / 1024,
    );
    drop(replica);
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().next());
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}
