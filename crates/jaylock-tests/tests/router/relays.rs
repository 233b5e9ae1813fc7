//! Connections that routers pass on to each other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::join_all;
use googletest::prelude::*;
use jaylock_control::{ConfigView, InstanceLease};
use jaylock_observe::Observer;
use jaylock_router::{
    Lifecycle, OverloadGuard, Peers, Relay, RelayContext, RelayPolicy, RelayProof, RouterIdentity,
    RouterSettings,
};
use jaylock_rpc::v1::{Configuration, Instance};
use jaylock_tests::limit_buffers;
use jaylock_types::{Incarnation, Secret};
use socket2::SockRef;

use crate::harness::TestRouter;

/// Time limit of each expected event.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Length of the bytes with which a connection between routers begins.
const PREAMBLE_BYTES: usize = 36;

/// Size of a response that the buffers of two connections don't hold.
const LONG_RESPONSE_BYTES: usize = 16 << 20;
/// Time for the buffers of two connections to fill.
const FILL_TIME: Duration = Duration::from_millis(50);
/// Sizes of uploads, from those that the buffers between two routers hold to those that they don't.
const UPLOAD_SIZES: std::ops::Range<usize> = 150_000..400_000;
/// Difference between the sizes of two uploads, a part of what a router holds in each direction.
const UPLOAD_STEP: usize = 2 << 10;

/// What a stand-in for another router does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Peer {
    /// It takes the connection and answers one message.
    Answers,
    /// It takes the connection, answers, and breaks off.
    Breaks,
    /// It takes the connection, answers while it is being sent a request, and breaks off.
    BreaksEarly,
    /// It takes the connection and only reads.
    Reads,
    Refuses,
    /// It answers nothing.
    Stalls,
}

/// A stand-in for another router.
struct StandIn {
    address: SocketAddr,
    /// Connections that were opened.
    opened: Rc<Cell<usize>>,
    /// Connections whose callers have left.
    left: Rc<Cell<usize>>,
}

impl StandIn {
    async fn start(peer: Peer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        if peer == Peer::BreaksEarly {
            limit_buffers(&listener);
        }
        let stand_in = Self {
            address: listener.local_addr().expect("an address"),
            opened: Rc::default(),
            left: Rc::default(),
        };
        let (opened, left) = (stand_in.opened.clone(), stand_in.left.clone());
        compio::runtime::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                opened.set(opened.get() + 1);
                compio::runtime::spawn(serve(stream, peer, left.clone())).detach();
            }
        })
        .detach();
        stand_in
    }
}

