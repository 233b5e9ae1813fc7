//! `standin-caller`: sends requests, verifies each response and prints a summary as JSON.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use clap::{ArgMatches, Command, value_parser};
use futures_util::future::join_all;
use jaylock_standin::arguments::{
    self, duration_of, flag, millis, option, repeated, text_of, texts_of,
};
use jaylock_standin::{Caller, CallerRequest, CallerSettings, Outcome, RequestResult, RunStatus};
use serde::Serialize;

/// Lengths of responses in chunks, mostly short.
const LENGTHS: [u32; 6] = [4, 4, 8, 4, 16, 40];

#[derive(Debug, Default, Serialize)]
struct Summary {
    requests: usize,
    served: usize,
    unknown: usize,
    refused: usize,
    gave_up: usize,
    wrong: usize,
    attempts: usize,
    not_run: usize,
    addresses: usize,
    p50_ms: u128,
    p99_ms: u128,
}

struct Workload {
    matches: ArgMatches,
    next: Cell<usize>,
    total: usize,
}

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let matches = command().get_matches();
    let concurrency: usize = matches.get_one("concurrency").copied().unwrap_or(1);
    let keys = texts_of(&matches, "key");
    let seeds = arguments::addresses_of(&matches, "instance");
    let request_timeout = duration_of(&matches, "patience-ms");
    let allow_unknown = matches.get_flag("allow-unknown");
    let workload = Rc::new(Workload {
        total: matches.get_one("requests").copied().unwrap_or_default(),
        next: Cell::new(0),
        matches,
    });
    let workers = (0..concurrency).map(|index| {
        let caller = Caller::new(CallerSettings {
            seeds: seeds.clone(),
            key: keys[index % keys.len()].clone(),
            first_address: index,
            request_timeout,
            ..CallerSettings::default()
        });
        run_worker(caller, workload.clone())
    });
    let results = join_all(workers).await.concat();
    let summary = summarise(&results);
    println!("{}", serde_json::to_string(&summary)?);
    for result in results.iter().filter(|r| r.outcome != Outcome::Served) {
        eprintln!("{}", serde_json::to_string(result)?);
    }
    let unknown = if allow_unknown { 0 } else { summary.unknown };
    if summary.wrong + summary.gave_up + summary.refused + unknown > 0 {
        bail!("not every request was served with its complete response");
    }
    Ok(())
}

async fn run_worker(caller: Caller, workload: Rc<Workload>) -> Vec<RequestResult> {
    let mut results = Vec::new();
    while let Some(request) = workload.next_request() {
        results.push(caller.run(request).await);
    }
    results
}

impl Workload {
    fn next_request(&self) -> Option<CallerRequest> {
        let number = self.next.get();
        if number >= self.total {
            return None;
        }
        self.next.set(number + 1);
        Some(self.request(number))
    }

    fn request(&self, number: usize) -> CallerRequest {
        let model = text_of(&self.matches, "model");
        let service = text_of(&self.matches, "service");
        let seed = text_of(&self.matches, "seed");
        let is_call = !service.is_empty() && (model.is_empty() || number.is_multiple_of(4));
        if is_call {
            return CallerRequest::Call {
                service,
                path: format!("/actions/{number}"),
                body: format!("action {number} of {seed}"),
                key: format!("{seed}-{number}"),
            };
        }
        let length = LENGTHS[number % LENGTHS.len()];
        CallerRequest::Chat {
            model,
            prompt: format!("request {number} of {seed} len={length}"),
            stream: !number.is_multiple_of(3),
        }
    }
}

fn summarise(results: &[RequestResult]) -> Summary {
    let count = |outcome| results.iter().filter(|r| r.outcome == outcome).count();
    let attempts = || results.iter().flat_map(|r| &r.attempts);
    let mut addresses: Vec<SocketAddr> = attempts().map(|a| a.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    let mut times: Vec<Duration> = results.iter().map(|r| r.total_time).collect();
    times.sort_unstable();
    let percentile = |percent: usize| {
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or_default().as_millis()
    };
    Summary {
        requests: results.len(),
        served: count(Outcome::Served),
        unknown: count(Outcome::Unknown),
        refused: count(Outcome::Refused),
        gave_up: count(Outcome::GaveUp),
        wrong: count(Outcome::Wrong),
        attempts: attempts().count(),
        not_run: attempts().filter(|a| a.run == RunStatus::NotRun).count(),
        addresses: addresses.len(),
        p50_ms: percentile(50),
        p99_ms: percentile(99),
    }
}

fn command() -> Command {
    let instance = repeated("instance", "Instance that lists the routers, IP:PORT");
    let number =
        |name, default, help| option(name, default, help).value_parser(value_parser!(usize));
    Command::new("standin-caller")
        .about("Sends requests as callers would and verifies the responses")
        .arg(
            instance
                .value_parser(arguments::address_parser())
                .required(true),
        )
        .arg(repeated("key", "Key of an organisation").required(true))
        .arg(option("model", "", "Model to request"))
        .arg(option("service", "", "Plain service to call"))
        .arg(option(
            "seed",
            "1",
            "Text that distinguishes the prompts and keys of different runs",
        ))
        .arg(number("requests", "100", "Number of requests"))
        .arg(number("concurrency", "4", "Number of concurrent requests"))
        .arg(millis(
            "patience-ms",
            "30000",
            "Timeout of a request with all its attempts, in ms",
        ))
        .arg(flag(
            "allow-unknown",
            "Accept requests whose outcome is reported as unknown",
        ))
}
