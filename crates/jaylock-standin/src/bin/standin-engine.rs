//! A stand-in model engine, for tests and the demonstration.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use compio::net::TcpListener;
use jaylock_standin::arguments::{self, flag, many, option, text_of, texts_of, time, time_of};
use jaylock_standin::{Announcement, Engine, EngineSettings, LoadedModel};

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let given = command().get_matches();
    let listener = TcpListener::bind(text_of(&given, "listen")).await?;
    let settings = settings(&given, listener.local_addr()?)?;
    println!("listening {}", settings.announcement.address);
    let seeds = arguments::addresses_of(&given, "instance");
    jaylock_standin::run(listener, Engine::open(settings)?, seeds).await?;
    Ok(())
}

fn settings(given: &ArgMatches, address: SocketAddr) -> Result<EngineSettings> {
    let adapters = texts_of(given, "adapter");
    let models = texts_of(given, "model");
    let models: Result<Vec<LoadedModel>> = models.iter().map(|m| model(m, &adapters)).collect();
    let announcement = Announcement {
        checks_orders: given.get_flag("checks-orders"),
        models: models?,
        ..arguments::announcement(given, "engine", address)
    };
    Ok(EngineSettings {
        announcement,
        token_time: time_of(given, "token-ms"),
        prefill_time: time_of(given, "prefill-ms"),
        cache_blocks: given.get_one("cache-blocks").copied().unwrap_or_default(),
        load_time: time_of(given, "load-ms"),
        store: given.get_one("store").copied(),
        runs: given.get_one("runs").cloned(),
        faults: given.get_flag("faults"),
    })
}

fn model(text: &str, adapters: &[String]) -> Result<LoadedModel> {
    let (name, version) = text
        .split_once('@')
        .with_context(|| format!("--model {text}: write NAME@VERSION"))?;
    Ok(LoadedModel {
        model: name.into(),
        version: version.into(),
        adapters: adapters.to_vec(),
    })
}

fn command() -> Command {
    let store = Arg::new("store")
        .long("store")
        .value_parser(arguments::address());
    let blocks = option("cache-blocks", "512", "Prompt blocks that its cache holds");
    arguments::backend_command("standin-engine", "A stand-in model engine")
        .arg(store.help("Weight store to load from, IP:PORT"))
        .arg(many("model", "Model that it holds, NAME@VERSION"))
        .arg(many("adapter", "Adapter on top of each model"))
        .arg(time("token-ms", "5", "Time for each token, in ms"))
        .arg(time(
            "prefill-ms",
            "5",
            "Time before the first token, in ms",
        ))
        .arg(blocks.value_parser(value_parser!(usize)))
        .arg(time("load-ms", "100", "Time for loading a model, in ms"))
        .arg(flag(
            "checks-orders",
            "Refuse orders with an old fencing number",
        ))
}
