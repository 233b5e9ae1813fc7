use std::net::SocketAddr;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};

/// Delay after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the next connection, and tries again while the system refuses, as without file descriptors.
///
/// Failures are logged under `target`.
pub async fn accept(listener: &TcpListener, target: &str) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => log::warn!(target: target, "accept failed: {error}"),
        }
        compio::time::sleep(RETRY_DELAY).await;
    }
}
