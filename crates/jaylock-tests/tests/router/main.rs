//! The HTTP side of an instance, against small fakes of its ports and of backend servers.

mod backend;
mod fleet;
mod paths;
mod port;
