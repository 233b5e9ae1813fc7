//! Entries that another writer leaves among those of the backend servers.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_platform::decode_heartbeat;
use jaylock_rpc::v1::BackendReport;
use jaylock_tests::fleet::send_raw;
use jaylock_tests::{cases, seeded_config};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::harness::{FakeBackend, FleetSettings, TestFleet, document, wait_until};

/// Levels of a value that no recursive reader can read.
const DEEP: usize = 100_000;
/// Requests that must succeed beside the odd entries.
const REQUESTS: usize = 20;
/// Services that no document names.
const UNNAMED_SERVICES: usize = 100;
/// Time in which the services that no document names must get no schedulers.
const QUIET_PERIOD: Duration = Duration::from_secs(3);
/// How long a heartbeat is valid.
const BACKEND_LEASE: Duration = Duration::from_secs(2);

/// Fields of an entry, and one that is unknown.
const FIELDS: [&str; 11] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_left_ms",
    "seq",
    "born",
    "models",
    "extra",
];

/// An entry of the service `app` at an address where nothing listens.
fn entry() -> Value {
    json!({
        "service": "app", "address": "127.0.0.1:9", "zone": "d0", "version": "v1", "slots": 8, "state": "ready",
        "cold_left_ms": 0, "seq": 1, "born": 1, "stage": "combined",
        "models": [{"name": "m", "version": 1, "adapters": []}],
    })
}

/// An entry in which `text` replaces the value of a field, which is added if it is unknown.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let mut fields = entry();
    fields[field] = json!("REPLACED");
    fields.to_string().replace("\"REPLACED\"", text).into()
}

fn deep(open: &str, close: &str) -> String {
    open.repeat(DEEP) + &close.repeat(DEEP)
}

fn long_text(bytes: usize) -> String {
    json!("v".repeat(bytes)).to_string()
}

