use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;

use crate::Connection;

/// Who is asked.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the row in the table.
    pub name: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Requests to send to each target.
#[derive(Debug, Clone)]
pub struct Load {
    /// Key of the organisation.
    pub key: String,
    /// Model that is asked.
    pub model: String,
    /// Pieces of each answer.
    pub pieces: u32,
    /// Requests to each target.
    pub requests: u32,
}

/// Times of a target, in microseconds.
pub struct Times {
    /// Time to the first byte of the answer's body.
    pub first: Histogram<u64>,
    /// Time to the last byte.
    pub total: Histogram<u64>,
}

impl Load {
    /// Asks the targets in turn, one request at a time, so that both see the same machine.
    ///
    /// # Errors
    /// A target does not answer with status 200.
    pub async fn compare(&self, targets: &[Target]) -> Result<Vec<Times>> {
        let mut connections = Vec::new();
        let mut times = Vec::new();
        for target in targets {
            connections.push(Connection::open(target.address).await?);
            times.push(Times::new()?);
        }
        for number in 0..self.requests {
            for (connection, times) in connections.iter_mut().zip(&mut times) {
                let timing = connection.send(self.request(number)).await?;
                times.first.record(micros(timing.first))?;
                times.total.record(micros(timing.total))?;
            }
        }
        Ok(times)
    }

    /// Asks one target over `workers` connections at once and returns requests a second.
    ///
    /// # Errors
    /// The target does not answer with status 200.
    pub async fn saturate(&self, target: &Target, workers: u32) -> Result<f64> {
        let start = Instant::now();
        let tasks: Vec<_> = (0..workers)
            .map(|worker| {
                let (load, address) = (self.clone(), target.address);
                compio::runtime::spawn(async move { load.work(address, worker, workers).await })
            })
            .collect();
        let mut sent = 0;
        for task in tasks {
            sent += task
                .await
                .map_err(|_| anyhow::anyhow!("a worker panicked"))??;
        }
        Ok(f64::from(sent) / start.elapsed().as_secs_f64())
    }

    async fn work(&self, address: SocketAddr, worker: u32, workers: u32) -> Result<u32> {
        let mut connection = Connection::open(address).await?;
        let share = self.requests / workers;
        for number in 0..share {
            connection
                .send(self.request(worker * share + number))
                .await?;
        }
        Ok(share)
    }

    /// One request of the load.
    pub(crate) fn request(&self, number: u32) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.model,
            "stream": true,
            "max_tokens": self.pieces,
            "messages": [{
                "role": "user",
                "content": format!("question {number} len={}", self.pieces),
            }],
        });
        Request::post("/v1/chat/completions")
            .header(header::HOST, "fleet")
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header("x-request-id", format!("measure-{number}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the parts of the request are fixed")
    }
}

impl Times {
    /// Largest time kept, in microseconds.
    const LONGEST_US: u64 = 60_000_000;

    fn new() -> Result<Self> {
        let histogram = Histogram::new_with_max(Self::LONGEST_US, 3)?;
        Ok(Self {
            first: histogram.clone(),
            total: histogram,
        })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(Times::LONGEST_US)
        .min(Times::LONGEST_US)
}
