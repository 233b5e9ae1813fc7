//! Time and memory of the allocator against the numbers of organisations, routers and backend servers.

use std::time::{Duration, Instant};

use jaylock_rpc::v1::{Ask, BackendReport, End, Hello, LoadedModel, RouterFrame};
use jaylock_share::{Allocator, RouterKey, SchedulerSettings};

/// Requests that are queued, granted and ended in a measurement.
const REQUESTS: u64 = 40_000;
/// Slots of each backend server.
const SLOTS_PER_BACKEND: u32 = 8;
/// Requests that wait when memory is measured; equals the limit of a pool.
const WAITING_REQUESTS: u64 = 20_000;
/// Size of a page of memory.
const PAGE_BYTES: u64 = 4096;

#[derive(Debug, Clone, Copy)]
struct Size {
    organisations: u64,
    routers: u64,
    backends: u64,
    /// Parts of a prompt beyond those by which it is placed.
    parts: u64,
}

pub fn print() {
    let base = Size {
        organisations: 82,
        routers: 400,
        backends: 76,
        parts: 0,
    };
    print_memory();
    println!("one pool, {REQUESTS} requests, all organisations backlogged");
    println!(
        "{:>14} {:>8} {:>9} {:>6} {:>12} {:>14}",
        "organisations", "routers", "backends", "parts", "us/request", "tick us"
    );
    let mut sizes = vec![base];
    sizes.extend([16, 164, 328, 820].map(|organisations| Size {
        organisations,
        ..base
    }));
    sizes.extend([9, 100, 200].map(|routers| Size { routers, ..base }));
    sizes.extend([12, 38, 152].map(|backends| Size { backends, ..base }));
    sizes.extend([8, 100, 1000, 8000].map(|parts| Size { parts, ..base }));
    for size in sizes {
        let (request, tick) = measure(size);
        println!(
            "{:>14} {:>8} {:>9} {:>6} {:>12.2} {:>14.1}",
            size.organisations,
            size.routers,
            size.backends,
            size.parts,
            request.as_secs_f64() * 1e6,
            tick.as_secs_f64() * 1e6,
        );
    }
}

/// Prints the memory of a full scheduler: all organisations known, all slots taken, all queues full.
fn print_memory() {
    let size = Size {
        organisations: 820,
        routers: 400,
        backends: 76,
        parts: 0,
    };
    let before = resident_bytes();
    let now = Instant::now();
    let (mut allocator, routers) = pool(size, now);
    let now = now + SchedulerSettings::default().startup_delay;
    for ticket in 0..WAITING_REQUESTS {
        apply(&mut allocator, &routers, ask_frame(ticket, size), now);
    }
    allocator.decide(now);
    let waiting: u32 = allocator
        .describe("i1", now)
        .organisations
        .iter()
        .map(|o| o.backlog)
        .sum();
    let grown_kib = (resident_bytes() - before) / 1024;
    println!(
        "820 organisations, 400 routers, 76 backend servers, {waiting} waiting: {grown_kib} KiB"
    );
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Creates an allocator with all routers attached and all backend servers announced.
fn pool(size: Size, now: Instant) -> (Allocator, Vec<RouterKey>) {
    let settings = SchedulerSettings::default();
    let mut allocator = Allocator::new("chat", 1, settings, now);
    let hello = |router| Hello {
        router: format!("r{router}"),
        ..Hello::default()
    };
    let routers: Vec<RouterKey> = (0..size.routers)
        .map(|router| allocator.attach(&hello(router), now))
        .collect();
    let reports = RouterFrame {
        backends: (0..size.backends).map(engine_report).collect(),
        ..Default::default()
    };
    allocator.apply(routers[0], reports, now);
    (allocator, routers)
}

/// Measures the time for one request (ask, grant and end) and the time for one tick.
fn measure(size: Size) -> (Duration, Duration) {
    let start = Instant::now();
    let (mut allocator, routers) = pool(size, start);
    let now = start + SchedulerSettings::default().startup_delay;
    let slots = size.backends * u64::from(SLOTS_PER_BACKEND);
    let waiting = slots + 8 * size.organisations;
    for ticket in 0..waiting {
        apply(&mut allocator, &routers, ask_frame(ticket, size), now);
    }
    allocator.decide(now);
    let mut running: Vec<u64> = take_granted(&mut allocator, now);
    let start = Instant::now();
    for ticket in waiting..waiting + REQUESTS {
        // The multiplier selects running requests in no particular order.
        let ended = running.swap_remove((ticket * 7919) as usize % running.len());
        let end = End {
            ticket: ended,
            tokens: 20 + ended % 400,
            ..End::default()
        };
        let router = ended % size.routers;
        apply(
            &mut allocator,
            &routers,
            (
                router,
                RouterFrame {
                    ends: vec![end],
                    ..Default::default()
                },
            ),
            now,
        );
        apply(&mut allocator, &routers, ask_frame(ticket, size), now);
        allocator.decide(now);
        running.extend(take_granted(&mut allocator, now));
    }
    let request = start.elapsed() / REQUESTS as u32;
    let start = Instant::now();
    for _ in 0..100 {
        allocator.tick(now);
    }
    (request, start.elapsed() / 100)
}

fn apply(
    allocator: &mut Allocator,
    routers: &[RouterKey],
    (router, frame): (u64, RouterFrame),
    now: Instant,
) {
    allocator.apply(routers[router as usize], frame, now);
}

fn ask_frame(ticket: u64, size: Size) -> (u64, RouterFrame) {
    let ask = Ask {
        ticket,
        organisation: format!("organisation-{}", ticket % size.organisations),
        model: "dossier".into(),
        limit: 1 << (ticket % 12),
        request: format!("{ticket:032x}"),
        // Half of them are in all prompts.
        further_causes: (0..size.parts)
            .map(|part| {
                if part % 2 == 0 {
                    part
                } else {
                    (ticket << 16) + part
                }
            })
            .collect(),
        ..Ask::default()
    };
    (
        ticket % size.routers,
        RouterFrame {
            asks: vec![ask],
            ..RouterFrame::default()
        },
    )
}

fn take_granted(allocator: &mut Allocator, now: Instant) -> Vec<u64> {
    let frames = allocator.frames(now);
    frames
        .into_iter()
        .flat_map(|(_, frame)| frame.grants)
        .map(|grant| grant.ticket)
        .collect()
}

fn engine_report(backend: u64) -> BackendReport {
    let model = LoadedModel {
        model: "dossier".into(),
        ..LoadedModel::default()
    };
    BackendReport {
        id: format!("e{backend}"),
        incarnation: 1,
        address: "10.0.0.1:8000".into(),
        models: vec![model],
        slots: SLOTS_PER_BACKEND,
        ..BackendReport::default()
    }
}
