//! The gRPC service for operators, and the command-line tool that calls it.

mod command_check;
mod fleet_client;
mod service;

pub use self::service::OperatorService;
