//! Scripted backend servers, which control every byte and pause of a response.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::FutureExt;

/// Size of a block of text that is sent without end.
const ENDLESS_BLOCK: usize = 16 << 10;

/// A request as received by a backend server.
#[derive(Debug, Clone, Default)]
pub struct Received {
    pub head: String,
    pub body: String,
    pub connection: usize,
}

impl Received {
    /// Returns a header of the request; empty when missing.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }

    /// Identifier of the attempt.
    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    /// Number of the chunk after which the response is resumed.
    pub fn last_chunk(&self) -> u64 {
        self.header("last-event-id").parse().unwrap_or(0)
    }
}

/// One step of a script.
#[derive(Debug, Clone)]
pub enum Step {
    Send(String),
    /// Sends this text again and again until the router closes the connection.
    SendEndlessly(&'static str),
    Wait(Duration),
    /// Waits until the router closes the connection.
    AwaitDisconnect,
    Close,
    /// Closes this connection and refuses every new one.
    Crash,
}

type Script = Rc<dyn Fn(&Received) -> Vec<Step>>;

/// A scripted backend server on a loopback address.
pub struct Backend {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<Received>>>,
    /// Number of connections that the router closed during [`Step::AwaitDisconnect`].
    pub disconnects: Rc<RefCell<usize>>,
    _accepting: compio::runtime::JoinHandle<()>,
}

impl Backend {
    /// Starts a backend server that responds to each request by the script.
    pub async fn start(script: impl Fn(&Received) -> Vec<Step> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let server = Server {
            script: Rc::new(script),
            received: Rc::default(),
            disconnects: Rc::default(),
        };
        let (received, disconnects) = (server.received.clone(), server.disconnects.clone());
        let mut number = 0;
        let accepting = compio::runtime::spawn(async move {
            let (crash_sender, mut crash_receiver) = futures_channel::mpsc::unbounded::<()>();
            loop {
                let accept = listener.accept().fuse();
                futures_util::pin_mut!(accept);
                let mut crashed = futures_util::StreamExt::next(&mut crash_receiver).fuse();
                let stream = futures_util::select! {
                    accepted = accept => accepted.expect("a connection").0,
                    _ = crashed => return,
                };
                number += 1;
                let (server, crash_sender) = (server.clone(), crash_sender.clone());
                compio::runtime::spawn(async move {
                    if server.serve(stream, number).await.is_none() {
                        let _ = crash_sender.unbounded_send(());
                    }
                })
                .detach();
            }
        });
        Self {
            address,
            received,
            disconnects,
            _accepting: accepting,
        }
    }

    /// Number of received requests.
    pub fn request_count(&self) -> usize {
        self.received.borrow().len()
    }
}

#[derive(Clone)]
struct Server {
    script: Script,
    received: Rc<RefCell<Vec<Received>>>,
    disconnects: Rc<RefCell<usize>>,
}

impl Server {
    /// Serves one connection; returns `None` when the backend server crashes.
    async fn serve(&self, mut stream: TcpStream, number: usize) -> Option<()> {
        let mut buffer = Vec::new();
        while let Some(mut received) = receive(&mut stream, &mut buffer).await {
            received.connection = number;
            self.received.borrow_mut().push(received.clone());
            for step in (self.script)(&received) {
                match step {
                    Step::Send(text) => {
                        let BufResult(sent, _) = stream.write_all(text.into_bytes()).await;
                        if sent.is_err() {
                            return Some(());
                        }
                    }
                    Step::SendEndlessly(text) => {
                        let block = text.repeat(ENDLESS_BLOCK / text.len());
                        while stream.write_all(block.clone().into_bytes()).await.0.is_ok() {}
                        return Some(());
                    }
                    Step::Wait(time) => compio::time::sleep(time).await,
                    Step::AwaitDisconnect => {
                        let _ = stream.read(Vec::with_capacity(64)).await;
                        *self.disconnects.borrow_mut() += 1;
                        return Some(());
                    }
                    Step::Close => return Some(()),
                    Step::Crash => return None,
                }
            }
        }
        Some(())
    }
}

async fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let received = Received {
                head: head.to_ascii_lowercase(),
                ..Received::default()
            };
            let length: usize = received.header("content-length").parse().unwrap_or(0);
            if rest.len() >= length {
                buffer.drain(..head.len() + 4 + length);
                return Some(Received {
                    body: rest[..length].to_owned(),
                    ..received
                });
            }
        }
        let BufResult(count, chunk) = stream.read(Vec::with_capacity(16 << 10)).await;
        if count.ok()? == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk);
    }
}

/// The head of an engine's stream.
pub fn stream_head(received: &Received) -> Step {
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {}\r\n\
         transfer-encoding: chunked\r\n\r\n",
        received.id()
    ))
}

/// A chunk of a response, with a distinct text.
pub fn chunk(received: &Received, number: u64) -> Step {
    chunk_with_id(received.id(), number)
}

/// A chunk of another response, with another text.
pub fn foreign_chunk(number: u64) -> Step {
    let Step::Send(text) = chunk_with_id("other", number) else {
        unreachable!()
    };
    Step::Send(text.replace("\"t", "\"x"))
}

/// A chunk with any delta of a message.
pub fn delta(received: &Received, number: u64, delta: &str) -> Step {
    delta_with_id(received.id(), number, delta)
}

fn chunk_with_id(id: &str, number: u64) -> Step {
    delta_with_id(id, number, &format!("{{\"content\":\"t{number} \"}}"))
}

fn delta_with_id(id: &str, number: u64, delta: &str) -> Step {
    let choice = format!("{{\"index\":0,\"delta\":{delta}}}");
    http_chunk(&format!(
        "id: {number}\ndata: {{\"id\":\"{id}\",\"choices\":[{choice}]}}\n\n"
    ))
}

/// The last chunk of a response, with finish reason and usage.
pub fn final_chunk(received: &Received, number: u64) -> Step {
    let choice = "{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}";
    let usage = format!("{{\"completion_tokens\":{}}}", number - 1);
    let id = received.id();
    http_chunk(&format!(
        "id: {number}\ndata: {{\"id\":\"{id}\",\"choices\":[{choice}],\"usage\":{usage}}}\n\n"
    ))
}

/// The end marker of a stream and the end of the HTTP body.
pub fn end_marker() -> Step {
    let Step::Send(mut text) = http_chunk("data: [DONE]\n\n") else {
        unreachable!()
    };
    text.push_str("0\r\n\r\n");
    Step::Send(text)
}

/// A complete stream, starting after the chunk that the request resumes from.
pub fn complete_stream(received: &Received, chunks: u64) -> Vec<Step> {
    let mut steps = vec![stream_head(received)];
    steps.extend((received.last_chunk() + 1..=chunks).map(|n| chunk(received, n)));
    if received.last_chunk() <= chunks {
        steps.push(final_chunk(received, chunks + 1));
    }
    steps.push(end_marker());
    steps
}

/// A complete response of a plain service.
pub fn plain_response(received: &Received, status: u16, body: &str) -> Vec<Step> {
    let (id, length) = (received.id(), body.len());
    vec![Step::Send(format!(
        "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\ncontent-type: text/plain\r\n\
         content-length: {length}\r\n\r\n{body}"
    ))]
}

fn http_chunk(text: &str) -> Step {
    Step::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}
