//! Tests of the log, metrics, the burn report, traces and the stand-ins.

mod burn;
mod clients;
mod fixtures;
mod instance;
mod log_writer;
mod metrics;
mod minutes;
mod report;
mod standin;
mod trace;
