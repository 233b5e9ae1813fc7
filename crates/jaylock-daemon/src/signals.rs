use std::io;
use std::pin::Pin;

use compio::signal::unix::signal;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::{FutureExt, StreamExt};

/// Signal with which service managers request a graceful shutdown.
const SIGTERM: i32 = 15;
/// Signal that requests a reload of the settings.
const SIGHUP: i32 = 1;
/// Signal that a terminal sends on Ctrl-C.
const SIGINT: i32 = 2;

type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Waits for a signal that requests a shutdown.
///
/// Both signals stay handled until the process exits, so that a repeated signal cancels no request.
pub async fn shutdown_signal() {
    let (sender, mut signals) = unbounded();
    for number in [SIGTERM, SIGINT] {
        compio::runtime::spawn(forward(number, sender.clone())).detach();
    }
    drop(sender);
    if signals.next().await.is_none() {
        log::error!(target: "daemon", "can't listen for signals; stop the process with SIGKILL");
        std::future::pending::<()>().await;
    }
}

/// Returns a stream with one item per signal that requests a reload of the settings.
pub fn reload_signals() -> UnboundedReceiver<()> {
    let (sender, signals) = unbounded();
    compio::runtime::spawn(forward(SIGHUP, sender)).detach();
    signals
}

/// Sends an item for each arrival of a signal; the next listener registers before the current one ends.
async fn forward(number: i32, sender: UnboundedSender<()>) {
    let mut current = listener(number);
    let mut next = listener(number);
    while current.await.is_ok() {
        let _ = sender.unbounded_send(());
        current = next;
        next = listener(number);
    }
}

fn listener(number: i32) -> Listener {
    let mut listener: Listener = Box::pin(signal(number));
    // The first poll registers the listener.
    match listener.as_mut().now_or_never() {
        Some(outcome) => Box::pin(std::future::ready(outcome)),
        None => listener,
    }
}
