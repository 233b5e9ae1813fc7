//! The platform's calls and requests, driven through real processes on loopback.

mod bed;
mod decoding;
mod documents;
mod life;
mod refusals;
mod requests;
mod streams;
