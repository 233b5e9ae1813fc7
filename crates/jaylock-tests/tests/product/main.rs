//! Settings, the operators' side and the command-line tool.

mod examples;
mod settings;
