//! Logs, metrics and the report on service-level burn.
