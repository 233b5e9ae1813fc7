use std::io;
use std::pin::Pin;

use compio::signal::unix::signal;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::{FutureExt, StreamExt};

/// Signal that asks for a graceful shutdown, as service managers send it.
const SIGTERM: i32 = 15;
/// Signal that says that the settings file has changed.
const SIGHUP: i32 = 1;
/// Signal that a terminal sends for Ctrl-C.
const SIGINT: i32 = 2;

type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Waits until the process is asked to end.
///
/// Both signals stay caught until the process ends, so that asking twice cuts no request.
pub async fn stop_signal() {
    let (sender, mut asked) = unbounded();
    for number in [SIGTERM, SIGINT] {
        compio::runtime::spawn(catch(number, sender.clone())).detach();
    }
    drop(sender);
    if asked.next().await.is_none() {
        log::error!(target: "daemon", "signals can't be heard; end the process by SIGKILL");
        std::future::pending::<()>().await;
    }
}

/// One item each time the process is told that its settings have changed.
pub fn hangups() -> UnboundedReceiver<()> {
    let (sender, told) = unbounded();
    compio::runtime::spawn(catch(SIGHUP, sender)).detach();
    told
}

/// Reports each arrival of a signal; the next listener registers before the last one goes.
async fn catch(number: i32, sender: UnboundedSender<()>) {
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
    // The first poll registers it.
    match listener.as_mut().now_or_never() {
        Some(outcome) => Box::pin(std::future::ready(outcome)),
        None => listener,
    }
}
