//! Starts a small deployment of the project's programs on loopback addresses, and speaks the calls of the pages.
//!
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/jaylock-node";
/// Template of settings of the deploy file.
const TEMPLATE: &str = "deploy/node.ini";
/// `memory_mb` of a machine with a disk, as on the sheet.
pub const CORE_MEMORY_MB: u64 = 256;
/// `memory_mb` of a machine without one, as on the sheet.
pub const EDGE_MEMORY_MB: u64 = 260;
/// Time between two pings of a replica (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let time = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} {text}");
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Ends the process as a case that could not run.
pub fn cannot_run(cluster: &Cluster, record: &Record, reason: &str) -> ! {
    record.line(&format!("the case could not run: {reason}"));
    eprintln!("could not run: {reason}");
    cluster.stop();
    std::process::exit(2);
}

/// Whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// A machine of the deployment with its one process.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub is_core: bool,
    zone: String,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The machines of a small deployment.
pub struct Cluster {
    pub nodes: Vec<Arc<Node>>,
    pub front: u16,
    pub control: u16,
    ready: u16,
    directory: u16,
    internal: u16,
    folder: PathBuf,
    template: String,
    /// Whether no process may be started any more.
    is_stopped: Mutex<bool>,
}

impl Cluster {
    /// Prepares machines; none runs yet.
    pub fn new(cores: usize, edges: usize) -> Arc<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("jaylock-review-{id}-{}", unix_ms()));
        let (second, third) = (1 + id / 250 % 250, 1 + id % 250);
        let ip = |k: usize| format!("127.{second}.{third}.{}", k + 1);
        let ips: Vec<String> = (0..cores + edges).map(ip).collect();
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_port(&ips);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let nodes = ips.iter().enumerate().map(|(k, ip)| {
            let is_core = k < cores;
            let name = if is_core {
                format!("core-{k}")
            } else {
                format!("edge-{}", k - cores)
            };
            let node_folder = folder.join(&name);
            fs::create_dir_all(&node_folder).expect("a temporary folder can be made");
            Arc::new(Node {
                name,
                ip: ip.clone(),
                is_core,
                zone: format!("z{}", k % 3),
                folder: node_folder,
                child: Mutex::new(None),
            })
        });
        let nodes = nodes.collect();
        let template = fs::read_to_string(TEMPLATE).expect("run this in the repository");
        Arc::new(Self {
            nodes,
            front: ports[0],
            control: ports[1],
            ready: ports[2],
            directory: ports[3],
            internal: ports[4],
            folder,
            template,
            is_stopped: Mutex::new(false),
        })
    }

    pub fn cores(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes.iter().filter(|node| node.is_core)
    }

    pub fn edges(&self) -> impl Iterator<Item = &Arc<Node>> {
        self.nodes.iter().filter(|node| !node.is_core)
    }

    /// Starts all machines for the first time.
    pub fn start_all(&self) {
        for node in &self.nodes {
            self.start(node, true);
        }
    }

    /// Starts the process of a machine with the settings that the template gives.
    pub fn start(&self, node: &Node, bootstrap: bool) {
        let is_stopped = self.is_stopped.lock().unwrap();
        if *is_stopped {
            return;
        }
        let settings = node.folder.join("node.ini");
        fs::write(&settings, self.settings(node, bootstrap)).expect("settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(node.folder.join("log"));
        let log = log.expect("a log can be written");
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log can be written"))
            .stderr(log)
            .spawn();
        *node.child.lock().unwrap() = Some(child.expect("build the deploy file first"));
    }

    fn settings(&self, node: &Node, bootstrap: bool) -> String {
        let mut fields = BTreeMap::new();
        let mut set = |name: &str, value: String| {
            fields.insert(name.to_owned(), value);
        };
        set("node_name", node.name.clone());
        set("zone", node.zone.clone());
        set("ip", node.ip.clone());
        set("internal_ports.0", self.internal.to_string());
        let seeds = self
            .cores()
            .take(3)
            .map(|core| format!("{}:{}", core.ip, self.control));
        set("seeds", seeds.collect::<Vec<_>>().join(","));
        set("bootstrap", bootstrap.to_string());
        set("fault_tolerance.machines", "1".into());
        set("bounds.budget_slack", "56".into());
        set("bounds.grace_s", "8".into());
        set("bounds.pass_ms", "120".into());
        if node.is_core {
            set("limits.memory_mb", CORE_MEMORY_MB.to_string());
            set("data_dir", node.folder.join("data").display().to_string());
            set("listen.control", format!("{}:{}", node.ip, self.control));
            set(
                "listen.directory",
                format!("{}:{}", node.ip, self.directory),
            );
        } else {
            set("limits.memory_mb", EDGE_MEMORY_MB.to_string());
            set("listen.front", format!("{}:{}", node.ip, self.front));
            set("listen.ready", format!("{}:{}", node.ip, self.ready));
        }
        render(&self.template, &fields)
    }

    /// Ends all processes that this deployment started.
    pub fn stop(&self) {
        *self.is_stopped.lock().unwrap() = true;
        for node in &self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Node {
    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Resident memory of the process in KiB.
    pub fn memory_kib(&self) -> Option<u64> {
        let id = self.child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}

/// Plays what the pages say of memory: a process that uses more than its limit is killed, and started again.
///
/// Returns the list of such ends, as names of machines.
pub fn watch_memory(cluster: &Arc<Cluster>, record: &Record) -> Arc<Mutex<Vec<String>>> {
    let ends = Arc::new(Mutex::new(Vec::new()));
    for node in &cluster.nodes {
        let (cluster, node, record, ends) =
            (cluster.clone(), node.clone(), record.clone(), ends.clone());
        thread::spawn(move || {
            let limit_mb = if node.is_core {
                CORE_MEMORY_MB
            } else {
                EDGE_MEMORY_MB
            };
            loop {
                thread::sleep(Duration::from_millis(10));
                let Some(memory) = node.memory_kib() else {
                    continue;
                };
                if memory <= limit_mb * 1024 {
                    continue;
                }
                node.kill();
                record.line(&format!(
                    "{} used {memory} KiB of {} KiB and was killed",
                    node.name,
                    limit_mb * 1024
                ));
                ends.lock().unwrap().push(node.name.clone());
                thread::sleep(Duration::from_millis(500));
                cluster.start(&node, false);
            }
        });
    }
    ends
}

/// Fills in the template: values, and sections that stand or not, as the pages describe them.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let Some(begin) = template.find("{{") else {
        return template.to_owned();
    };
    let (before, rest) = (&template[..begin], &template[begin + 2..]);
    let end = rest.find("}}").expect("a placeholder ends");
    let (name, after) = (&rest[..end], &rest[end + 2..]);
    let sign = name.chars().next().unwrap_or(' ');
    if sign == '#' || sign == '^' {
        let close = format!("{{{{/{}}}}}", &name[1..]);
        let length = after.find(&close).expect("a section ends");
        let (body, after) = (&after[..length], &after[length + close.len()..]);
        let value = fields.get(&name[1..]);
        let stands = value.is_some_and(|value| value != "false") == (sign == '#');
        let body = if stands {
            render(body, fields)
        } else {
            String::new()
        };
        return format!("{before}{body}{}", render(after, fields));
    }
    let value = fields.get(name).map_or("", String::as_str);
    format!("{before}{value}{}", render(after, fields))
}

fn free_port(ips: &[String]) -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let port = listener.local_addr().expect("a bound port").port();
        if ips
            .iter()
            .all(|ip| TcpListener::bind((ip.as_str(), port)).is_ok())
        {
            return port;
        }
    }
}

