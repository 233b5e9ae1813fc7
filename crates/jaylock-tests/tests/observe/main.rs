//! Tests of metrics, the burn report, traces and the stand-ins.

mod burn;
mod clients;
mod instance;
mod log_writer;
mod metrics;
mod minutes;
mod report;
mod sample;
mod standin;
mod trace;
