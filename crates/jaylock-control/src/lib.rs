//! The replicated log, the configuration it holds, leases, and the clients that follow it.

mod view;

pub use self::view::ConfigView;
