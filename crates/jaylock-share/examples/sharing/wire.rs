//! Control traffic and processor time of real streams on loopback.

use std::time::{Duration, Instant};

use compio::net::TcpListener;
use jaylock_control::ConfigView;
use jaylock_rpc::v1::{
    Ask, BackendReport, Configuration, End, Instance, LoadedModel, PoolLease, Progress,
};
use jaylock_rpc::{Access, ChannelSettings, Routes, ServerSettings, serve, traffic};
use jaylock_share::{SchedulerClient, SchedulerClientSettings, SchedulerHost, SchedulerSettings};
use jaylock_types::{Incarnation, PoolId};

/// Requests a second of one router.
const RATE: u64 = 24;
/// Time over which traffic is counted.
const SPAN: Duration = Duration::from_secs(10);
/// Bytes of the headers of a packet: Ethernet, IP and TCP with time stamps.
const PACKET: f64 = 66.0;
/// Engines of a pool, each of which reports once a second; a router carries two or three of them.
const ENGINES: usize = 2;
/// Clock ticks of processor time in a second.
const TICKS: f64 = 100.0;

pub fn print() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    println!(
        "{RATE} requests/s a router, {} tokens each, {} s",
        TOKENS,
        SPAN.as_secs()
    );
    println!(
        "{:>7} {:>6} {:>14} {:>14} {:>13} {:>10}",
        "routers", "pools", "payload B/s", "writes/s", "with headers", "cpu %"
    );
    for (routers, pools) in [(1, 1), (9, 1), (9, 2), (4, 12)] {
        runtime.block_on(measure(routers, pools));
    }
}

/// Tokens of a request, and time it takes.
const TOKENS: u64 = 260;
const LASTS: Duration = Duration::from_secs(5);

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
    let running = compio::runtime::spawn(host.run());
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
        tasks.push(compio::runtime::spawn(load(
            client.clone(),
            router as u64,
            pools as u64,
        )));
        if router == 0 {
            tasks.push(compio::runtime::spawn(report(client, pools)));
        }
    }
    compio::time::sleep(LASTS + Duration::from_secs(1)).await;
    let (bytes, spent, writes) = (traffic().sent, processor(), traffic().flushes);
    compio::time::sleep(SPAN).await;
    let seconds = SPAN.as_secs_f64() * routers as f64;
    // Each byte that a node receives from the scheduler counts for it like those that it sends.
    let payload = (traffic().sent - bytes) as f64 / seconds;
    let writes = (traffic().flushes - writes) as f64 / seconds;
    let cpu = (processor() - spent) * 100.0 / seconds;
    let whole = payload + writes * PACKET;
    println!("{routers:>7} {pools:>6} {payload:>14.0} {writes:>14.1} {whole:>13.0} {cpu:>10.2}");
    drop((tasks, server, running));
}

/// Sends requests at a steady rate to the pools in turn.
async fn load(client: SchedulerClient, router: u64, pools: u64) {
    let mut due = Instant::now() + Duration::from_millis(router * 5);
    for number in 0_u64.. {
        due += Duration::from_micros(1_000_000 / RATE);
        compio::time::sleep_until(due).await;
        let pool: PoolId = format!("p{}", number % pools).parse().expect("a name");
        compio::runtime::spawn(request(client.clone(), pool, number)).detach();
    }
}

async fn request(client: SchedulerClient, pool: PoolId, number: u64) {
    let ask = Ask {
        organisation: format!("organisation-{}", number % 16),
        model: "dossier".into(),
        limit: 400,
        prompt_tokens: 900,
        prefixes: vec![number % 50],
        request: format!("{number:032x}"),
        ..Ask::default()
    };
    let Ok(grant) = client.ask(&pool, ask).await else {
        return;
    };
    let ticket = grant.ticket;
    for part in 1..20 {
        compio::time::sleep(LASTS / 20).await;
        client.progress(
            &pool,
            Progress {
                ticket,
                tokens: TOKENS * part / 20,
            },
        );
    }
    compio::time::sleep(LASTS / 20).await;
    client.end(
        &pool,
        End {
            ticket,
            tokens: TOKENS,
            ..End::default()
        },
    );
}

/// Engines with room for all, which report once a second.
async fn report(client: SchedulerClient, pools: usize) {
    loop {
        for pool in 0..pools {
            for engine in 0..ENGINES {
                let model = LoadedModel {
                    model: "dossier".into(),
                    version: "1".into(),
                    adapters: Vec::new(),
                };
                client.report(BackendReport {
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

/// Processor time of this process in seconds.
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS
}