type Entries = Vec<(&'static str, Vec<u8>)>;

/// Entries in which a field has another type or an impossible value.
fn malformed_entries() -> Entries {
    let mut entries = replaced(vec![
        ("deep models", "models", deep("[", "]")),
        ("deep objects as models", "models", deep("{\"a\":", "}")),
        ("deep value that never ends", "models", "[".repeat(DEEP)),
        ("deep zone", "zone", deep("[", "]")),
        ("slots out of any range", "slots", "1e400".into()),
        ("slots of 2^64", "slots", "18446744073709551616".into()),
        ("slots of 2^63", "slots", "9223372036854775808".into()),
        ("slots of 2^32", "slots", "4294967296".into()),
        ("slots of 65537", "slots", "65537".into()),
        ("slots below 0", "slots", "-1".into()),
        ("slots of 0", "slots", "0".into()),
        ("slots with a fraction", "slots", "8.5".into()),
        ("slots as text", "slots", "\"8\"".into()),
        ("slots that are no number", "slots", "NaN".into()),
        ("no slots", "slots", "null".into()),
        ("count out of any range", "seq", "1e400".into()),
        ("count of 2^64", "seq", "18446744073709551616".into()),
        ("count below 0", "seq", "-1".into()),
        ("start out of any range", "born", "1e400".into()),
        ("start of 2^64", "born", "18446744073709551616".into()),
        ("start with a fraction", "born", "1.5".into()),
        ("port of 65536", "address", "\"127.0.0.1:65536\"".into()),
        ("port of 99999", "address", "\"127.0.0.1:99999\"".into()),
        ("port below 0", "address", "\"127.0.0.1:-1\"".into()),
        ("no port", "address", "\"127.0.0.1\"".into()),
        ("host name", "address", "\"localhost:80\"".into()),
        ("empty address", "address", "\"\"".into()),
        ("address as list", "address", "[\"127.0.0.1:80\"]".into()),
        ("unknown state", "state", "\"asleep\"".into()),
        ("no state", "state", "null".into()),
        ("empty service", "service", "\"\"".into()),
        ("service with a slash", "service", "\"../app\"".into()),
        ("service with a line break", "service", "\"app\\nx\"".into()),
        ("long service", "service", long_text(5 << 20)),
        ("empty zone", "zone", "\"\"".into()),
        ("long zone", "zone", long_text(5 << 20)),
        ("version as number", "version", "1".into()),
        ("raw zero byte", "version", "\"\0\"".into()),
        (
            "version of a model below 0",
            "models",
            "[{\"name\":\"m\",\"version\":-1}]".into(),
        ),
    ]);
    let twice = entry().to_string().replacen('{', "{\"slots\":9,", 1);
    let mut invalid_utf8 = entry().to_string().into_bytes();
    let position = invalid_utf8.iter().position(|byte| *byte == b'v');
    invalid_utf8[position.expect("a letter")] = 0xff;
    entries.extend([
        ("field that stands twice", twice.into_bytes()),
        ("invalid UTF-8", invalid_utf8),
        ("nothing", Vec::new()),
        ("empty object", b"{}".to_vec()),
        (
            "half an entry",
            entry().to_string().into_bytes()[..60].to_vec(),
        ),
        ("two entries", entry().to_string().repeat(2).into_bytes()),
    ]);
    entries
}

/// Entries that would fill the messages between instances.
fn long_entries() -> Entries {
    let models = json!(vec![json!({"name": "m", "version": 1}); 100_000]);
    let adapters = json!([{"name": "m", "adapters": vec!["adapter"; 100_000]}]);
    let name = format!("[{{\"name\":{}}}]", long_text(5 << 20));
    replaced(vec![
        ("long version", "version", long_text(5 << 20)),
        ("version with a zero byte", "version", "\"v\\u0000\"".into()),
        ("many models", "models", models.to_string()),
        ("many adapters", "models", adapters.to_string()),
        ("long name of a model", "models", name),
    ])
}

/// Entries with addresses to which no connection leads.
fn unreachable_entries() -> Entries {
    replaced(vec![
        ("port of 0", "address", "\"127.0.0.1:0\"".into()),
        ("no machine", "address", "\"0.0.0.0:80\"".into()),
        ("no machine, IPv6", "address", "\"[::]:80\"".into()),
        ("many machines", "address", "\"224.0.0.1:80\"".into()),
        ("many machines, IPv6", "address", "\"[ff02::1]:80\"".into()),
        ("all machines", "address", "\"255.255.255.255:80\"".into()),
    ])
}

/// Entries with unknown fields that other readers can't read.
fn unreadable_entries() -> Entries {
    let model = format!("[{{\"name\":\"m\",\"extra\":{}}}]", deep("[", "]"));
    replaced(vec![
        ("deep unknown field of a model", "models", model),
        ("deep unknown field", "extra", deep("[", "]")),
        ("unknown number out of any range", "extra", "1e400".into()),
    ])
}

fn odd_entries() -> Entries {
    let mut entries = malformed_entries();
    entries.extend(long_entries());
    entries.extend(unreachable_entries());
    entries.extend(unreadable_entries());
    entries
}

fn replaced(fields: Vec<(&'static str, &str, String)>) -> Entries {
    let entries = fields.into_iter();
    entries
        .map(|(name, field, text)| (name, entry_with(field, &text)))
        .collect()
}

/// Names of the entries that are accepted.
fn accepted(entries: Entries) -> Vec<&'static str> {
    let accepted = entries.into_iter().filter(|(_, body)| decode(body).is_ok());
    accepted.map(|(name, _)| name).collect()
}

fn decode(body: &[u8]) -> jaylock_platform::Result<BackendReport> {
    decode_heartbeat(&"odd".parse().expect("an identifier"), body)
}

/// Sends an entry to the first instance and returns the status, or 0 without a response.
fn send_entry(fleet: &TestFleet, id: &str, body: &[u8]) -> u16 {
    let length = body.len();
    let head = format!(
        "PUT /-/replicas/{id} HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    let text = [head.as_bytes(), body].concat();
    send_raw(fleet.control_address(0), &text).map_or(0, |answer| answer.status)
}

/// Sends all odd entries, each under an identifier of its own, and returns the names of the accepted ones.
fn send_odd_entries(fleet: &TestFleet) -> Vec<&'static str> {
    let entries = odd_entries().into_iter().enumerate();
    let accepted =
        entries.filter(|(at, (_, body))| send_entry(fleet, &format!("odd-{at}"), body) == 200);
    accepted.map(|(_, (name, _))| name).collect()
}

fn count_served(fleet: &TestFleet) -> usize {
    let caller = fleet.caller();
    (0..REQUESTS)
        .filter(|_| caller.send().status() == 200)
        .count()
}

/// Sends an entry of each of many services that no document names, all at once.
fn send_unnamed_services(fleet: &TestFleet) {
    thread::scope(|scope| {
        for number in 0..UNNAMED_SERVICES {
            scope.spawn(move || {
                let body = entry_with("service", &format!("\"unnamed-{number}\""));
                send_entry(fleet, &format!("odd-{number}"), &body)
            });
        }
    });
}

fn count_unnamed_schedulers(fleet: &TestFleet) -> usize {
    fleet
        .log(0)
        .matches("started the scheduler of pool unnamed")
        .count()
}

fn expect_running(fleet: &mut TestFleet) {
    for at in 0..2 {
        assert!(!fleet.process(at).has_ended(), "instance {at} has ended");
        assert_that!(fleet.log(at), not(contains_substring("panicked")));
    }
}

/// Whether requests can be sent to the backend server, and its report to other instances.
fn is_usable(report: &BackendReport) -> bool {
    let address: Option<SocketAddr> = report.address.parse().ok();
    let names: usize = report
        .models
        .iter()
        .flat_map(|m| m.adapters.iter().chain([&m.model]))
        .map(String::len)
        .sum();
    address.is_some_and(|a| a.port() > 0)
        && (1..=65_536).contains(&report.slots)
        && report.software.len() <= 256
        && names <= 32 << 10
}

/// Values near those of an entry: of any type, out of range, long or deep.
fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<u64>().prop_map(|n| n.to_string()),
        any::<i64>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|n| json!(n).to_string()),
        (0..500_u32, any::<bool>())
            .prop_map(|(e, minus)| format!("{}1e{e}", if minus { "-" } else { "" })),
        "[0-9a-f:.\\[\\]%]{0,24}:[0-9]{1,6}".prop_map(|text| json!(text).to_string()),
        ".{0,40}".prop_map(|text| json!(text).to_string()),
        (0..70_000_usize).prop_map(long_text),
        (0..300_usize).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        prop::collection::vec(".{0,300}", 0..200)
            .prop_map(|names| json!([{"name": "m", "adapters": names}]).to_string()),
        Just("null".to_owned()),
        Just("{}".to_owned()),
    ]
}

