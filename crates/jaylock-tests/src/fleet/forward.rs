use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time between two looks at whether a cut has ended.
const PAUSE: Duration = Duration::from_millis(10);

/// Looks for the process behind a connection.
const LOOKS: usize = 50;

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
    let source = source_of(network, &caller)?;
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

/// The instance whose process opened a connection; `None` when it has gone.
fn source_of(network: &Arc<Mutex<Network>>, caller: &TcpStream) -> io::Result<Option<usize>> {
    let ends = (caller.peer_addr()?.port(), caller.local_addr()?.port());
    for _ in 0..LOOKS {
        let pids = network.lock().expect("a lock").pids.clone();
        let inode = inode_of(ends);
        let found = inode.and_then(|inode| pids.iter().position(|pid| holds(*pid, &inode)));
        if found.is_some() {
            return Ok(found);
        }
        // A process that has just begun is noted a moment later.
        thread::sleep(PAUSE);
    }
    Ok(None)
}

/// The socket between two local ports, as the system lists it.
fn inode_of((from, to): (u16, u16)) -> Option<String> {
    let (from, to) = (format!(":{from:04X}"), format!(":{to:04X}"));
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    // Two connections may share the port they come from, but not both ports.
    let found =
        rows.find(|row| row.len() > 9 && row[1].ends_with(&from) && row[2].ends_with(&to))?;
    Some(format!("socket:[{}]", found[9]))
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
