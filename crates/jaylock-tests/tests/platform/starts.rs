//! Starts of instances whose addresses or data folder are still held by another process.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use googletest::prelude::*;
use jaylock_tests::cases;
use jaylock_tests::fleet::get;
use socket2::{Domain, Socket, Type};

use crate::harness::{Endpoint, FakeBackend, FleetSettings, TestFleet, document, wait_until};

/// Instance that serves control.
const CONTROL: usize = 0;
/// Instance that serves callers.
const ROUTER: usize = 1;
/// Longest wait for a process that has been asked to end.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Restarts an instance while another socket has one of its addresses, then frees the address.
fn restart_beside<T>(at: usize, endpoint: Endpoint, occupy: impl FnOnce(SocketAddr) -> T) {
    let mut fleet = TestFleet::minimal();
    let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
    fleet.kill(at);
    let address = fleet.address(at, endpoint);
    let occupant = occupy(address);
    fleet.start_instance(at, false);
    let warning = format!("{address} can't be bound yet");
    wait_until("the occupied address is logged", || {
        fleet.log(at).contains(&warning)
    });
    assert_that!(fleet.process(at).has_ended(), eq(false));
    drop(occupant);
    wait_until("all addresses are served", || {
        serves_all_addresses(&fleet, at)
    });
    wait_until("a request is served", || {
        fleet.caller().send().status() == 200
    });
}

fn restart_beside_listener(at: usize, endpoint: Endpoint) {
    restart_beside(at, endpoint, |address| {
        TcpListener::bind(address).expect("the address is free")
    });
}

fn serves_all_addresses(fleet: &TestFleet, at: usize) -> bool {
    let has_metrics = get(fleet.metrics_address(at), "/metrics").is_ok_and(|a| a.status == 200);
    let has_calls = if at == CONTROL {
        fleet.read_document(at).is_some_and(|a| a.status == 200)
            && fleet
                .look_up_addresses(at, "")
                .is_some_and(|a| a.status == 200)
    } else {
        fleet.is_ready(at)
    };
    has_metrics && has_calls && TcpStream::connect(fleet.address(at, Endpoint::Peer)).is_ok()
}

/// Opens a connection that goes out from an address, as one from an ephemeral port does.
fn connect_from(address: SocketAddr) -> (TcpListener, TcpStream) {
    let target = TcpListener::bind((address.ip(), 0)).expect("a free port");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).expect("the address is free");
    let peer = target.local_addr().expect("an address");
    socket.connect(&peer.into()).expect("a connection");
    (target, socket.into())
}

/// Requests a shutdown of an instance, starts it again at once, and waits until the new process serves.
fn restart_during_stop(at: usize) {
    let mut fleet = TestFleet::minimal();
    let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
    let mut before = fleet.take_process(at);
    before.request_shutdown();
    wait_until("the shutdown has begun", || {
        fleet.log(at).contains("graceful shutdown started")
    });
    fleet.start_instance(at, false);
    wait_until("the process before has ended", || before.has_ended());
    wait_until("all addresses are served", || {
        serves_all_addresses(&fleet, at)
    });
    wait_until("a request is served", || {
        fleet.caller().send().status() == 200
    });
    assert_that!(fleet.process(at).has_ended(), eq(false));
}

/// Creates a fleet of three control instances and a router, none of which has been started.
fn stopped_fleet() -> TestFleet {
    TestFleet::stopped(FleetSettings {
        control_count: 3,
        ..FleetSettings::default()
    })
}

/// Starts an instance for the first time and kills it before it has met the others.
fn interrupt_first_start(fleet: &mut TestFleet, at: usize) {
    fleet.start_instance(at, true);
    let vote = fleet.data_folder(at).join("vote");
    wait_until("the first start is recorded", || vote.exists());
    fleet.kill(at);
}

/// Starts an instance with an altered line of its settings.
fn start_with(fleet: &mut TestFleet, at: usize, line: &str, altered: &str) {
    fleet.kill(at);
    let text = fleet.settings_of(at);
    assert_that!(text, contains_substring(line));
    fleet.start_with_text(at, &text.replace(line, altered));
}

