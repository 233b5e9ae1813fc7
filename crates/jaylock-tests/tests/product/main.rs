//! Settings, the operators' side and the command-line tool.

mod examples;
mod fake;
mod settings;
mod tool;
