use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use jaylock_tests::fleet::HttpResponse;
use jaylock_tests::limit_buffers;
use socket2::SockRef;

use super::reply::Reply;
use super::request::{ReceivedRequest, read_request};
use super::{TestFleet, send_call, send_call_within, wait_until};

/// Time between two heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a heartbeat counts as lost.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A fake backend server whose replies a test defines, of the service `app` unless the test names another.
pub struct FakeBackend {
    /// Identifier of the backend server.
    pub id: String,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    service: String,
    software: String,
    address: SocketAddr,
    /// Where heartbeats are sent, in turn.
    controls: Mutex<Vec<SocketAddr>>,
    incarnation: u64,
    sequence: AtomicU64,
    sends_heartbeats: AtomicBool,
    is_crashed: AtomicBool,
    active_count: AtomicUsize,
    /// Connections that have been accepted.
    connection_count: AtomicUsize,
    /// Connections that were closed or reset after a reply that was sent whole.
    end_count: AtomicUsize,
    /// Bytes of replies without end that were sent.
    endless_bytes: AtomicUsize,
    /// Most bytes of a body that are read before the reply; `None` for whole bodies.
    body_limit: Option<usize>,
    received: Mutex<Vec<ReceivedRequest>>,
    /// Handles of all connections, so that a crash closes them.
    connections: Mutex<Vec<TcpStream>>,
}

impl FakeBackend {
    /// Requests that a backend server takes at once.
    pub const SLOTS: usize = 8;

    /// Starts a backend server and registers it at the first instance.
    pub fn start(
        fleet: &TestFleet,
        id: &str,
        reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::start_version(fleet, id, ("app", "v1"), reply)
    }

    /// Starts a backend server that replies once it has read so many bytes of a body, and leaves the rest unread.
    pub fn start_early(
        fleet: &TestFleet,
        id: &str,
        body_limit: usize,
        reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(fleet, id, ("app", "v1"), Some(body_limit), reply)
    }

    /// Starts a backend server of a service, with this version of its software.
    pub fn start_version(
        fleet: &TestFleet,
        id: &str,
        kind: (&str, &str),
        reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(fleet, id, kind, None, reply)
    }

    fn start_with(
        fleet: &TestFleet,
        id: &str,
        (service, software): (&str, &str),
        body_limit: Option<usize>,
        reply: impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        if body_limit.is_some() {
            limit_buffers(&listener);
        }
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            software: software.into(),
            address: listener.local_addr().expect("an address"),
            controls: Mutex::new(vec![fleet.control_address(0)]),
            incarnation: 1,
            sequence: AtomicU64::new(0),
            sends_heartbeats: AtomicBool::new(true),
            is_crashed: AtomicBool::new(false),
            active_count: AtomicUsize::new(0),
            connection_count: AtomicUsize::new(0),
            end_count: AtomicUsize::new(0),
            endless_bytes: AtomicUsize::new(0),
            body_limit,
            received: Mutex::default(),
            connections: Mutex::default(),
        });
        let (serving, reply) = (shared.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_crashed.load(Ordering::Relaxed) {
                    return;
                }
                let (shared, reply) = (serving.clone(), reply.clone());
                thread::spawn(move || shared.serve(stream, &*reply));
            }
        });
        let backend = Self {
            id: id.into(),
            shared: shared.clone(),
        };
        wait_until("the backend server is registered", || {
            shared
                .send_heartbeat(shared.control(), "ready")
                .is_some_and(|a| a.status == 200)
        });
        thread::spawn(move || {
            while shared.sends_heartbeats.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT_INTERVAL);
                if shared.sends_heartbeats.load(Ordering::Relaxed) {
                    let (path, body) = shared.heartbeat(&shared.id, "ready");
                    send_call_within(shared.control(), "PUT", &path, &body, HEARTBEAT_TIMEOUT);
                }
            }
        });
        backend
    }

    /// Reports that the backend server is draining, and stops its heartbeats.
    pub fn drain(&self, fleet: &TestFleet) -> u16 {
        self.shared.sends_heartbeats.store(false, Ordering::Relaxed);
        let answer = self
            .shared
            .send_heartbeat(fleet.control_address(0), "draining");
        answer.map_or(0, |a| a.status)
    }

    /// Deregisters the backend server and stops its heartbeats.
    pub fn deregister(&self, fleet: &TestFleet) -> u16 {
        self.shared.sends_heartbeats.store(false, Ordering::Relaxed);
        let path = format!("/-/replicas/{}", self.id);
        send_call(fleet.control_address(0), "DELETE", &path, "").map_or(0, |a| a.status)
    }

    /// Registers another backend server at the address of this one.
    pub fn register_at_address(&self, id: &str) -> u16 {
        let shared = &self.shared;
        let answer = shared.send_heartbeat_as(id, shared.control(), "ready");
        answer.map_or(0, |a| a.status)
    }

    /// Sends further heartbeats to another instance.
    pub fn redirect_heartbeats(&self, control: SocketAddr) {
        self.rotate_heartbeats(vec![control]);
    }

    /// Sends further heartbeats to these instances in turn.
    pub fn rotate_heartbeats(&self, controls: Vec<SocketAddr>) {
        let lock = self.shared.controls.lock();
        *lock.unwrap_or_else(PoisonError::into_inner) = controls;
    }

    /// Sends a heartbeat with a lower sequence number than the last one.
    pub fn send_late_heartbeat(&self, fleet: &TestFleet) {
        self.shared.sequence.store(0, Ordering::Relaxed);
        self.shared
            .send_heartbeat(fleet.control_address(0), "ready");
    }

    /// Version of its software.
    pub fn software(&self) -> &str {
        &self.shared.software
    }

    /// Service that it belongs to.
    pub fn service(&self) -> &str {
        &self.shared.service
    }

    /// Number of requests whose replies are being sent.
    pub fn active_count(&self) -> usize {
        self.shared.active_count.load(Ordering::Relaxed)
    }

    /// Number of connections that were closed or reset after a reply that was sent whole.
    pub fn end_count(&self) -> usize {
        self.shared.end_count.load(Ordering::Relaxed)
    }

    /// Number of bytes of replies without end that were sent.
    pub fn endless_bytes(&self) -> usize {
        self.shared.endless_bytes.load(Ordering::Relaxed)
    }

    /// Whether the backend server has crashed.
    pub fn has_crashed(&self) -> bool {
        self.shared.is_crashed.load(Ordering::Relaxed)
    }

    /// Returns the requests that the backend server received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.shared.lock_received().clone()
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.shared.sends_heartbeats.store(false, Ordering::Relaxed);
    }
}