cases! {
    restart_waits_for_an_occupied_peer_address_of_control => {
        restart_beside_listener(CONTROL, Endpoint::Peer);
    };
    restart_waits_for_an_occupied_address_for_operators => {
        restart_beside_listener(CONTROL, Endpoint::Control);
    };
    restart_waits_for_an_occupied_address_for_look_ups => {
        restart_beside_listener(CONTROL, Endpoint::Directory);
    };
    restart_waits_for_an_occupied_address_for_metrics => {
        restart_beside_listener(CONTROL, Endpoint::Metrics);
    };
    restart_waits_for_an_occupied_peer_address_of_a_router => {
        restart_beside_listener(ROUTER, Endpoint::Peer);
    };
    restart_waits_for_an_occupied_address_for_callers => {
        restart_beside_listener(ROUTER, Endpoint::Caller);
    };
    restart_waits_for_an_occupied_address_for_readiness => {
        restart_beside_listener(ROUTER, Endpoint::Ready);
    };
    restart_waits_for_a_port_that_an_outgoing_connection_has_taken => {
        restart_beside(ROUTER, Endpoint::Caller, connect_from);
    };
    restart_waits_for_the_graceful_stop_of_the_process_before_it => {
        restart_during_stop(CONTROL);
    };
    restart_of_a_router_waits_for_the_graceful_stop_of_the_process_before_it => {
        restart_during_stop(ROUTER);
    };
    metrics_without_an_address_keep_no_instance_from_serving => {
        let mut fleet = TestFleet::minimal();
        fleet.kill(CONTROL);
        let _occupant = TcpListener::bind(fleet.metrics_address(CONTROL)).expect("the address is free");
        fleet.start_instance(CONTROL, false);
        wait_until("the document is read back", || fleet.read_document(CONTROL).is_some_and(|a| a.status == 200));
    };
    router_is_neither_listed_nor_ready_before_it_can_be_reached => {
        let mut fleet = TestFleet::start(1, 2);
        fleet.configure(&document(1));
        let address = fleet.caller_address(2).to_string();
        let is_listed = |fleet: &TestFleet| {
            fleet.look_up_addresses(0, "").is_some_and(|a| a.status == 200 && a.body.contains(&address))
        };
        fleet.kill(2);
        wait_until("the router is no longer listed", || !is_listed(&fleet));
        let occupant = TcpListener::bind(fleet.caller_address(2)).expect("the address is free");
        fleet.start_instance(2, false);
        let readiness = fleet.address(2, Endpoint::Ready);
        wait_until("readiness is refused", || get(readiness, "/-/readiness").is_ok_and(|a| a.status == 503));
        assert_that!(is_listed(&fleet), eq(false));
        drop(occupant);
        wait_until("the router is listed and ready", || is_listed(&fleet) && fleet.is_ready(2));
    };
    wait_for_an_address_that_the_machine_does_not_have_ends_at_a_shutdown_signal => {
        let mut fleet = TestFleet::start(1, 0);
        let peer = fleet.address(0, Endpoint::Peer);
        // Reserved for documentation, so that no machine has it.
        let absent = "192.0.2.1:7400";
        start_with(&mut fleet, 0, &format!("peer_address = {peer}"), &format!("peer_address = {absent}"));
        wait_until("the missing address is logged", || fleet.log(0).contains(&format!("{absent} can't be bound yet")));
        let process = fleet.take_process(0);
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        let status = runtime.block_on(process.terminate(STOP_TIMEOUT));
        assert_that!(status.success(), eq(true));
    };
    wait_for_a_locked_data_folder_ends_at_a_shutdown_signal => {
        let mut fleet = TestFleet::start(1, 0);
        wait_until("the instance serves", || fleet.log(0).contains("is serving"));
        let _first = fleet.take_process(0);
        fleet.start_instance(0, false);
        wait_until("the locked folder is logged", || fleet.log(0).contains("data/n0/lock is locked"));
        let process = fleet.take_process(0);
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        let status = runtime.block_on(process.terminate(STOP_TIMEOUT));
        assert_that!(status.success(), eq(true));
    };
    fleet_forms_after_a_seed_was_killed_in_its_first_start => {
        let mut fleet = stopped_fleet();
        interrupt_first_start(&mut fleet, 2);
        fleet.start_instance(2, false);
        for at in [0, 1, 3] {
            fleet.start_instance(at, true);
        }
        fleet.configure(&document(1));
    };
    fleet_forms_after_all_seeds_were_killed_in_their_first_start => {
        let mut fleet = stopped_fleet();
        (0..3).for_each(|at| interrupt_first_start(&mut fleet, at));
        (0..4).for_each(|at| fleet.start_instance(at, false));
        fleet.configure(&document(1));
    };
    fleet_forms_after_all_seeds_were_killed_while_they_waited_for_their_addresses => {
        let mut fleet = stopped_fleet();
        for at in 0..3 {
            let _occupant = TcpListener::bind(fleet.address(at, Endpoint::Peer)).expect("the address is free");
            fleet.start_instance(at, true);
            wait_until("the occupied address is logged", || fleet.log(at).contains("can't be bound yet"));
            fleet.kill(at);
        }
        (0..4).for_each(|at| fleet.start_instance(at, false));
        fleet.configure(&document(1));
    };
    fleet_forms_although_a_seed_was_killed_before_it_wrote_anything => {
        let mut fleet = stopped_fleet();
        fleet.start_instance(1, false);
        wait_until("the seed runs", || fleet.log(1).contains("is serving"));
        for at in [0, 2, 3] {
            fleet.start_instance(at, true);
        }
        fleet.configure(&document(1));
    };
    fleet_forms_once_the_address_of_a_seed_is_free => {
        let mut fleet = stopped_fleet();
        let occupant = TcpListener::bind(fleet.address(0, Endpoint::Peer)).expect("the address is free");
        (0..4).for_each(|at| fleet.start_instance(at, true));
        wait_until("the occupied address is logged", || fleet.log(0).contains("can't be bound yet"));
        drop(occupant);
        fleet.configure(&document(1));
    };
    start_ends_when_waiting_can_not_mend_an_address => {
        let mut fleet = TestFleet::start(1, 0);
        let control = fleet.address(0, Endpoint::Control);
        // A link-local address without its interface is invalid.
        start_with(&mut fleet, 0, &format!("control = {control}"), "control = [fe80::1]:7400");
        wait_until("the instance has ended", || fleet.process(0).has_ended());
        assert_that!(fleet.log(0), contains_substring("control [fe80::1]:7400 can't be bound"));
    };
    start_ends_when_waiting_can_not_mend_the_data_folder => {
        let mut fleet = TestFleet::start(1, 0);
        start_with(&mut fleet, 0, "data = data/n0", "data = n0.ini/data");
        wait_until("the instance has ended", || fleet.process(0).has_ended());
        assert_that!(fleet.log(0), contains_substring("n0.ini/data can't be read or written"));
    };
}
