use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between two looks at whether a cut has ended.
const PAUSE: Duration = Duration::from_millis(10);

/// Which instances run as which process, and which are cut off; shared by all forwarders.
pub struct Network {
    /// Process ids by instance; 0 while it is down.
    pub pids: Vec<u32>,
    /// Whether an instance is cut off from the others, in silence.
    pub cut: Vec<bool>,
}

impl Network {
    /// A network of so many instances, of which none runs.
    pub fn new(instances: usize) -> Self {
        Self {
            pids: vec![0; instances],
            cut: vec![false; instances],
        }
    }
}

/// Passes connections on to an instance, and holds their bytes back while either end is cut off.
///
/// Bytes that were held back arrive when the cut ends, as TCP would deliver them again.
pub fn forward(network: &Arc<Mutex<Network>>, from: SocketAddr, to: SocketAddr, place: usize) {
    let listener = TcpListener::bind(from).expect("the forwarder's port is free");
    let network = network.clone();
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let network = network.clone();
            thread::spawn(move || {
                let _ = pass(&network, caller, to, place);
            });
        }
    });
}

fn pass(
    network: &Arc<Mutex<Network>>,
    caller: TcpStream,
    to: SocketAddr,
    place: usize,
) -> io::Result<()> {
    let source = source_of(network, caller.peer_addr()?.port());
    wait_uncut(network, source, place);
    let target = TcpStream::connect(to)?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let (back, forth) = (caller.try_clone()?, target.try_clone()?);
    let shared = network.clone();
    thread::spawn(move || copy(&shared, target, back, (source, place)));
    copy(network, caller, forth, (source, place));
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
        wait_uncut(network, ends.0, ends.1);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    wait_uncut(network, ends.0, ends.1);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn wait_uncut(network: &Arc<Mutex<Network>>, source: Option<usize>, place: usize) {
    loop {
        let network = network.lock().expect("a lock");
        let is_cut = network.cut[place] || source.is_some_and(|source| network.cut[source]);
        drop(network);
        if !is_cut {
            return;
        }
        thread::sleep(PAUSE);
    }
}

/// The instance whose process opened a connection from a port; `None` for the test itself.
fn source_of(network: &Arc<Mutex<Network>>, port: u16) -> Option<usize> {
    let inode = inode_of(port)?;
    let pids = network.lock().expect("a lock").pids.clone();
    pids.iter().position(|pid| holds(*pid, &inode))
}

/// The socket behind a local port, as the system lists it.
fn inode_of(port: u16) -> Option<String> {
    let suffix = format!(":{port:04X}");
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let found = rows.find(|row| row.get(1).is_some_and(|local| local.ends_with(&suffix)))?;
    found.get(9).map(|inode| format!("socket:[{inode}]"))
}

fn holds(pid: u32, socket: &str) -> bool {
    let Ok(handles) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut links = handles
        .flatten()
        .filter_map(|handle| fs::read_link(handle.path()).ok());
    links.any(|link| link.to_str() == Some(socket))
}
