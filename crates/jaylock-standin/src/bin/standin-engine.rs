//! `standin-engine`: a stand-in model engine, for tests and the demonstration.

use std::net::SocketAddr;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use compio::net::TcpListener;
use jaylock_standin::arguments::{
    self, duration_of, flag, millis, option, repeated, text_of, texts_of,
};
use jaylock_standin::{Announcement, Engine, EngineSettings, LoadedModel};

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let matches = command().get_matches();
    let listener = TcpListener::bind(text_of(&matches, "listen")).await?;
    let settings = settings(&matches, listener.local_addr()?)?;
    println!("listening {}", settings.announcement.address);
    let seeds = arguments::addresses_of(&matches, "instance");
    jaylock_standin::run_server(listener, Engine::open(settings)?, seeds).await?;
    Ok(())
}

fn settings(matches: &ArgMatches, address: SocketAddr) -> Result<EngineSettings> {
    let adapters = texts_of(matches, "adapter");
    let models = texts_of(matches, "model");
    let models: Result<Vec<LoadedModel>> =
        models.iter().map(|m| parse_model(m, &adapters)).collect();
    let announcement = Announcement {
        checks_orders: matches.get_flag("checks-orders"),
        models: models?,
        ..arguments::announcement(matches, "engine", address)
    };
    Ok(EngineSettings {
        announcement,
        token_time: duration_of(matches, "token-ms"),
        prefill_time: duration_of(matches, "prefill-ms"),
        cache_blocks: matches.get_one("cache-blocks").copied().unwrap_or_default(),
        load_time: duration_of(matches, "load-ms"),
        store: matches.get_one("store").copied(),
        run_log: matches.get_one("runs").cloned(),
        faults_enabled: matches.get_flag("faults"),
    })
}

fn parse_model(text: &str, adapters: &[String]) -> Result<LoadedModel> {
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
        .value_parser(arguments::address_parser());
    let blocks = option(
        "cache-blocks",
        "512",
        "Capacity of the prefix cache in prompt blocks",
    );
    arguments::backend_command("standin-engine", "A stand-in model engine")
        .arg(store.help("Weight store to load models from, IP:PORT"))
        .arg(repeated("model", "Loaded model, NAME@VERSION"))
        .arg(repeated("adapter", "Adapter of each loaded model"))
        .arg(millis("token-ms", "5", "Time to generate one token, in ms"))
        .arg(millis(
            "prefill-ms",
            "5",
            "Time before the first token, in ms",
        ))
        .arg(blocks.value_parser(value_parser!(usize)))
        .arg(millis("load-ms", "100", "Time to load a model, in ms"))
        .arg(flag(
            "checks-orders",
            "Refuse orders with an old fencing number",
        ))
}
