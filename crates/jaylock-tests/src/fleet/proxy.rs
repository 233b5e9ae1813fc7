use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between checks for the end of a disconnection, and between lookups of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of lookups of the process that opened a connection.
const MAX_LOOKUPS: usize = 50;

/// Processes and disconnections of the instances, shared by all proxies.
pub struct Network {
    /// Process id of each instance; 0 while the instance is down.
    pub pids: Vec<u32>,
    /// Whether each instance is disconnected from the others, without a reset or an error.
    pub disconnected: Vec<bool>,
}

impl Network {
    /// Creates the state for a number of instances, none of which runs.
    pub fn new(instances: usize) -> Self {
        Self {
            pids: vec![0; instances],
            disconnected: vec![false; instances],
        }
    }
}

/// Starts a TCP proxy for an instance that delays the bytes while either end is disconnected.
///
/// Delayed bytes arrive when the disconnection ends, as TCP retransmissions would.
pub fn start_proxy(
    network: &Arc<Mutex<Network>>,
    listen: SocketAddr,
    target: SocketAddr,
    index: usize,
) {
    let listener = TcpListener::bind(listen).expect("the port of the proxy is free");
    let network = network.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let network = network.clone();
            thread::spawn(move || {
                let _ = relay(&network, client, target, index);
            });
        }
    });
}

fn relay(
    network: &Arc<Mutex<Network>>,
    client: TcpStream,
    target: SocketAddr,
    index: usize,
) -> io::Result<()> {
    let source = find_source(network, &client)?;
    wait_until_connected(network, source, index);
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_writer, server_writer) = (client.try_clone()?, server.try_clone()?);
    let shared = network.clone();
    thread::spawn(move || copy(&shared, server, client_writer, (source, index)));
    copy(network, client, server_writer, (source, index));
    Ok(())
}

fn copy(
    network: &Arc<Mutex<Network>>,
    mut from: TcpStream,
    mut to: TcpStream,
    ends: (Option<usize>, usize),
) {
    let mut buffer = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        wait_until_connected(network, ends.0, ends.1);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    wait_until_connected(network, ends.0, ends.1);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn wait_until_connected(network: &Arc<Mutex<Network>>, source: Option<usize>, index: usize) {
    loop {
        let network = network.lock().expect("the lock is not poisoned");
        let is_disconnected = network.disconnected[index]
            || source.is_some_and(|source| network.disconnected[source]);
        drop(network);
        if !is_disconnected {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Finds the instance whose process opened a connection; `None` when no process has the socket.
fn find_source(network: &Arc<Mutex<Network>>, client: &TcpStream) -> io::Result<Option<usize>> {
    let ends = (client.peer_addr()?.port(), client.local_addr()?.port());
    for _ in 0..MAX_LOOKUPS {
        let pids = network
            .lock()
            .expect("the lock is not poisoned")
            .pids
            .clone();
        let socket = find_socket(ends);
        let source =
            socket.and_then(|socket| pids.iter().position(|pid| has_socket(*pid, &socket)));
        if source.is_some() {
            return Ok(source);
        }
        // The id of a process that has just started is recorded a moment later.
        thread::sleep(POLL_INTERVAL);
    }
    Ok(None)
}

/// Finds the socket between two local ports and returns its name in `/proc/PID/fd`.
fn find_socket((from, to): (u16, u16)) -> Option<String> {
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    // Two connections may share the source port, but not both ports.
    let row = rows.find(|row| row.len() > 9 && row[1].ends_with(&from) && row[2].ends_with(&to))?;
    Some(format!("socket:[{}]", row[9]))
}

fn has_socket(pid: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut links = descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok());
    links.any(|link| link.to_str() == Some(socket))
}
