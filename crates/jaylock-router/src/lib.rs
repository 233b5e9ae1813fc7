//! The callers' and backend servers' side: routing, limits, retries and whole answers.
