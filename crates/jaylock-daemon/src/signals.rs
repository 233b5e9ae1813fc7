use std::future::poll_fn;
use std::io::{self, PipeReader, pipe};
use std::pin::pin;

use compio::runtime::fd::PollFd;
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use nix::sys::signal::{SigSet, Signal};
use signal_hook::low_level::pipe::register;

/// Signals that request a graceful shutdown: of a service manager, and of a terminal on Ctrl-C.
const SHUTDOWN: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];
/// Signals that request a reload of the settings.
const RELOAD: [Signal; 1] = [Signal::SIGHUP];

/// Signals whose default action would end or stop the process, though they request neither.
const MEANINGLESS: [Signal; 12] = [
    Signal::SIGALRM,
    Signal::SIGIO,
    Signal::SIGPROF,
    Signal::SIGPWR,
    Signal::SIGSTKFLT,
    Signal::SIGTTIN,
    Signal::SIGTTOU,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGVTALRM,
    Signal::SIGXCPU,
    Signal::SIGXFSZ,
];

/// Bytes that are read at once, each for a signal that has arrived.
const READ_BYTES: usize = 64;

/// Signals that are kept until [`KeptSignals::listen`], and none of which ends or stops the process.
pub struct KeptSignals {
    shutdown: PipeReader,
    reload: PipeReader,
}

impl KeptSignals {
    /// Keeps the requests, and blocks meaningless signals for this thread and those that it starts later.
    ///
    /// A write beyond the limit on file sizes then fails, like one to a full disk.
    ///
    /// # Errors
    /// The system refuses a pipe or a handler.
    pub fn register() -> io::Result<Self> {
        SigSet::from_iter(MEANINGLESS).thread_block()?;
        Ok(Self {
            shutdown: keep(&SHUTDOWN)?,
            reload: keep(&RELOAD)?,
        })
    }

    /// Starts to handle the signals, and first those that were kept.
    ///
    /// # Errors
    /// The runtime can't wait for signals.
    pub fn listen(self) -> io::Result<Signals> {
        Ok(Signals {
            shutdown: forward(self.shutdown)?,
            reload: forward(self.reload)?,
        })
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

/// Writes a byte to the returned pipe for each of the signals, as long as it has room.
fn keep(signals: &[Signal]) -> io::Result<PipeReader> {
    let (reader, writer) = pipe()?;
    rustix::io::ioctl_fionbio(&reader, true)?;
    for signal in signals {
        register(*signal as i32, writer.try_clone()?)?;
    }
    // The parent may have blocked them.
    let requests: SigSet = signals.iter().copied().collect();
    requests.thread_unblock()?;
    Ok(reader)
}

/// Sends an item whenever signals have arrived.
fn forward(signals: PipeReader) -> io::Result<UnboundedReceiver<()>> {
    let (sender, receiver) = unbounded();
    let signals = PollFd::new(signals)?;
    compio::runtime::spawn(async move {
        if let Err(error) = forward_all(&signals, &sender).await {
            log::error!(target: "daemon", "signals can't be read: {error}");
        }
    })
    .detach();
    Ok(receiver)
}

async fn forward_all(signals: &PollFd<PipeReader>, sender: &UnboundedSender<()>) -> io::Result<()> {
    let mut buffer = [0; READ_BYTES];
    while poll_fn(|context| signals.poll_read(context, &mut buffer)).await? > 0 {
        let _ = sender.unbounded_send(());
    }
    Ok(())
}
