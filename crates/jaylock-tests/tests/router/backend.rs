//! Backend servers that follow a script, down to the bytes and the silences.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::FutureExt;

/// A request as a backend server saw it.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub head: String,
    pub body: String,
    pub connection: usize,
}

impl Seen {
    /// A header field of the request; empty when it is missing.
    pub fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines().filter_map(|l| l.split_once(": "));
        lines.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }

    /// The attempt's identifier.
    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    /// The piece after which the answer is to go on.
    pub fn last(&self) -> u64 {
        self.header("last-event-id").parse().unwrap_or(0)
    }
}

/// What a backend server does next.
#[derive(Debug, Clone)]
pub enum Act {
    Send(String),
    Wait(Duration),
    /// Waits until the other side closes the connection.
    Hang,
    Close,
    /// Closes this connection and refuses every new one.
    Crash,
}

type Script = Rc<dyn Fn(&Seen) -> Vec<Act>>;

/// A scripted backend server on a loopback address.
pub struct Backend {
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<Seen>>>,
    /// Connections that the other side closed while the script hung.
    pub hung_up: Rc<RefCell<usize>>,
    _accepting: compio::runtime::JoinHandle<()>,
}

impl Backend {
    /// Starts a backend server that answers each request as the script says.
    pub async fn start(script: impl Fn(&Seen) -> Vec<Act> + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let host = Host {
            script: Rc::new(script),
            seen: Rc::default(),
            hung_up: Rc::default(),
        };
        let (seen, hung_up) = (host.seen.clone(), host.hung_up.clone());
        let mut number = 0;
        let accepting = compio::runtime::spawn(async move {
            let (crash, mut crashed) = futures_channel::mpsc::unbounded::<()>();
            loop {
                let accept = listener.accept().fuse();
                futures_util::pin_mut!(accept);
                let mut gone = futures_util::StreamExt::next(&mut crashed).fuse();
                let stream = futures_util::select! {
                    accepted = accept => accepted.expect("a connection").0,
                    _ = gone => return,
                };
                number += 1;
                let (host, crash) = (host.clone(), crash.clone());
                compio::runtime::spawn(async move {
                    if host.serve(stream, number).await.is_none() {
                        let _ = crash.unbounded_send(());
                    }
                })
                .detach();
            }
        });
        Self {
            address,
            seen,
            hung_up,
            _accepting: accepting,
        }
    }

    /// How many requests came.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

#[derive(Clone)]
struct Host {
    script: Script,
    seen: Rc<RefCell<Vec<Seen>>>,
    hung_up: Rc<RefCell<usize>>,
}

impl Host {
    /// Serves one connection; none when the backend server crashes.
    async fn serve(&self, mut stream: TcpStream, number: usize) -> Option<()> {
        let mut buffer = Vec::new();
        while let Some(mut seen) = receive(&mut stream, &mut buffer).await {
            seen.connection = number;
            self.seen.borrow_mut().push(seen.clone());
            for act in (self.script)(&seen) {
                match act {
                    Act::Send(text) => {
                        let BufResult(sent, _) = stream.write_all(text.into_bytes()).await;
                        if sent.is_err() {
                            return Some(());
                        }
                    }
                    Act::Wait(time) => compio::time::sleep(time).await,
                    Act::Hang => {
                        let _ = stream.read(Vec::with_capacity(64)).await;
                        *self.hung_up.borrow_mut() += 1;
                        return Some(());
                    }
                    Act::Close => return Some(()),
                    Act::Crash => return None,
                }
            }
        }
        Some(())
    }
}

async fn receive(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Seen> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let seen = Seen {
                head: head.to_ascii_lowercase(),
                ..Seen::default()
            };
            let length: usize = seen.header("content-length").parse().unwrap_or(0);
            if rest.len() >= length {
                buffer.drain(..head.len() + 4 + length);
                return Some(Seen {
                    body: rest[..length].to_owned(),
                    ..seen
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
pub fn stream_head(seen: &Seen) -> Act {
    Act::Send(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {}\r\n\
         transfer-encoding: chunked\r\n\r\n",
        seen.id()
    ))
}

/// A piece of an answer with a text of its own.
pub fn piece(seen: &Seen, number: u64) -> Act {
    piece_of(seen.id(), number)
}

/// A piece of another answer, with another text.
pub fn crossed_piece(number: u64) -> Act {
    let Act::Send(text) = piece_of("other", number) else {
        unreachable!()
    };
    Act::Send(text.replace("\"t", "\"x"))
}

/// A piece with any part of a message.
pub fn delta(seen: &Seen, number: u64, part: &str) -> Act {
    delta_of(seen.id(), number, part)
}

fn piece_of(id: &str, number: u64) -> Act {
    delta_of(id, number, &format!("{{\"content\":\"t{number} \"}}"))
}

fn delta_of(id: &str, number: u64, part: &str) -> Act {
    let choice = format!("{{\"index\":0,\"delta\":{part}}}");
    chunk(&format!(
        "id: {number}\ndata: {{\"id\":\"{id}\",\"choices\":[{choice}]}}\n\n"
    ))
}

/// The last piece of an answer.
pub fn last_piece(seen: &Seen, number: u64) -> Act {
    let choice = "{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}";
    let usage = format!("{{\"completion_tokens\":{}}}", number - 1);
    let id = seen.id();
    chunk(&format!(
        "id: {number}\ndata: {{\"id\":\"{id}\",\"choices\":[{choice}],\"usage\":{usage}}}\n\n"
    ))
}

/// The explicit end of a stream.
pub fn done() -> Act {
    let Act::Send(mut text) = chunk("data: [DONE]\n\n") else {
        unreachable!()
    };
    text.push_str("0\r\n\r\n");
    Act::Send(text)
}

/// A whole stream of pieces after the one that was seen last.
pub fn whole_stream(seen: &Seen, pieces: u64) -> Vec<Act> {
    let mut acts = vec![stream_head(seen)];
    acts.extend((seen.last() + 1..=pieces).map(|n| piece(seen, n)));
    if seen.last() <= pieces {
        acts.push(last_piece(seen, pieces + 1));
    }
    acts.push(done());
    acts
}

/// A plain service's whole answer.
pub fn plain(seen: &Seen, status: u16, body: &str) -> Vec<Act> {
    let (id, length) = (seen.id(), body.len());
    vec![Act::Send(format!(
        "HTTP/1.1 {status} X\r\nx-request-id: {id}\r\ncontent-type: text/plain\r\n\
         content-length: {length}\r\n\r\n{body}"
    ))]
}

fn chunk(text: &str) -> Act {
    Act::Send(format!("{:x}\r\n{text}\r\n", text.len()))
}
