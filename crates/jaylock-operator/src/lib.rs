//! The operators' side: the service that answers them and the command-line tool.

mod gather;
mod permitted;
mod service;

pub use self::service::OperatorService;
