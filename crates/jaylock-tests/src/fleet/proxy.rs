use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between two looks at whether a cut has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks for the process behind a connection.
const MAX_LOOKUPS: usize = 50;

/// Which instances run as which process, and which are cut off; shared by all forwarders.
pub struct Network {
    /// Process ids by instance; 0 while it is down.
    pub pids: Vec<u32>,
    /// Whether an instance is cut off from the others, in silence.
    pub disconnected: Vec<bool>,
}

impl Network {
    /// A network of so many instances, of which none runs.
    pub fn new(instances: usize) -> Self {
        Self {
            pids: vec![0; instances],
            disconnected: vec![false; instances],
        }
    }
}

/// Passes connections on to an instance, and holds their bytes back while either end is cut off.
///
/// Bytes that were held back arrive when the cut ends, as TCP would deliver them again.
pub fn start_proxy(
    network: &Arc<Mutex<Network>>,
    listen: SocketAddr,
    target: SocketAddr,
    index: usize,
) {
    let listener = TcpListener::bind(listen).expect("the forwarder's port is free");
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
        let network = network.lock().expect("a lock");
        let is_disconnected = network.disconnected[index]
            || source.is_some_and(|source| network.disconnected[source]);
        drop(network);
        if !is_disconnected {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The instance whose process opened a connection; `None` when it has gone.
fn find_source(network: &Arc<Mutex<Network>>, client: &TcpStream) -> io::Result<Option<usize>> {
    let ends = (client.peer_addr()?.port(), client.local_addr()?.port());
    for _ in 0..MAX_LOOKUPS {
        let pids = network.lock().expect("a lock").pids.clone();
        let socket = find_socket(ends);
        let source =
            socket.and_then(|socket| pids.iter().position(|pid| has_socket(*pid, &socket)));
        if source.is_some() {
            return Ok(source);
        }
        // A process that has just begun is noted a moment later.
        thread::sleep(POLL_INTERVAL);
    }
    Ok(None)
}

/// The socket between two local ports, as the system lists it.
fn find_socket((from, to): (u16, u16)) -> Option<String> {
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    // Two connections may share the port they come from, but not both ports.
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
