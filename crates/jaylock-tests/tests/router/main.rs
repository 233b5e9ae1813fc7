//! The HTTP side of an instance, against small fakes of its ports and of backend servers.

mod backend;
mod crash;
mod fleet;
mod heads;
mod history;
mod leave;
mod limits;
mod once;
mod paths;
mod pieces;
mod port;
mod whole;
