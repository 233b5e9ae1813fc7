use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that tests use; their ports lie below the ephemeral range of the operating system.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that tests use.
const PORT_COUNT: u16 = 12_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which nothing listens.
///
/// # Panics
/// When all ports are in use.
#[must_use]
pub fn free_address() -> SocketAddr {
    // Test programs that run at the same time start at different ports.
    let start = u16::try_from(std::process::id() * 97 % u32::from(PORT_COUNT)).unwrap_or_default();
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start.wrapping_add(step) % PORT_COUNT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!(
        "no free port between {FIRST_PORT} and {}",
        FIRST_PORT + PORT_COUNT
    );
}
