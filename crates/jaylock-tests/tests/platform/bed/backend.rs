use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use jaylock_tests::fleet::Answer;

use super::{Bed, send, wait_until};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// A backend server of the service `app` that answers as a test says.
pub struct Backend {
    /// Its identifier.
    pub id: String,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    address: SocketAddr,
    born: u64,
    count: AtomicU64,
    is_beating: AtomicBool,
    received: Mutex<Vec<Received>>,
}

/// A request as it arrived.
#[derive(Debug, Clone)]
pub struct Received {
    /// First line.
    pub line: String,
    /// Names in lower case, in their order.
    pub fields: Vec<(String, String)>,
    /// The whole body.
    pub body: String,
}

/// What a backend server writes.
#[derive(Debug, Clone)]
pub struct Reply {
    /// All its bytes.
    pub bytes: Vec<u8>,
    /// Whether it closes the connection after them.
    pub closes: bool,
}

impl Backend {
    /// Starts a backend server and registers it with the first instance.
    pub fn start(
        bed: &Bed,
        id: &str,
        reply: impl Fn(&Received) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let shared = Arc::new(Shared {
            id: id.into(),
            address: listener.local_addr().expect("an address"),
            born: 1,
            count: AtomicU64::new(0),
            is_beating: AtomicBool::new(true),
            received: Mutex::default(),
        });
        let (serving, reply) = (shared.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, reply) = (serving.clone(), reply.clone());
                thread::spawn(move || shared.serve(stream, &*reply));
            }
        });
        let backend = Self {
            id: id.into(),
            shared: shared.clone(),
        };
        let control = bed.control(0);
        wait_until("the backend server is registered", || {
            shared
                .beat(control, "ready")
                .is_some_and(|a| a.status == 200)
        });
        thread::spawn(move || {
            while shared.is_beating.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                if shared.is_beating.load(Ordering::Relaxed) {
                    shared.beat(control, "ready");
                }
            }
        });
        backend
    }

    /// Says that it leaves, and stops its heartbeats.
    pub fn drain(&self, bed: &Bed) -> u16 {
        self.shared.is_beating.store(false, Ordering::Relaxed);
        let answer = self.shared.beat(bed.control(0), "draining");
        answer.map_or(0, |a| a.status)
    }

    /// Says that it ends, and stops its heartbeats.
    pub fn end(&self, bed: &Bed) -> u16 {
        self.shared.is_beating.store(false, Ordering::Relaxed);
        let path = format!("/-/replicas/{}", self.id);
        send(bed.control(0), "DELETE", &path, "").map_or(0, |a| a.status)
    }

    /// Sends a heartbeat with an earlier count than the last one.
    pub fn late_beat(&self, bed: &Bed) {
        self.shared.count.store(0, Ordering::Relaxed);
        self.shared.beat(bed.control(0), "ready");
    }

    /// The requests that reached it.
    pub fn received(&self) -> Vec<Received> {
        self.shared.log().clone()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.shared.is_beating.store(false, Ordering::Relaxed);
    }
}

impl Shared {
    fn beat(&self, control: SocketAddr, state: &str) -> Option<Answer> {
        let Self {
            id, address, born, ..
        } = self;
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"app","address":"{address}","zone":"d0","version":"v1","slots":8,
            "state":"{state}","cold_left_ms":0,"seq":{count},"born":{born},"unknown":[]}}"#
        );
        send(control, "PUT", &format!("/-/replicas/{id}"), &body)
    }

    fn serve(&self, stream: TcpStream, reply: &dyn Fn(&Received) -> Reply) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut stream = stream;
        while let Some(received) = receive(&mut reader) {
            let reply = reply(&received);
            self.log().push(received);
            if stream.write_all(&reply.bytes).is_err() || reply.closes {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn log(&self) -> std::sync::MutexGuard<'_, Vec<Received>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Received {
    /// The value of a header field; empty when it is missing.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// A whole answer with a seal.
    pub fn answer(&self, status: &str, body: &str) -> Reply {
        let length = body.len();
        self.raw(status, &format!("Content-Length: {length}\r\n\r\n{body}"))
    }

    /// A stream of the events with these numbers, followed by `tail`.
    pub fn events(&self, numbers: std::ops::RangeInclusive<u64>, tail: &str) -> Reply {
        let events = numbers.map(|n| {
            let event = format!("id: {n}\ndata: piece {n}\n\n");
            format!("{:x}\r\n{event}\r\n", event.len())
        });
        let events: String = events.collect();
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        Reply {
            closes: tail != Reply::LAST,
            ..self.raw("200 OK", &format!("{head}{events}{tail}"))
        }
    }

    /// Says that the request did not run.
    pub fn declined(&self) -> Reply {
        let id = self.field("attempt-id");
        Reply::of(&format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        ))
    }

    /// A head with a seal, and what follows it.
    pub fn raw(&self, status: &str, rest: &str) -> Reply {
        let id = self.field("attempt-id");
        Reply::of(&format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nReplica-Seal: 3e1b.07\r\n{rest}"
        ))
    }
}

impl Reply {
    /// The last chunk of a body.
    pub const LAST: &str = "0\r\n\r\n";

    /// Bytes after which the connection stays open.
    pub fn of(text: &str) -> Self {
        Self {
            bytes: text.as_bytes().to_vec(),
            closes: false,
        }
    }

    /// No byte at all.
    pub fn none() -> Self {
        Self {
            bytes: Vec::new(),
            closes: true,
        }
    }
}

fn receive(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut fields = Vec::new();
    loop {
        let mut text = String::new();
        reader.read_line(&mut text).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = text.trim_end().split_once(':') else {
            break;
        };
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut received = Received {
        line: line.trim_end().to_owned(),
        fields,
        body: String::new(),
    };
    let length = received.field("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    received.body = String::from_utf8(body).ok()?;
    Some(received)
}
