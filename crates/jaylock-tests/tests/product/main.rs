//! Settings, the operators' side and the command-line tool.

mod examples;
mod fake;
mod service;
mod settings;
mod tool;
