use std::io;
use std::pin::{Pin, pin};

use compio::signal::unix::signal;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, StreamExt};

/// Signal with which service managers request a graceful shutdown.
const SIGTERM: i32 = 15;
/// Signal that requests a reload of the settings.
const SIGHUP: i32 = 1;
/// Signal that a terminal sends on Ctrl-C.
const SIGINT: i32 = 2;

type Listener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// The signals that the process handles.
///
/// They stay handled until the process exits, so that a repeated signal cancels no request.
pub struct Signals {
    shutdown: UnboundedReceiver<()>,
    reload: UnboundedReceiver<()>,
}

impl Signals {
    /// Starts to handle the signals, each of which would otherwise end the process at once.
    #[must_use]
    pub fn register() -> Self {
        let (shutdown_sender, shutdown) = unbounded();
        let (reload_sender, reload) = unbounded();
        forward(SIGTERM, shutdown_sender.clone());
        forward(SIGINT, shutdown_sender);
        forward(SIGHUP, reload_sender);
        Self { shutdown, reload }
    }

    /// Runs work unless a shutdown signal arrives first; returns `None` in that case.
    pub async fn interrupt<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        match select(self.shutdown.next(), pin!(work)).await {
            Either::Left(_) => None,
            Either::Right((outcome, _)) => Some(outcome),
        }
    }

    /// Splits off the stream of reload signals from the future that waits for a shutdown signal.
    pub(crate) fn split(self) -> (impl Future<Output = ()>, UnboundedReceiver<()>) {
        (wait_for_shutdown(self.shutdown), self.reload)
    }
}

async fn wait_for_shutdown(mut signals: UnboundedReceiver<()>) {
    if signals.next().await.is_none() {
        log::error!(target: "daemon", "can't listen for signals; stop the process with SIGKILL");
        std::future::pending::<()>().await;
    }
}

/// Sends an item for each arrival of a signal from now on.
fn forward(number: i32, sender: UnboundedSender<()>) {
    let mut current = listener(number);
    let mut next = listener(number);
    // The next listener registers before the current one ends.
    let forwarding = async move {
        while current.await.is_ok() {
            let _ = sender.unbounded_send(());
            current = next;
            next = listener(number);
        }
    };
    compio::runtime::spawn(forwarding).detach();
}

fn listener(number: i32) -> Listener {
    let mut listener: Listener = Box::pin(signal(number));
    // The first poll registers the listener.
    match listener.as_mut().now_or_never() {
        Some(outcome) => Box::pin(std::future::ready(outcome)),
        None => listener,
    }
}
