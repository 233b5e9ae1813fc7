use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use http::{Request, Response};
use hyper::body::Incoming;
use log::LevelFilter;

use crate::{Backend, Body, NoResponse, Registration, serve};

/// Signal number of SIGTERM.
const SIGTERM: i32 = 15;
/// Interval between checks whether the last request has ended.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time to send the last bytes after the last request has ended.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// A backend server that a process serves with [`run_server`].
pub trait Server: Backend + 'static {
    /// Handles one HTTP request; an error closes the connection.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>, NoResponse>> + 'static;
    /// Refuses all further requests.
    fn stop_accepting(&self);
    /// Whether a request runs or waits.
    fn is_busy(&self) -> bool;
}

/// Serves until SIGTERM, then deregisters the backend server and finishes the running requests.
///
/// # Errors
/// The signal handler can't be installed.
pub async fn run_server<S: Server>(
    listener: TcpListener,
    server: S,
    seeds: Vec<SocketAddr>,
) -> io::Result<()> {
    let server = Rc::new(server);
    let shared = server.clone();
    let handler = move |request| shared.clone().handle(request);
    compio::runtime::spawn(serve(listener, handler)).detach();
    let registration = Rc::new(Registration::new(server.clone(), seeds));
    let task = registration.clone();
    compio::runtime::spawn(async move { task.run().await }).detach();
    wait_for_sigterm().await?;
    registration.leave().await;
    server.stop_accepting();
    while server.is_busy() {
        compio::time::sleep(BUSY_POLL_INTERVAL).await;
    }
    compio::time::sleep(FLUSH_DELAY).await;
    Ok(())
}

/// Writes the log to standard error, one line for each record.
pub fn log_to_stderr() {
    let result = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("standin", LevelFilter::Info)
        .format(|out, message, record| {
            out.finish(format_args!("{} [standin] {message}", record.level()));
        })
        .chain(io::stderr())
        .apply();
    if let Err(error) = result {
        log::warn!(target: "standin", "a logger is already installed: {error}");
    }
}

/// Waits until the process receives SIGTERM.
///
/// # Errors
/// The signal handler can't be installed.
pub async fn wait_for_sigterm() -> io::Result<()> {
    compio::signal::unix::signal(SIGTERM).await
}
