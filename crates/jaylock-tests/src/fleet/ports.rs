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
    let host = own_host();
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + step % PORT_COUNT;
        let address = SocketAddr::from((host, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!(
        "no free port between {FIRST_PORT} and {}",
        FIRST_PORT + PORT_COUNT
    );
}

/// Loopback address of this process, as test programs that run at the same time would choose the same ports of one.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.saturating_add(1), middle, low)
}
