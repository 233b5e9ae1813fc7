//! Schema of the messages between jaylock's processes, and gRPC over compio.

mod accept;
mod channel;
mod prompt_part;
mod server;
mod traffic;

pub use self::accept::accept;
pub use self::channel::{Channel, ChannelSettings};
pub use self::server::{Access, Routes, ServerSettings, serve};
pub use self::traffic::{CountedStream, Traffic, traffic};

use std::time::Duration;

use send_wrapper::SendWrapper;
use tonic::Status;

/// Messages, clients and servers generated from `proto/jaylock.proto`.
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod v1 {
    include!("generated/jaylock.v1.rs");
}

/// Wraps a future that stays on this thread, because tonic requires futures to be `Send`.
pub fn local_future<F: Future>(future: F) -> SendWrapper<F> {
    SendWrapper::new(future)
}

/// Wraps a value that stays on this thread, because tonic requires services to be `Send`.
pub fn local_value<T>(value: T) -> SendWrapper<T> {
    SendWrapper::new(value)
}

/// Runs a call and gives up after `timeout`.
///
/// # Errors
/// The call's own status, or `deadline exceeded`.
pub async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, Status>>,
) -> Result<T, Status> {
    match compio::time::timeout(timeout, call).await {
        Ok(outcome) => outcome,
        Err(_) => Err(Status::deadline_exceeded(
            "no answer in time, ask again or another instance",
        )),
    }
}
