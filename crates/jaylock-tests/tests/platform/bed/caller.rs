use std::net::SocketAddr;

use jaylock_tests::fleet::{Answer, exchange};

use super::KEY;

/// A caller that writes its requests byte by byte, as the platform's callers would.
pub struct Caller {
    address: SocketAddr,
    method: &'static str,
    path: String,
    fields: Vec<(String, String)>,
    body: String,
}

/// An answer as the caller got it.
#[derive(Debug)]
pub struct Heard {
    /// Head and raw body.
    pub answer: Answer,
    /// The body without the framing of chunks.
    pub body: String,
    /// Whether the answer came to its own end.
    pub is_whole: bool,
}

impl Caller {
    /// A caller of a router, with a key and an identifier.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            method: "GET",
            path: "/look/1".into(),
            fields: vec![
                ("Host".into(), "app.example".into()),
                ("Attempt-Id".into(), "9c41d07be2a35f68".into()),
                ("Key".into(), KEY.into()),
                ("Time-Budget".into(), "3000".into()),
            ],
            body: String::new(),
        }
    }

    /// Names method and path.
    pub fn at(mut self, method: &'static str, path: &str) -> Self {
        self.method = method;
        self.path = path.into();
        self
    }

    /// Sets a header field in place of one of the same name.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.retain(|(known, _)| known != name);
        self.fields.push((name.into(), value.into()));
        self
    }

    /// Adds a header field beside one of the same name.
    pub fn twice(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.into(), value.into()));
        self
    }

    /// Leaves a header field out.
    pub fn without(mut self, name: &str) -> Self {
        self.fields.retain(|(known, _)| known != name);
        self
    }

    /// Sends a body.
    pub fn body(mut self, text: &str) -> Self {
        self.body = text.into();
        self
    }

    /// Sends the request on a connection of its own and reads until that ends.
    pub fn send(&self) -> Heard {
        let answer = exchange(self.address, self.text().as_bytes()).expect("an answer");
        let is_chunked = answer.header("transfer-encoding") == Some("chunked");
        let (body, is_whole) = if is_chunked {
            join(&answer.body)
        } else {
            let length = answer.header("content-length").and_then(|l| l.parse().ok());
            (answer.body.clone(), length == Some(answer.body.len()))
        };
        Heard {
            answer,
            body,
            is_whole,
        }
    }

    /// The request as it is sent.
    pub fn text(&self) -> String {
        let Self {
            method, path, body, ..
        } = self;
        let fields = self.fields.iter().map(|(n, v)| format!("{n}: {v}\r\n"));
        let fields: String = fields.collect();
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\n{fields}Content-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        )
    }
}

impl Heard {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.answer.status
    }
}

/// Takes chunks apart; says whether the last one was there.
fn join(raw: &str) -> (String, bool) {
    let mut body = String::new();
    let mut rest = raw;
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            body.push_str(after);
            return (body, false);
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
