use std::io;
use std::pin::pin;

use compio::runtime::fd::PollFd;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};

/// Signal with which service managers request a graceful shutdown.
const SIGTERM: i32 = Signal::SIGTERM as i32;
/// Signal that requests a reload of the settings.
const SIGHUP: i32 = Signal::SIGHUP as i32;
/// Signal that a terminal sends on Ctrl-C.
const SIGINT: i32 = Signal::SIGINT as i32;

/// Signals with their default action: faults of the program, and explicit requests to dump or suspend it.
const UNBLOCKED: [Signal; 9] = [
    Signal::SIGABRT,
    Signal::SIGBUS,
    Signal::SIGFPE,
    Signal::SIGILL,
    Signal::SIGQUIT,
    Signal::SIGSEGV,
    Signal::SIGSYS,
    Signal::SIGTRAP,
    Signal::SIGTSTP,
];

/// Signals that are kept until [`BlockedSignals::listen`], so that none ends or stops the process.
///
/// A write beyond the limit on file sizes then fails instead, like one to a full disk.
pub struct BlockedSignals(SignalFd);

impl BlockedSignals {
    /// Blocks the signals, for this thread and those that it starts later.
    ///
    /// # Errors
    /// The system refuses a file descriptor for the signals.
    pub fn block() -> io::Result<Self> {
        let mut signals = SigSet::all();
        for signal in UNBLOCKED {
            signals.remove(signal);
        }
        signals.thread_block()?;
        let flags = SfdFlags::SFD_CLOEXEC | SfdFlags::SFD_NONBLOCK;
        Ok(Self(SignalFd::with_flags(&signals, flags)?))
    }

    /// Starts to handle the signals, and first those that arrived since they were blocked.
    ///
    /// # Errors
    /// The runtime can't wait for signals.
    pub fn listen(self) -> io::Result<Signals> {
        let (shutdown_sender, shutdown) = unbounded();
        let (reload_sender, reload) = unbounded();
        let source = PollFd::new(self.0)?;
        compio::runtime::spawn(forward(source, shutdown_sender, reload_sender)).detach();
        Ok(Signals { shutdown, reload })
    }
}

/// The signals that the process handles.
///
/// They stay handled until the process exits, so that a repeated signal cancels no request.
pub struct Signals {
    shutdown: UnboundedReceiver<()>,
    reload: UnboundedReceiver<()>,
}

impl Signals {
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

/// Sends an item for each signal that requests something; all others are discarded.
async fn forward(
    source: PollFd<SignalFd>,
    shutdown: UnboundedSender<()>,
    reload: UnboundedSender<()>,
) {
    loop {
        let sender = match next_signal(&source).await {
            Ok(SIGTERM | SIGINT) => &shutdown,
            Ok(SIGHUP) => &reload,
            Ok(_) => continue,
            Err(error) => {
                log::error!(target: "daemon", "signals can't be read: {error}");
                return;
            }
        };
        let _ = sender.unbounded_send(());
    }
}

/// Waits for the number of the next signal.
async fn next_signal(source: &PollFd<SignalFd>) -> io::Result<i32> {
    loop {
        if let Some(signal) = source.read_signal()? {
            return Ok(signal.ssi_signo.cast_signed());
        }
        source.read_ready().await?;
    }
}