async fn serve(mut stream: TcpStream, peer: Peer, left: Rc<Cell<usize>>) {
    let _ = stream.read_exact(vec![0; PREAMBLE_BYTES]).await;
    match peer {
        Peer::Refuses => {
            let _ = stream.write_all(vec![0]).await;
            return;
        }
        Peer::Stalls => return std::future::pending().await,
        Peer::Answers | Peer::Breaks | Peer::Reads => {
            let _ = stream.write_all(vec![1]).await;
        }
        Peer::BreaksEarly => {
            let _ = stream.write_all(vec![1]).await;
            // The response and the request fill the buffers, as neither side reads.
            let sending = stream.write_all(vec![b'a'; LONG_RESPONSE_BYTES]);
            let _ = compio::time::timeout(FILL_TIME, sending).await;
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
    }
    let BufResult(read, _) = stream.read(Vec::with_capacity(64)).await;
    if peer == Peer::Reads {
        let BufResult(next, _) = stream.read(Vec::with_capacity(64)).await;
        if read.is_ok() && !next.is_ok_and(|bytes| bytes > 0) {
            left.set(left.get() + 1);
        }
        return;
    }
    let _ = stream.write_all(b"answer".to_vec()).await;
    if peer == Peer::Breaks {
        // The answer arrives before the reset.
        compio::time::sleep(Duration::from_millis(50)).await;
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// A task that passes a connection on, or returns it if no router takes it.
type PassingOn = compio::runtime::JoinHandle<std::result::Result<(), TcpStream>>;

/// A router that passes on connections, and a caller's connection that it has accepted.
struct Fixture {
    relay: Rc<Relay>,
    lifecycle: Rc<Lifecycle>,
    caller: TcpStream,
    /// Until it is passed on.
    accepted: Option<TcpStream>,
}

impl Fixture {
    async fn new(peer: SocketAddr) -> Self {
        let view = ConfigView::default();
        assert!(view.update(configuration(&[("b", "here", peer)])));
        let lifecycle = Rc::<Lifecycle>::default();
        let context = RelayContext {
            identity: RouterIdentity {
                instance: "a".parse().expect("a name"),
                incarnation: Incarnation(1),
                domain: "here".parse().expect("a name"),
            },
            view,
            lease: InstanceLease::until(Instant::now() + TIMEOUT),
            overload: OverloadGuard::new(Duration::from_millis(120)),
            lifecycle: lifecycle.clone(),
            observer: Observer::default(),
            proof: proof("secret-of-this-fleet"),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let caller = TcpStream::connect(address).await.expect("a connection");
        let (accepted, _) = listener.accept().await.expect("a connection");
        Self {
            relay: Rc::new(Relay::new(context)),
            lifecycle,
            caller,
            accepted: Some(accepted),
        }
    }

    /// Passes the caller's connection on in a task of its own, with a message of the caller if there is any.
    async fn pass_on(&mut self, message: &str) -> PassingOn {
        let accepted = self.accepted.take().expect("a connection");
        let relay = self.relay.clone();
        if !message.is_empty() {
            let sent = self.caller.write_all(message.as_bytes().to_vec()).await;
            sent.0.expect("bytes are sent");
        }
        compio::runtime::spawn(async move { relay.pass_on(accepted).await })
    }

    /// What the caller reads until its connection ends, and whether it ends by a reset.
    async fn read(&mut self) -> (String, bool) {
        let mut text = String::new();
        loop {
            let reading = self.caller.read(Vec::with_capacity(4096));
            let reading = compio::time::timeout(TIMEOUT, reading).await;
            match reading.expect("bytes in time") {
                BufResult(Ok(0), _) => return (text, false),
                BufResult(Ok(_), bytes) => text.push_str(&String::from_utf8(bytes).expect("text")),
                BufResult(Err(_), _) => return (text, true),
            }
        }
    }
}

/// Passes on an upload of this size; returns the size, the bytes of the response, and whether it ends by a reset.
async fn upload_end(peer: SocketAddr, size: usize) -> (usize, usize, bool) {
    let mut fixture = Fixture::new(peer).await;
    let _passed_on = fixture.pass_on(&"u".repeat(size)).await;
    compio::time::sleep(2 * FILL_TIME).await;
    let (text, is_reset) = fixture.read().await;
    (size, text.len(), is_reset)
}

fn proof(secret: &str) -> RelayProof {
    RelayProof::new(&Secret::new(secret))
}

/// A configuration with these routers: id, failure domain, and address for connections of others.
fn configuration(routers: &[(&str, &str, SocketAddr)]) -> Configuration {
    let instance = |(id, domain, address): &(&str, &str, SocketAddr)| Instance {
        id: (*id).into(),
        domain: (*domain).into(),
        relay_address: address.to_string(),
        ..Instance::default()
    };
    Configuration {
        index: 1,
        revision: 1,
        instances: routers.iter().map(instance).collect(),
        ..Configuration::default()
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TIMEOUT, "the condition holds in time");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The router that is chosen of three, the last of which is in another failure domain, if these have refused before.
fn chosen(refused: &[&str], draws: [usize; 2]) -> Option<String> {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let mut configuration = configuration(&[
        ("a", "here", address),
        ("b", "here", address),
        ("c", "here", address),
        ("d", "there", address),
    ]);
    configuration.instances[2].capacity = 90;
    configuration.instances[1].capacity = 300;
    let mut peers = Peers::default();
    let now = Instant::now();
    for id in refused {
        peers.record_refusal(id, now);
    }
    let mut draws = draws.into_iter();
    let draw = |count: usize| draws.next().expect("two draws") % count;
    let candidate = peers.choose(&configuration, ("a", "here"), now, draw);
    candidate.map(|candidate| candidate.id.to_string())
}

jaylock_tests::cases! {
    // Guards against connections that are passed on before the processor is busy, and against a share that stays.
    share_follows_the_delay_of_the_event_loop => {
        let mut policy = RelayPolicy::default();
        let mut now = Instant::now();
        let mut passed_on = |delay_ms: u64, steps: usize| {
            let taken = (0..steps).filter(|_| {
                now += Duration::from_millis(10);
                policy.update(Duration::from_millis(delay_ms), now);
                policy.takes_next()
            });
            taken.count()
        };
        expect_that!(passed_on(3, 100), eq(0));
        expect_that!(passed_on(12, 20), ge(10));
        expect_that!(passed_on(12, 100), eq(100));
        // Between the two delays the share stays.
        expect_that!(passed_on(7, 100), eq(100));
        // It falls within two seconds.
        expect_that!(passed_on(1, 100), all!(ge(60), le(90)));
        passed_on(1, 100);
        expect_that!(passed_on(1, 100), eq(0));
    };

    // Guards against bytes between failure domains without need, and against the same choice of all routers.
    routers_of_the_own_domain_with_room_are_chosen_first => {
        expect_that!(chosen(&[], [0, 0]), some(eq("b")));
        expect_that!(chosen(&[], [1, 1]), some(eq("c")));
        expect_that!(chosen(&[], [0, 1]), some(eq("b")), "the larger one");
        expect_that!(chosen(&["b"], [0, 0]), some(eq("c")));
        expect_that!(chosen(&["b", "c"], [0, 0]), some(eq("d")));
        expect_that!(chosen(&["b", "c", "d"], [0, 0]), none());
    };

    // Guards against a caller that gets nothing, or more than the other router's response.
    async caller_gets_the_response_of_the_other_router => {
        let peer = StandIn::start(Peer::Answers).await;
        let mut fixture = Fixture::new(peer.address).await;
        let passed_on = fixture.pass_on("request").await;
        assert_that!(fixture.read().await, (eq("answer"), eq(&false)));
        drop(fixture.caller);
        assert!(passed_on.await.expect("a result").is_ok());
    };

    // Guards against a response that looks complete although the other router was killed.
    async response_that_breaks_off_ends_with_a_reset => {
        let peer = StandIn::start(Peer::Breaks).await;
        let mut fixture = Fixture::new(peer.address).await;
        let _passed_on = fixture.pass_on("request").await;
        assert_that!(fixture.read().await, (eq("answer"), eq(&true)));
    };

    // Guards against a response that looks complete as the rest of the request met the reset of the other router.
    async early_response_that_breaks_off_ends_with_a_reset => {
        let peer = StandIn::start(Peer::BreaksEarly).await;
        let sizes: Vec<usize> = UPLOAD_SIZES.step_by(UPLOAD_STEP).collect();
        // The buffers of some are filled at a time.
        for sizes in sizes.chunks(10) {
            let ends = sizes.iter().map(|size| upload_end(peer.address, *size));
            for end in join_all(ends).await {
                expect_that!(end, (anything(), gt(0), eq(true)));
            }
        }
    };

    // Guards against work that goes on for a caller who has left.
    async other_router_learns_that_the_caller_has_left => {
        let peer = StandIn::start(Peer::Reads).await;
        let mut fixture = Fixture::new(peer.address).await;
        let _passed_on = fixture.pass_on("request").await;
        wait_until(|| fixture.lifecycle.used_connections() == 1).await;
        drop(fixture.caller);
        wait_until(|| peer.left.get() == 1).await;
    };

    // Guards against a request that is lost as no other router has room, and against asking the same one again at once.
    async connection_is_served_here_if_no_router_takes_it => {
        for peer in [Peer::Refuses, Peer::Stalls] {
            let peer = StandIn::start(peer).await;
            let mut fixture = Fixture::new(peer.address).await;
            for _ in 0..2 {
                let passed_on = fixture.pass_on("").await;
                let returned = passed_on.await.expect("a result");
                fixture.accepted = Some(returned.expect_err("the connection"));
            }
            expect_that!(peer.opened.get(), eq(1));
        }
    };

    // Guards against connections from outside the fleet at an address that checks nothing else.
    async connection_with_the_proof_of_another_fleet_is_refused => {
        let mut fixture = Fixture::new("127.0.0.1:1".parse().expect("an address")).await;
        let foreign = [b"JLR1".as_slice(), &[7; 32]].concat();
        fixture.caller.write_all(foreign).await.0.expect("bytes are sent");
        let mut accepted = fixture.accepted.take().expect("a connection");
        let taken = fixture.relay.take(&mut accepted, true).await;
        assert_that!(taken.ok(), some(eq(false)));
    };

    // Guards against requests that a planned stop cuts, and against a stop that waits for connections without a request.
    async shutdown_waits_for_the_request_that_is_passed_on => {
        let peer = StandIn::start(Peer::Reads).await;
        let mut busy = Fixture::new(peer.address).await;
        let _passed_on = busy.pass_on("request").await;
        wait_until(|| busy.lifecycle.used_connections() == 1).await;
        busy.lifecycle.begin_shutdown(Instant::now() + TIMEOUT);
        busy.lifecycle.refuse_requests();
        expect_that!(busy.lifecycle.used_connections(), eq(1));
        busy.lifecycle.cancel_requests();
        compio::time::timeout(TIMEOUT, busy.lifecycle.drained()).await.expect("the end in time");
        let mut idle = Fixture::new(peer.address).await;
        let passed_on = idle.pass_on("").await;
        wait_until(|| peer.opened.get() == 2).await;
        idle.lifecycle.refuse_requests();
        assert!(passed_on.await.expect("a result").is_ok());
    };

    // Guards against a connection between routers that is kept, so that a shutdown of either can't tell requests apart.
    async router_serves_one_request_of_a_connection_that_another_one_passes_on => {
        let settings = RouterSettings {
            relay_proof: Some(proof("secret-of-this-fleet")),
            ..RouterSettings::default()
        };
        let router = TestRouter::start(&[], settings).await;
        let mut fixture = Fixture::new(router.relay_address.expect("an address")).await;
        let request = "GET /v1/health HTTP/1.1\r\nhost: x\r\n\r\n";
        let _passed_on = fixture.pass_on(&request.repeat(2)).await;
        let (response, _) = fixture.read().await;
        expect_that!(response.matches("HTTP/1.1 200").count(), eq(1));
        expect_that!(response, contains_substring("connection: close"));
    };
}
