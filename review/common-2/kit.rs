//! A small deployment of `jaylock-node` processes on loopback addresses, with stand-ins for replicas, clients, the
//! operator and the platform. Uses nothing but the standard library.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Key of the only tenant of [`document`].
pub const KEY: &str = "k7b2ex5wa5xwyhks8nbk";

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &str) {
    let file = File::create(Path::new(folder).join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Mutex::new(file));
    let _ = STARTED.set(Instant::now());
}

/// Milliseconds since the record was opened.
pub fn now_ms() -> u64 {
    STARTED.get().map_or(0, |at| at.elapsed().as_millis() as u64)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

/// Writes a line with its time to the record.
pub fn record(text: &str) {
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>7} ms  {text}", now_ms());
    }
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    record(text);
    println!("{:>7} ms  {text}", now_ms());
}

/// Ends the case because it could not run.
pub fn cannot_run(fleet: &mut Fleet, reason: &str) -> ! {
    say(&format!("the case could not run: {reason}"));
    fleet.stop();
    std::process::exit(2);
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(seconds: u64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(20);
    }
    false
}

/// A field of a settings template.
#[derive(Clone)]
enum Value {
    Text(String),
    Flag(bool),
    List(Vec<String>),
}

/// Size of the machines' process limits, as the sheet of the site gives them.
pub struct Sizes {
    pub cores: usize,
    pub edges: usize,
    pub zones: usize,
    pub cpu_share: &'static str,
}

pub struct Machine {
    pub name: String,
    pub ip: String,
    pub is_core: bool,
    pub zone: String,
    child: Option<Child>,
    starts: usize,
}

/// The processes of a deployment, ended when this value is dropped.
pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    pub machines: Vec<Machine>,
    seeds: Vec<String>,
    cpu_share: &'static str,
}

const FRONT: u16 = 8783;
const READY: u16 = 8780;
const CONTROL: u16 = 8785;
const DIRECTORY: u16 = 8789;

