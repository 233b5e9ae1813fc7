//! The gRPC service for operators, and the command-line tool that calls it.

mod command_check;
mod destination;
mod fleet_client;
mod service;

pub use self::service::OperatorService;
