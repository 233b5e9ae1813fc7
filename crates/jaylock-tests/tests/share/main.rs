//! Tests of the sharing of capacity.

mod fleet;
mod stream;
