use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::reply::Reply;

/// A request as the backend server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request line.
    pub request_line: String,
    /// Header fields in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, or the part of it that was read before the reply.
    pub body: String,
    /// When the head had arrived.
    pub arrived_at: Instant,
    /// Number of the connection, from 1.
    pub connection: usize,
}

impl ReceivedRequest {
    /// Returns the value of a header field; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// A complete response with a seal.
    pub fn respond(&self, status: &str, body: &str) -> Reply {
        let length = body.len();
        self.sealed(status, &format!("Content-Length: {length}\r\n\r\n{body}"))
    }

    /// A stream of the events with these identifiers, followed by `tail`.
    pub fn events(&self, ids: std::ops::RangeInclusive<u64>, tail: &str) -> Reply {
        let events: String = ids.map(event_chunk).collect();
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        Reply {
            closes_connection: tail != Reply::LAST_CHUNK,
            ..self.sealed("200 OK", &format!("{head}{events}{tail}"))
        }
    }

    /// A complete stream of `count` events with a pause before each but the first.
    pub fn paced_events(&self, count: u64, pause: Duration) -> Reply {
        let later = (2..=count).map(|n| (pause, event_chunk(n).into_bytes()));
        let last_chunk = (Duration::ZERO, Reply::LAST_CHUNK.into());
        Reply {
            closes_connection: false,
            later: later.chain([last_chunk]).collect(),
            ..self.events(1..=1, "")
        }
    }

    /// The head of a stream, after which the backend server crashes.
    pub fn crash(&self) -> Reply {
        Reply {
            crashes: true,
            ..self.sealed("200 OK", "Transfer-Encoding: chunked\r\n\r\n")
        }
    }

    /// A response that declares the request as not run.
    pub fn not_run(&self) -> Reply {
        let id = self.header("attempt-id");
        Reply::from_text(&format!(
            "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        ))
    }

    /// A response head with a seal, followed by `rest`.
    pub fn sealed(&self, status: &str, rest: &str) -> Reply {
        let id = self.header("attempt-id");
        Reply::from_text(&format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nReplica-Seal: 3e1b.07\r\n{rest}"
        ))
    }
}

/// Reads a request with at most `body_limit` bytes of its body.
pub fn read_request(
    reader: &mut BufReader<TcpStream>,
    connection: usize,
    body_limit: usize,
) -> Option<ReceivedRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut text = String::new();
        reader.read_line(&mut text).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = text.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut received = ReceivedRequest {
        request_line: line.trim_end().to_owned(),
        headers,
        body: String::new(),
        arrived_at: Instant::now(),
        connection,
    };
    let length: usize = received.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length.min(body_limit)];
    reader.read_exact(&mut body).ok()?;
    received.body = String::from_utf8(body).ok()?;
    Some(received)
}

/// An event of a stream as a chunk of a body.
fn event_chunk(id: u64) -> String {
    let event = format!("id: {id}\ndata: piece {id}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}