/// Head of a request or a response.
pub struct Head {
    pub first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` at the end of the channel.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Self {
            first: first.trim_end().to_owned(),
            headers,
        }))
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Calls an interface of the system on a new channel; returns status and body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut answer = vec![0; head.length()];
    reader.read_exact(&mut answer)?;
    Ok((head.status(), answer))
}

/// Sends a desired state until it is acknowledged, to one node after the other; `false` if it is not within `patience`.
pub fn put_config(cluster: &Cluster, body: &str, patience: Duration) -> bool {
    let started = Instant::now();
    let cores: Vec<&Arc<Node>> = cluster.cores().collect();
    for attempt in 0.. {
        let node = cores[attempt % cores.len()];
        let address = format!("{}:{}", node.ip, cluster.control);
        match call(
            &address,
            "PUT",
            "/-/config",
            body.as_bytes(),
            Duration::from_secs(1),
        ) {
            Ok((200, _)) => return true,
            Ok((400 | 409 | 412 | 413 | 422, answer)) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                eprintln!("a valid state is refused: {answer}");
                return false;
            }
            _ if started.elapsed() > patience => return false,
            _ => thread::sleep(Duration::from_millis(200)),
        }
    }
    false
}

/// A desired state with the usual limits.
pub fn config(version: u64, routes: &[String], services: &[String], tenants: &[String]) -> String {
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!(",\"tenants\":[{}]", tenants.join(","))
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":350000}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Handles one request of a replica; returns whether the channel goes on.
pub type Handler =
    fn(&Replica, &Head, &mut BufReader<TcpStream>, &mut TcpStream) -> io::Result<bool>;

/// A replica of a service, which may start again under its id.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Whether it names a model in what it says of itself.
    pub is_engine: bool,
    pub address: SocketAddr,
    pub record: Record,
    handler: Handler,
    boot: Mutex<Boot>,
    channels: Mutex<Vec<TcpStream>>,
}

/// One start of a replica.
#[derive(Clone)]
pub struct Boot {
    pub number: u64,
    pub version: String,
    pub born: u64,
}

impl Replica {
    /// Starts a replica and its pings.
    pub fn start(
        cluster: &Arc<Cluster>,
        record: &Record,
        id: &str,
        service: &str,
        slots: u32,
        is_engine: bool,
        handler: Handler,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
        let replica = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: "z0".into(),
            slots,
            is_engine,
            address: listener.local_addr().expect("a bound port"),
            record: record.clone(),
            handler,
            boot: Mutex::new(Boot {
                number: 1,
                version: "v1".into(),
                born: unix_ms(),
            }),
            channels: Mutex::default(),
        });
        replica.clone().accept(listener);
        replica
            .clone()
            .send_pings(cluster.clone(), 1, Duration::ZERO);
        replica
    }

    /// Accepts channels until the process ends.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let number = self.boot().number;
        listener
            .set_nonblocking(true)
            .expect("a socket that doesn't block");
        thread::spawn(move || {
            while self.boot().number == number {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(channel) = stream.try_clone() {
                    self.channels.lock().unwrap().push(channel);
                }
                let replica = self.clone();
                thread::spawn(move || {
                    let _ = replica.serve(stream);
                });
            }
        });
    }

    pub fn boot(&self) -> Boot {
        self.boot.lock().unwrap().clone()
    }

    /// Ends the process, which closes its channels and its listening socket, and starts it again after `down_time` under
    /// its id, with another version of its software. The first ping is sent `first_ping` after the start.
    pub fn start_again(
        self: &Arc<Self>,
        cluster: &Arc<Cluster>,
        version: &str,
        down_time: Duration,
        first_ping: Duration,
    ) {
        let number = {
            let mut boot = self.boot.lock().unwrap();
            *boot = Boot {
                number: boot.number + 1,
                version: version.into(),
                born: unix_ms() + down_time.as_millis() as u64,
            };
            boot.number
        };
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        self.record.line(&format!("{} ends", self.id));
        let (replica, cluster, version) = (self.clone(), cluster.clone(), version.to_owned());
        thread::spawn(move || {
            thread::sleep(down_time);
            let listener = TcpListener::bind(replica.address).expect("the address is free again");
            replica.clone().accept(listener);
            replica.record.line(&format!(
                "{} starts again with version {version}",
                replica.id
            ));
            replica.send_pings(cluster, number, first_ping);
        });
    }

    fn send_pings(self: Arc<Self>, cluster: Arc<Cluster>, number: u64, first_ping: Duration) {
        thread::spawn(move || {
            thread::sleep(first_ping);
            for sequence in 1.. {
                let boot = self.boot();
                if boot.number != number {
                    return;
                }
                self.ping(&cluster, &boot, sequence);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn ping(&self, cluster: &Cluster, boot: &Boot, sequence: u64) {
        let engine = if self.is_engine {
            ",\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
        } else {
            ""
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{}{engine}}}",
            self.service, self.address, self.zone, boot.version, self.slots, boot.born
        );
        for node in cluster.cores() {
            let address = format!("{}:{}", node.ip, cluster.control);
            let path = format!("/-/replicas/{}", self.id);
            let answer = call(
                &address,
                "PUT",
                &path,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if matches!(answer, Ok((200..=299, _))) {
                if sequence == 1 {
                    self.record.line(&format!(
                        "{} told {} that it runs version {}",
                        self.id, node.name, boot.version
                    ));
                }
                return;
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::with_capacity(1 << 16, stream.try_clone()?);
        while let Some(head) = Head::read(&mut reader)? {
            if head.first.starts_with("GET /health ") {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if head.get("expect-replica").is_some_and(|id| id != self.id) {
                io::copy(
                    &mut (&mut reader).take(head.length() as u64),
                    &mut io::sink(),
                )?;
                let id = head.get("attempt-id").unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 421 Misdirected\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if !(self.handler)(self, &head, &mut reader, &mut stream)? {
                break;
            }
        }
        Ok(())
    }
}
