//! A stand-in caller: sends requests, checks each answer, and prints a summary in JSON.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use clap::{ArgMatches, Command, value_parser};
use futures_util::future::join_all;
use jaylock_standin::arguments::{self, flag, many, option, text_of, texts_of, time, time_of};
use jaylock_standin::{Account, Caller, CallerSettings, Errand, Outcome, RunClaim};
use serde::Serialize;

/// Lengths of answers in pieces, short look-ups mostly.
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

struct Work {
    given: ArgMatches,
    next: Cell<usize>,
    most: usize,
}

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let given = command().get_matches();
    let concurrency: usize = given.get_one("concurrency").copied().unwrap_or(1);
    let keys = texts_of(&given, "key");
    let seeds = arguments::addresses_of(&given, "instance");
    let patience = time_of(&given, "patience-ms");
    let allow_unknown = given.get_flag("allow-unknown");
    let work = Rc::new(Work {
        most: given.get_one("requests").copied().unwrap_or_default(),
        next: Cell::new(0),
        given,
    });
    let lanes = (0..concurrency).map(|lane| {
        let caller = Caller::new(CallerSettings {
            seeds: seeds.clone(),
            key: keys[lane % keys.len()].clone(),
            first: lane,
            patience,
            ..CallerSettings::default()
        });
        run_lane(caller, work.clone())
    });
    let accounts = join_all(lanes).await.concat();
    let summary = summarise(&accounts);
    println!("{}", serde_json::to_string(&summary)?);
    for account in accounts.iter().filter(|a| a.outcome != Outcome::Served) {
        eprintln!("{}", serde_json::to_string(account)?);
    }
    let unknown = if allow_unknown { 0 } else { summary.unknown };
    if summary.wrong + summary.gave_up + summary.refused + unknown > 0 {
        bail!("not every request was served with its own whole answer");
    }
    Ok(())
}

async fn run_lane(caller: Caller, work: Rc<Work>) -> Vec<Account> {
    let mut accounts = Vec::new();
    while let Some(errand) = work.take() {
        accounts.push(caller.run(errand).await);
    }
    accounts
}

impl Work {
    fn take(&self) -> Option<Errand> {
        let number = self.next.get();
        if number >= self.most {
            return None;
        }
        self.next.set(number + 1);
        Some(self.errand(number))
    }

    fn errand(&self, number: usize) -> Errand {
        let model = text_of(&self.given, "model");
        let service = text_of(&self.given, "service");
        let seed = text_of(&self.given, "seed");
        let is_call = !service.is_empty() && (model.is_empty() || number.is_multiple_of(4));
        if is_call {
            return Errand::Call {
                service,
                path: format!("/actions/{number}"),
                body: format!("action {number} of {seed}"),
                key: format!("{seed}-{number}"),
            };
        }
        let length = LENGTHS[number % LENGTHS.len()];
        Errand::Chat {
            model,
            prompt: format!("request {number} of {seed} len={length}"),
            stream: !number.is_multiple_of(3),
        }
    }
}

fn summarise(accounts: &[Account]) -> Summary {
    let count = |outcome| accounts.iter().filter(|a| a.outcome == outcome).count();
    let attempts = || accounts.iter().flat_map(|a| &a.attempts);
    let mut addresses: Vec<SocketAddr> = attempts().map(|a| a.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    let mut times: Vec<Duration> = accounts.iter().map(|a| a.took).collect();
    times.sort_unstable();
    let percentile = |share: usize| {
        let place = (times.len() * share / 100).min(times.len().saturating_sub(1));
        times.get(place).copied().unwrap_or_default().as_millis()
    };
    Summary {
        requests: accounts.len(),
        served: count(Outcome::Served),
        unknown: count(Outcome::Unknown),
        refused: count(Outcome::Refused),
        gave_up: count(Outcome::GaveUp),
        wrong: count(Outcome::Wrong),
        attempts: attempts().count(),
        not_run: attempts().filter(|a| a.run == RunClaim::NotRun).count(),
        addresses: addresses.len(),
        p50_ms: percentile(50),
        p99_ms: percentile(99),
    }
}

fn command() -> Command {
    let instance = many("instance", "Instance to ask for addresses, IP:PORT");
    let number =
        |name, default, help| option(name, default, help).value_parser(value_parser!(usize));
    Command::new("standin-caller")
        .about("A stand-in caller")
        .arg(instance.value_parser(arguments::address()).required(true))
        .arg(many("key", "Key of an organisation").required(true))
        .arg(option("model", "", "Model to ask"))
        .arg(option("service", "", "Plain service to call"))
        .arg(option(
            "seed",
            "1",
            "Makes prompts and keys differ between runs",
        ))
        .arg(number("requests", "100", "Requests to send"))
        .arg(number("concurrency", "4", "Requests at once"))
        .arg(time(
            "patience-ms",
            "30000",
            "Time for a request with all its tries",
        ))
        .arg(flag(
            "allow-unknown",
            "Take an outcome that is said to be unknown as an answer",
        ))
}