impl Shared {
    fn control(&self) -> SocketAddr {
        let controls = self.controls.lock();
        let controls = controls.unwrap_or_else(PoisonError::into_inner);
        let sequence = usize::try_from(self.sequence.load(Ordering::Relaxed)).unwrap_or(0);
        controls[sequence % controls.len()]
    }

    fn send_heartbeat(&self, control: SocketAddr, state: &str) -> Option<HttpResponse> {
        self.send_heartbeat_as(&self.id, control, state)
    }

    fn send_heartbeat_as(
        &self,
        id: &str,
        control: SocketAddr,
        state: &str,
    ) -> Option<HttpResponse> {
        let (path, body) = self.heartbeat(id, state);
        send_call(control, "PUT", &path, &body)
    }

    /// Returns the path and the body of the next heartbeat.
    fn heartbeat(&self, id: &str, state: &str) -> (String, String) {
        let Self {
            service,
            software,
            address,
            incarnation,
            ..
        } = self;
        let slots = FakeBackend::SLOTS;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"d0","version":"{software}","slots":{slots},
            "state":"{state}","cold_left_ms":0,"seq":{sequence},"born":{incarnation},"unknown":[]}}"#
        );
        (format!("/-/replicas/{id}"), body)
    }

    fn serve(&self, stream: TcpStream, reply: &dyn Fn(&ReceivedRequest) -> Reply) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut stream = stream;
        let handle = stream.try_clone().expect("a handle for a crash");
        self.lock_connections().push(handle);
        let number = self.connection_count.fetch_add(1, Ordering::Relaxed) + 1;
        let limit = self.body_limit.unwrap_or(usize::MAX);
        while let Some(received) = read_request(&mut reader, number, limit) {
            self.lock_received().push(received.clone());
            self.active_count.fetch_add(1, Ordering::Relaxed);
            let reply = reply(&received);
            let mut is_sent = stream.write_all(&reply.bytes).is_ok();
            for (pause, bytes) in &reply.later {
                thread::sleep(*pause);
                is_sent = is_sent && stream.write_all(bytes).is_ok();
            }
            while is_sent && !reply.endless.is_empty() {
                is_sent = stream.write_all(&reply.endless).is_ok();
                let sent = reply.endless.len() * usize::from(is_sent);
                self.endless_bytes.fetch_add(sent, Ordering::Relaxed);
            }
            self.active_count.fetch_sub(1, Ordering::Relaxed);
            if reply.crashes {
                self.crash();
                return;
            }
            if let Some(delay) = reply.reset_after {
                if reply.closes_connection {
                    let _ = stream.shutdown(Shutdown::Write);
                }
                drop(reader);
                thread::sleep(delay);
                self.reset(stream);
            } else if !is_sent || reply.closes_connection {
                let _ = stream.shutdown(Shutdown::Both);
            } else {
                continue;
            }
            self.end_count.fetch_add(is_sent.into(), Ordering::Relaxed);
            return;
        }
    }

    /// Closes the last handle of a connection so that its end is a reset.
    fn reset(&self, stream: TcpStream) {
        let peer = stream.peer_addr().ok();
        self.lock_connections()
            .retain(|c| c.peer_addr().ok() != peer);
        let lingering = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        lingering.expect("a connection that can be reset");
        drop(stream);
    }

    /// Closes the listener and then all connections, as when the process ends.
    fn crash(&self) {
        self.sends_heartbeats.store(false, Ordering::Relaxed);
        self.is_crashed.store(true, Ordering::Relaxed);
        // The listener's thread returns and closes the listener when it accepts this connection.
        let _ = TcpStream::connect(self.address);
        wait_until("the listener is closed", || {
            TcpStream::connect(self.address).is_err()
        });
        for connection in self.lock_connections().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        let lock = self.connections.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_received(&self) -> std::sync::MutexGuard<'_, Vec<ReceivedRequest>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
