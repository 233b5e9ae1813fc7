use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;

use crate::Connection;

/// Server to which a load is sent.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name in the table.
    pub name: &'static str,
    /// Address on which the target listens.
    pub address: SocketAddr,
}

/// Requests to send to each target.
#[derive(Debug, Clone)]
pub struct Load {
    /// Key of the organisation.
    pub key: String,
    /// Model to request.
    pub model: String,
    /// Chunks in each response.
    pub chunks: u32,
    /// Number of requests to each target.
    pub requests: u32,
}

/// Latencies of a target, in microseconds.
pub struct Latencies {
    /// Time to the first byte of the response body.
    pub first_byte: Histogram<u64>,
    /// Time to the last byte of the response body.
    pub total: Histogram<u64>,
}

impl Load {
    /// Measures latencies with one request at a time.
    ///
    /// Targets alternate, so that the load of the machine affects all alike.
    ///
    /// # Errors
    /// A target responds with an error status.
    pub async fn measure_latencies(&self, targets: &[Target]) -> Result<Vec<Latencies>> {
        let mut connections = Vec::new();
        let mut times = Vec::new();
        for target in targets {
            connections.push(Connection::open(target.address).await?);
            times.push(Latencies::new()?);
        }
        for number in 0..self.requests {
            for (connection, times) in connections.iter_mut().zip(&mut times) {
                let timing = connection.send(self.request(number)).await?;
                times.first_byte.record(as_micros(timing.first_byte))?;
                times.total.record(as_micros(timing.total))?;
            }
        }
        Ok(times)
    }

    /// Sends the load over `workers` concurrent connections and returns the requests per second.
    ///
    /// # Errors
    /// The target responds with an error status.
    pub async fn measure_throughput(&self, target: &Target, workers: u32) -> Result<f64> {
        let start = Instant::now();
        let tasks: Vec<_> = (0..workers)
            .map(|worker| {
                let (load, address) = (self.clone(), target.address);
                compio::runtime::spawn(
                    async move { load.run_worker(address, worker, workers).await },
                )
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

    async fn run_worker(&self, address: SocketAddr, worker: u32, workers: u32) -> Result<u32> {
        let mut connection = Connection::open(address).await?;
        let share = self.requests / workers;
        for number in 0..share {
            connection
                .send(self.request(worker * share + number))
                .await?;
        }
        Ok(share)
    }

    /// Builds one request of the load.
    pub(crate) fn request(&self, number: u32) -> Request<Full<Bytes>> {
        let body = json!({
            "model": self.model,
            "stream": true,
            "max_tokens": self.chunks,
            "messages": [{
                "role": "user",
                "content": format!("question {number} len={}", self.chunks),
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

impl Latencies {
    /// Largest recorded time, in microseconds.
    const MAX_US: u64 = 60_000_000;

    fn new() -> Result<Self> {
        let histogram = Histogram::new_with_max(Self::MAX_US, 3)?;
        Ok(Self {
            first_byte: histogram.clone(),
            total: histogram,
        })
    }
}

fn as_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros())
        .unwrap_or(Latencies::MAX_US)
        .min(Latencies::MAX_US)
}
