use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First of the ports that tests use; they lie below those that the system hands out by itself.
const FIRST: u16 = 20_000;
/// How many ports tests use.
const SPAN: u16 = 12_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address on which nothing listens.
///
/// # Panics
/// When all ports are in use.
#[must_use]
pub fn free_address() -> SocketAddr {
    let start = u16::try_from(std::process::id() * 97 % u32::from(SPAN)).unwrap_or_default();
    for _ in 0..SPAN {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start.wrapping_add(step) % SPAN);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port between {FIRST} and {}", FIRST + SPAN);
}
