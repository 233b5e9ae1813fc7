//! Measures control traffic and processor time of real streams on loopback.

use std::time::{Duration, Instant};

use compio::net::TcpListener;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Instance, LoadedModel, PoolLease, Progress,
};
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve, traffic};
use jaylock_share::{SchedulerClient, SchedulerClientSettings, SchedulerHost, SchedulerSettings};
use jaylock_types::{Incarnation, PoolId};

/// Request rate of one router.
const REQUESTS_PER_SECOND: u64 = 24;
/// Time over which traffic is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// Ethernet, IP and TCP headers of a packet, with TCP time stamps.
const PACKET_HEADER_BYTES: f64 = 66.0;
/// Engines of a pool, each of which reports once per second; a router of a fleet forwards the reports of two or three.
const ENGINES_PER_POOL: usize = 2;
/// Unit of processor time in `/proc/self/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

pub fn print() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    println!(
        "{REQUESTS_PER_SECOND} requests/s a router, {} tokens each, {} s",
        TOKENS_PER_REQUEST,
        MEASURE_TIME.as_secs()
    );
    println!(
        "{:>7} {:>6} {:>14} {:>14} {:>13} {:>10}",
        "routers", "pools", "payload B/s", "writes/s", "with headers", "cpu %"
    );
    for (routers, pools) in [(1, 1), (9, 1), (9, 2), (4, 12)] {
        runtime.block_on(measure(routers, pools));
    }
}

/// Tokens that a request generates.
const TOKENS_PER_REQUEST: u64 = 260;
/// Time that a request takes.
const REQUEST_DURATION: Duration = Duration::from_secs(5);

async fn measure(routers: usize, pools: usize) {
    let view = ConfigView::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let id: jaylock_types::InstanceId = "i1".parse().expect("a name");
    let host = SchedulerHost::new(
        id,
        Incarnation(1),
        view.clone(),
        || true,
        SchedulerSettings::default(),
    );
    let services = Routes::default().with(Access::Instances, host.service());
    let server = compio::runtime::spawn(serve(listener, services, ServerSettings::default()));
    let host_task = compio::runtime::spawn(host.run());
    let lease = |pool| PoolLease {
        pool: format!("p{pool}"),
        instance: "i1".into(),
        incarnation: 1,
        epoch: 1,
    };
    let instance = Instance {
        id: "i1".into(),
        incarnation: 1,
        peer_address: address.to_string(),
        ..Instance::default()
    };
    let configuration = Configuration {
        index: 1,
        pools: (0..pools).map(lease).collect(),
        instances: vec![instance],
        ..Configuration::default()
    };
    let _ = view.update(configuration);
    let mut tasks = Vec::new();
    for router in 0..routers {
        let client = SchedulerClient::new(
            format!("r{router}").parse().expect("a name"),
            Incarnation(1),
            "amman-a".parse().expect("a name"),
            view.clone(),
            ChannelSettings::default(),
            SchedulerClientSettings::default(),
        );
        tasks.push(compio::runtime::spawn(send_requests(
            client.clone(),
            router as u64,
            pools as u64,
        )));
        if router == 0 {
            tasks.push(compio::runtime::spawn(send_reports(client, pools)));
        }
    }
    compio::time::sleep(REQUEST_DURATION + Duration::from_secs(1)).await;
    let (bytes, cpu_before, writes) = (traffic().sent, cpu_seconds(), traffic().flushes);
    compio::time::sleep(MEASURE_TIME).await;
    let seconds = MEASURE_TIME.as_secs_f64() * routers as f64;
    // The counter covers both directions, so bytes from the scheduler count for the routers too.
    let payload = (traffic().sent - bytes) as f64 / seconds;
    let writes = (traffic().flushes - writes) as f64 / seconds;
    let cpu = (cpu_seconds() - cpu_before) * 100.0 / seconds;
    let with_headers = payload + writes * PACKET_HEADER_BYTES;
    println!(
        "{routers:>7} {pools:>6} {payload:>14.0} {writes:>14.1} {with_headers:>13.0} {cpu:>10.2}"
    );
    drop((tasks, server, host_task));
}

/// Sends requests at a constant rate to the pools in turn.
async fn send_requests(client: SchedulerClient, router: u64, pools: u64) {
    let mut due = Instant::now() + Duration::from_millis(router * 5);
    for number in 0_u64.. {
        due += Duration::from_micros(1_000_000 / REQUESTS_PER_SECOND);
        compio::time::sleep_until(due).await;
        let pool: PoolId = format!("p{}", number % pools).parse().expect("a name");
        compio::runtime::spawn(run_request(client.clone(), pool, number)).detach();
    }
}

async fn run_request(client: SchedulerClient, pool: PoolId, number: u64) {
    let ask = Ask {
        organisation: format!("organisation-{}", number % 16),
        model: "dossier".into(),
        limit: 400,
        prompt_tokens: 900,
        prefixes: vec![number % 50],
        request: format!("{number:032x}"),
        ..Ask::default()
    };
    let Ok(grant) = client.request_slot(&pool, ask).await else {
        return;
    };
    let ticket = grant.ticket;
    for part in 1..20 {
        compio::time::sleep(REQUEST_DURATION / 20).await;
        client.report_progress(
            &pool,
            Progress {
                ticket,
                tokens: TOKENS_PER_REQUEST * part / 20,
            },
        );
    }
    compio::time::sleep(REQUEST_DURATION / 20).await;
    client.release_slot(
        &pool,
        End {
            ticket,
            tokens: TOKENS_PER_REQUEST,
            ..End::default()
        },
    );
}

/// Sends reports once per second of engines that have slots for all requests.
async fn send_reports(client: SchedulerClient, pools: usize) {
    loop {
        for pool in 0..pools {
            for engine in 0..ENGINES_PER_POOL {
                let model = LoadedModel {
                    model: "dossier".into(),
                    version: "1".into(),
                    adapters: Vec::new(),
                };
                client.report_backend(BackendReport {
                    id: format!("p{pool}-e{engine}"),
                    incarnation: 1,
                    address: "10.0.0.1:8000".into(),
                    domain: "amman-a".into(),
                    models: vec![model],
                    slots: 2000,
                    pool: format!("p{pool}"),
                    ..BackendReport::default()
                });
            }
        }
        compio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Processor time of this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / CLOCK_TICKS_PER_SECOND
}
