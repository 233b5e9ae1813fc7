//! Addresses and data folders that another process still holds when an instance starts.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context;
use compio::net::TcpListener;
use jaylock_control::{Error, FileDisk};

/// Time between two attempts to get what another process holds.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two warnings about the same obstacle.
const WARNING_INTERVAL: Duration = Duration::from_mins(1);

/// An address at which the instance listens as soon as it is free and the machine has it.
pub struct Binding {
    key: &'static str,
    address: SocketAddr,
    state: io::Result<TcpListener>,
}

impl Binding {
    /// Binds the address of a setting if that is possible at once.
    ///
    /// # Errors
    /// The address can't be bound, however long the instance waits.
    pub async fn begin(key: &'static str, address: SocketAddr) -> anyhow::Result<Self> {
        let state = match TcpListener::bind(address).await {
            Err(error) if !may_pass(&error) => {
                let text = format!("{key} {address} can't be bound: choose another one");
                return Err(error).context(text);
            }
            state => state,
        };
        Ok(Self {
            key,
            address,
            state,
        })
    }

    /// Waits until the address is bound.
    pub async fn complete(self) -> TcpListener {
        let Self {
            key,
            address,
            mut state,
        } = self;
        let mut warnings = Warnings::default();
        loop {
            match state {
                Ok(listener) => return listener,
                Err(error) => warnings.log(format_args!(
                    "{key} {address} can't be bound yet: {error}; free it or correct the settings"
                )),
            }
            compio::time::sleep(RETRY_INTERVAL).await;
            state = TcpListener::bind(address).await;
        }
    }
}

/// Whether an address may be bound later: it is in use, or the machine doesn't have it yet.
fn may_pass(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}

/// Opens a data folder, and waits while another process uses it.
///
/// # Errors
/// The folder can't be created or locked.
pub async fn open_folder(folder: &Path) -> jaylock_control::Result<FileDisk> {
    let mut warnings = Warnings::default();
    loop {
        match FileDisk::open(folder).await {
            Err(error @ Error::Locked { .. }) => warnings.log(error),
            outcome => return outcome,
        }
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Warnings about one obstacle, which are repeated rarely.
#[derive(Default)]
struct Warnings {
    last: Option<Instant>,
}

impl Warnings {
    fn log(&mut self, obstacle: impl Display) {
        if self.last.is_some_and(|at| at.elapsed() < WARNING_INTERVAL) {
            return;
        }
        self.last = Some(Instant::now());
        log::warn!(target: "daemon", "the start waits: {obstacle}");
    }
}
