//! `standin-store`: a stand-in weight store, for tests and the demonstration.

use std::rc::Rc;

use anyhow::Result;
use clap::Command;
use compio::net::TcpListener;
use jaylock_standin::arguments::{duration_of, millis, option, text_of};
use jaylock_standin::{Store, StoreSettings};

#[compio::main]
async fn main() -> Result<()> {
    jaylock_standin::log_to_stderr();
    let matches = command().get_matches();
    let listener = TcpListener::bind(text_of(&matches, "listen")).await?;
    println!("listening {}", listener.local_addr()?);
    let store = Rc::new(Store::new(StoreSettings {
        min_load_interval: duration_of(&matches, "pause-ms"),
    }));
    let handler = move |request| store.clone().handle(request);
    compio::runtime::spawn(jaylock_standin::serve(listener, handler)).detach();
    jaylock_standin::wait_for_sigterm().await?;
    Ok(())
}

fn command() -> Command {
    Command::new("standin-store")
        .about("A stand-in weight store")
        .arg(option(
            "listen",
            "127.0.0.1:0",
            "Address to listen on, IP:PORT",
        ))
        .arg(millis(
            "pause-ms",
            "200",
            "Minimum time between two loads, in ms",
        ))
}