proptest! {
    #![proptest_config(seeded_config(1024))]

    #[test]
    fn entry_near_the_form_is_accepted_though_it_names_no_backend_server(
        field in prop::sample::select(&FIELDS[..]),
        value in odd_value(),
        cut in prop::option::of(0..400_usize),
    ) {
        let mut body = entry_with(field, &value);
        body.truncate(cut.unwrap_or(body.len()));
        if let Ok(report) = decode(&body) {
            prop_assert!(is_usable(&report), "{}", String::from_utf8_lossy(&body));
        }
    }
}

cases! {
    malformed_entry_is_accepted => {
        assert_that!(accepted(malformed_entries()), is_empty());
    };
    entry_that_fills_messages_between_instances_is_accepted => {
        assert_that!(accepted(long_entries()), is_empty());
    };
    entry_to_which_no_connection_leads_is_accepted => {
        assert_that!(accepted(unreachable_entries()), is_empty());
    };
    entry_that_other_readers_cannot_read_is_accepted => {
        assert_that!(accepted(unreadable_entries()), is_empty());
    };
    proper_entry_beside_odd_ones_is_refused => {
        assert!(decode(entry().to_string().as_bytes()).is_ok());
        for (field, text) in [
            ("address", "\"[2001:db8::1]:8080\""), ("version", "\"2026.12+build 7\""), ("extra", "{\"a\":[[1e300]]}"),
            ("models", "[]"), ("born", "1764900000000"), ("seq", "0"), ("slots", "4096"),
        ] {
            assert!(decode(&entry_with(field, text)).is_ok(), "{field} {text}");
        }
    };
    good_backend_server_is_lost_beside_odd_entries => {
        let mut fleet = TestFleet::minimal();
        let backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let started = Instant::now();
        assert_that!(send_odd_entries(&fleet), is_empty());
        let lines = fleet.log(0).matches("is left out").count();
        let seconds = usize::try_from(started.elapsed().as_secs()).expect("a short time");
        assert_that!(lines, all!(ge(1), le(seconds + 1)));
        assert_that!(count_served(&fleet), eq(REQUESTS));
        expect_running(&mut fleet);
        fleet.kill(0);
        fleet.start_instance(0, false);
        wait_until("the restarted instance takes entries", || send_entry(&fleet, "odd", b"{}") == 400);
        assert_that!(send_odd_entries(&fleet), is_empty());
        wait_until("requests are served again", || fleet.caller().send().status() == 200);
        assert_that!(count_served(&fleet), eq(REQUESTS));
        expect_running(&mut fleet);
        assert_that!(backend.received().len(), gt(2 * REQUESTS));
    };
    entry_of_megabytes_keeps_an_instance_off_the_scheduler => {
        let fleet = TestFleet::start_with(FleetSettings { backend_lease: BACKEND_LEASE, ..FleetSettings::default() });
        fleet.configure(&document(1));
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        let odd = entry_with("version", &long_text(5 << 20));
        let end = Instant::now() + 3 * BACKEND_LEASE;
        while Instant::now() < end {
            send_entry(&fleet, "odd", &odd);
            assert_that!(fleet.caller().send().status(), eq(200));
        }
        assert_that!(fleet.log(0), not(contains_substring("no stream to the scheduler")));
    };
    services_that_no_document_names_get_schedulers_for_good => {
        let mut fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        send_unnamed_services(&fleet);
        thread::sleep(QUIET_PERIOD);
        assert_that!(count_unnamed_schedulers(&fleet), eq(0));
        assert_that!(count_served(&fleet), eq(REQUESTS));
        fleet.kill(0);
        fleet.start_instance(0, false);
        wait_until("requests are served again", || fleet.caller().send().status() == 200);
        assert_that!(count_unnamed_schedulers(&fleet), eq(0));
    };
    service_that_a_later_document_names_is_never_scheduled => {
        let fleet = TestFleet::minimal();
        let _backend = FakeBackend::start(&fleet, "b1", |r| r.respond("200 OK", "done"));
        send_unnamed_services(&fleet);
        let text = document(2).to_string().replace("\"app\"", "\"later\"");
        assert_that!(fleet.put_text(0, &text), eq(200));
        let _later = FakeBackend::start_version(&fleet, "b2", ("later", "v1"), |r| r.respond("200 OK", "later"));
        wait_until("the new service is used", || fleet.caller().send().body == "later");
    };
}