impl Fleet {
    /// Creates the machines; core machines first. Nothing runs yet.
    pub fn new(sizes: Sizes) -> Self {
        let root = std::env::current_dir().expect("a folder");
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("jaylock-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = format!("127.{}.{}", 16 + pid % 200, 1 + (pid / 200) % 250);
        let total = sizes.cores + sizes.edges;
        let machines: Vec<Machine> = (0..total)
            .map(|at| {
                let is_core = at < sizes.cores;
                let (class, number) = if is_core { ("core", at) } else { ("edge", at - sizes.cores) };
                let zone = format!("zone-{}", (b'a' + (number % sizes.zones) as u8) as char);
                Machine {
                    name: format!("{class}-{zone}-{}", 1 + number / sizes.zones),
                    ip: format!("{net}.{}", 10 + at),
                    is_core,
                    zone,
                    child: None,
                    starts: 0,
                }
            })
            .collect();
        let seeds = machines.iter().take(sizes.cores.min(3)).map(|m| format!("{}:{CONTROL}", m.ip)).collect();
        Self { root, folder, machines, seeds, cpu_share: sizes.cpu_share }
    }

    /// Another loopback address, for stand-ins.
    pub fn address(&self, at: usize, port: u16) -> SocketAddr {
        let net = self.machines[0].ip.rsplit_once('.').expect("an address").0;
        format!("{net}.{}:{port}", 100 + at).parse().expect("an address")
    }

    fn settings(&self, at: usize, bootstrap: bool) -> String {
        let machine = &self.machines[at];
        let mut fields: HashMap<&str, Value> = HashMap::new();
        let mut put = |name, value: String| {
            fields.insert(name, Value::Text(value));
        };
        put("node_name", machine.name.clone());
        put("zone", machine.zone.clone());
        put("ip", machine.ip.clone());
        put("internal_ports.0", "7400".into());
        put("internal_ports.1", "7415".into());
        put("bounds.budget_slack", "56".into());
        put("bounds.grace_s", "8".into());
        put("bounds.pass_ms", "120".into());
        put("limits.memory_mb", "260".into());
        put("limits.cpu_share", self.cpu_share.into());
        put("limits.max_fds", "4100".into());
        put("fault_tolerance.machines", "1".into());
        if machine.is_core {
            put("listen.control", format!("{}:{CONTROL}", machine.ip));
            put("listen.directory", format!("{}:{DIRECTORY}", machine.ip));
            put("data_dir", self.folder.join(&machine.name).display().to_string());
        } else {
            put("listen.front", format!("{}:{FRONT}", machine.ip));
            put("listen.ready", format!("{}:{READY}", machine.ip));
        }
        fields.insert("seeds", Value::List(self.seeds.clone()));
        fields.insert("bootstrap", Value::Flag(bootstrap));
        let template = fs::read_to_string(self.root.join("deploy/node.ini")).expect("deploy/node.ini");
        render(&template, &fields)
    }

    /// Starts all machines for the first time.
    pub fn start_all(&mut self) {
        for at in 0..self.machines.len() {
            self.start(at, true);
        }
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, at: usize, bootstrap: bool) {
        let settings = self.settings(at, bootstrap);
        let path = self.folder.join(format!("{}.ini", self.machines[at].name));
        fs::write(&path, settings).expect("settings");
        let log = self.log_path(at);
        let log = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(self.root.join("target/release/jaylock-node"));
        command.arg("--settings").arg(&path).current_dir(&self.folder).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let machine = &mut self.machines[at];
        machine.child = Some(command.spawn().expect("target/release/jaylock-node"));
        machine.starts += 1;
        record(&format!("{} started", self.machines[at].name));
    }

    fn log_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("{}.log", self.machines[at].name))
    }

    pub fn log(&self, at: usize) -> String {
        fs::read_to_string(self.log_path(at)).unwrap_or_default()
    }

    /// SIGKILL.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.machines[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        record(&format!("{} killed", self.machines[at].name));
    }

    pub fn signal(&mut self, at: usize, signal: i32) {
        if let Some(child) = &self.machines[at].child {
            unsafe { kill(child.id() as i32, signal) };
        }
        record(&format!("{} got signal {signal}", self.machines[at].name));
    }

    /// Whether the process of a machine has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> Option<String> {
        let child = self.machines[at].child.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn pid(&self, at: usize) -> u32 {
        self.machines[at].child.as_ref().map_or(0, Child::id)
    }

    pub fn stop(&mut self) {
        for at in 0..self.machines.len() {
            if let Some(mut child) = self.machines[at].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| self.machines[*at].is_core).collect()
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.machines.len()).filter(|at| !self.machines[*at].is_core).collect()
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        format!("{}:{FRONT}", self.machines[at].ip).parse().expect("an address")
    }

    pub fn ready(&self, at: usize) -> SocketAddr {
        format!("{}:{READY}", self.machines[at].ip).parse().expect("an address")
    }

    pub fn control(&self, at: usize) -> SocketAddr {
        format!("{}:{CONTROL}", self.machines[at].ip).parse().expect("an address")
    }

    /// The core machine whose log says last that it started the scheduler of a service.
    pub fn scheduler_of(&self, service: &str) -> Option<usize> {
        let text = format!("started the scheduler of pool {service} at epoch ");
        let newest = |at: &usize| {
            let log = self.log(*at);
            let found = log.rmatch_indices(&text).next().map(|(i, _)| i + text.len())?;
            let digits: String = log[found..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let cores = self.cores();
        let mut epochs: Vec<(u64, usize)> = cores.iter().filter_map(|at| Some((newest(at)?, *at))).collect();
        epochs.sort_unstable();
        epochs.last().map(|(_, at)| *at)
    }

    /// Sends a desired state until a machine acknowledges it.
    pub fn configure(&self, document: &str) -> bool {
        let cores = self.cores();
        let mut turn = 0;
        wait_for(30, || {
            let at = cores[turn % cores.len()];
            turn += 1;
            let status = call(self.control(at), "PUT", "/-/config", document, 4000).map_or(0, |r| r.status);
            record(&format!("operator sends a desired state to {}: {status}", self.machines[at].name));
            status == 200
        })
    }

    /// Waits until all machines that serve clients are ready.
    pub fn wait_until_ready(&self) -> bool {
        let edges = self.edges();
        wait_for(30, || edges.iter().all(|at| self.is_ready(*at)))
    }

    pub fn is_ready(&self, at: usize) -> bool {
        call(self.ready(at), "GET", "/-/readiness", "", 1000).is_some_and(|r| r.status == 200)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Fills in a template as DEPLOY.md describes it.
fn render(template: &str, fields: &HashMap<&str, Value>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(open) = rest.find("{{") {
        out.push_str(&rest[..open]);
        let close = rest[open..].find("}}").expect("a closed placeholder") + open;
        let word = &rest[open + 2..close];
        rest = &rest[close + 2..];
        if let Some(name) = word.strip_prefix(['#', '^']) {
            let end = format!("{{{{/{name}}}}}");
            let at = rest.find(&end).expect("a closed section");
            let is_set = fields.get(name).is_some_and(|v| !matches!(v, Value::Flag(false)));
            if is_set == word.starts_with('#') {
                out.push_str(&render(&rest[..at], fields));
            }
            rest = &rest[at + end.len()..];
            continue;
        }
        match fields.get(word) {
            Some(Value::Text(text)) => out.push_str(text),
            Some(Value::Flag(flag)) => out.push_str(&flag.to_string()),
            Some(Value::List(list)) => out.push_str(&list.join(",")),
            None => {}
        }
    }
    out.push_str(rest);
    out
}

/// A desired state with one service of plain requests and one of streams.
pub fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-lookup","host":"shop.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"caseapp","max_attempts":2,"public":false,"affinity":false,"resumable":false,"gap_target_ms":0}},
{{"name":"r-file","host":"shop.example","path_prefix":"/file/","kind":"non_idempotent","timeout_ms":4000,"slo_ms":300,"priority":2,"service":"caseapp","max_attempts":1,"public":false,"affinity":false,"resumable":false,"gap_target_ms":0}},
{{"name":"r-chat","host":"shop.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"slo_ms":800,"priority":1,"service":"model","max_attempts":2,"public":false,"affinity":true,"resumable":true,"gap_target_ms":250}}],
"services":[
{{"name":"caseapp","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}},
{{"name":"model","health_path":"/health","max_conns":620,"protocol":"h1","tls":false,"engine":{{"slots":128,"kv_capacity":668887,"kv_token_bytes":35136,"link_mbps":740000.0,"moves":true,"backups":true,"stride":2,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":350000}},
"tenants":[{{"name":"adala","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// A call of the platform, on a channel of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout_ms: u64) -> Option<Answer> {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n{length}\r\n{body}"
    );
    exchange(to, text.as_bytes(), timeout_ms)
}

/// Sends bytes on a new channel and reads one answer.
pub fn exchange(to: SocketAddr, bytes: &[u8], timeout_ms: u64) -> Option<Answer> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let (body, is_complete) = read_body(reader, &headers, true);
    Some(Answer { status, headers, body, is_complete })
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)], until_end: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if find_header(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = find_header(headers, "content-length") {
        let length = length.parse().unwrap_or(0);
        body.resize(length, 0);
        let is_complete = reader.read_exact(&mut body).is_ok();
        return (body, is_complete);
    }
    if until_end {
        let is_complete = reader.read_to_end(&mut body).is_ok();
        return (body, is_complete);
    }
    (body, true)
}

/// A request as a replica got it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find_header(&self.headers, name).unwrap_or_default()
    }
}

/// What a replica does with a request.
pub type Serve = dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync;

/// A stand-in for a replica, which answers on its address until it is stopped.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub version: &'static str,
    pub born: u64,
    pub seq: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    channels: Arc<Mutex<HashMap<i32, TcpStream>>>,
}

impl Replica {
    /// Starts to serve; `serve` returns whether the channel is kept.
    pub fn start(
        id: &str,
        service: &'static str,
        address: SocketAddr,
        zone: &str,
        slots: u32,
        version: &'static str,
        serve: Arc<Serve>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let replica = Self {
            id: id.into(),
            service,
            address,
            zone: zone.into(),
            slots,
            version,
            born: unix_ms(),
            seq: Arc::default(),
            stopped: Arc::default(),
            channels: Arc::default(),
        };
        let own = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if own.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let Ok(copy) = stream.try_clone() else { continue };
                let number = copy.as_raw_fd();
                own.channels.lock().unwrap().insert(number, copy);
                let (own, serve) = (own.clone(), serve.clone());
                thread::spawn(move || {
                    own.serve_channel(stream, &*serve);
                    own.channels.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(replica)
    }

    fn serve_channel(&self, mut stream: TcpStream, serve: &Serve) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some((first, headers)) = read_head(&mut reader) {
            let (body, _) = read_body(&mut reader, &headers, false);
            let mut words = first.split(' ');
            let request = Request {
                method: words.next().unwrap_or_default().into(),
                path: words.next().unwrap_or_default().into(),
                headers,
                body,
            };
            if self.stopped.load(Ordering::SeqCst) {
                break;
            }
            let expected = request.header("expect-replica");
            if !expected.is_empty() && expected != self.id {
                record(&format!("{} answers {} with 421: it is for {expected}", self.id, request.path));
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    request.header("attempt-id")
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
                continue;
            }
            if request.path.starts_with("/-/kv-list") {
                let body = r#"{"epoch":1,"next":0,"held":[]}"#;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
                continue;
            }
            if !serve(&request, &mut stream) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Crashes: its channels are reset, and nothing listens at its address any more.
    pub fn crash(&self) {
        self.stop();
        // A socket that is connected to no address is reset at once, whoever else holds it.
        for (_, channel) in self.channels.lock().unwrap().drain() {
            unsafe { connect(channel.as_raw_fd(), &[0; 16], 16) };
        }
        record(&format!("{} has crashed", self.id));
    }

    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Answers nothing any more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    /// The body of the next ping.
    pub fn ping_body(&self, state: &str) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let models = if self.service == "model" {
            r#""stage":"combined","models":[{"name":"m","version":1,"adapters":[]}],"#
        } else {
            ""
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":{},"state":"{state}","cold_left_ms":0,{models}"born":{},"seq":{seq}}}"#,
            self.service, self.address, self.zone, self.version, self.slots, self.born
        )
    }

    pub fn path(&self) -> String {
        format!("/-/replicas/{}", self.id)
    }

    /// Pings a machine; returns whether it has acknowledged within a second.
    pub fn ping(&self, to: SocketAddr, state: &str) -> bool {
        let body = self.ping_body(state);
        call(to, "PUT", &self.path(), &body, 1000).is_some_and(|r| r.status / 100 == 2)
    }

    /// Pings one of the machines every 1.2 s, the next one after a failure, until `stop` is set.
    pub fn keep_pinging(&self, nodes: Vec<SocketAddr>, first: usize, stop: Arc<AtomicBool>) {
        let own = self.clone();
        thread::spawn(move || {
            let mut at = first;
            while !stop.load(Ordering::SeqCst) {
                for _ in 0..nodes.len() {
                    if stop.load(Ordering::SeqCst) || own.ping(nodes[at % nodes.len()], "ready") {
                        break;
                    }
                    at += 1;
                }
                let end = Instant::now() + Duration::from_millis(1200);
                while Instant::now() < end && !stop.load(Ordering::SeqCst) {
                    sleep_ms(20);
                }
            }
        });
    }
}

/// Writes a complete answer with the headers that every replica sends.
pub fn answer(stream: &mut TcpStream, request: &Request, status: &str, extra: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {}\r\nReplica-Seal: 3e1b.07.5a2.{}.0.c9f2a4d1\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        request.header("attempt-id"),
        body.len(),
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes the refusal of a replica that takes no request now.
pub fn refuse(stream: &mut TcpStream, request: &Request, extra: &str) -> bool {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\n{extra}Content-Length: 0\r\n\r\n",
        request.header("attempt-id")
    );
    stream.write_all(text.as_bytes()).is_ok()
}

static ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new `Attempt-Id`.
pub fn attempt_id() -> String {
    let number = ATTEMPT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// The text of a client's request.
pub fn request_text(method: &str, path: &str, id: &str, budget_ms: u64, extra: &str, body: &str) -> String {
    let length = if body.is_empty() && method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nTime-Budget: {budget_ms}\r\nKey: {KEY}\r\n{extra}{length}\r\n{body}"
    )
}
