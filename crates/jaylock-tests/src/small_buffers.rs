use std::os::fd::AsFd;

use socket2::SockRef;

/// Size of the receive buffer.
const BUFFER_BYTES: usize = 16 << 10;
/// Largest segment, as the sender's buffer grows with it.
const SEGMENT_BYTES: u32 = 1000;

/// Lets a listener's connections take few bytes before they are read, so that who sends more has to wait.
///
/// Connections take both limits from their listener.
///
/// # Panics
/// When the system refuses a limit.
pub fn limit_buffers(listener: &impl AsFd) {
    let socket = SockRef::from(listener);
    let resized = socket.set_recv_buffer_size(BUFFER_BYTES);
    resized.expect("a small buffer");
    socket.set_tcp_mss(SEGMENT_BYTES).expect("small segments");
}
