use std::rc::Rc;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{Response, StatusCode, header};
use jaylock_observe::{RequestKind, RunStatus};
use jaylock_types::RequestId;
use serde_json::Value;

use crate::assembly::Assembly;
use crate::body::Body;
use crate::call::{self, Call};
use crate::chat::Chat;
use crate::chunk::Chunk;
use crate::context::Context;
use crate::generation::{Attended, Generation};
use crate::response::{self, ErrorResponse, set_header, set_run_headers};

/// Answers a request for a model.
pub async fn respond(context: &Rc<Context>, call: Call) -> Result<Response<Body>, ErrorResponse> {
    let chat = Chat::parse(&call.body, &context.view.current())?;
    let tracker = call.tracker(context, chat.pool.clone(), RequestKind::Model);
    let streams = chat.stream;
    let generation = Generation::new(context.clone(), call, chat, tracker);
    let attended = Attended::new(generation);
    if streams {
        streamed(attended).await
    } else {
        whole(attended).await
    }
}

async fn streamed(mut attended: Attended) -> Result<Response<Body>, ErrorResponse> {
    let Some(generation) = attended.get() else {
        return Err(call::deadline_exceeded(RunStatus::NotRun));
    };
    let first = generation.next().await?;
    let (request, run) = (generation.call().request.clone(), generation.run());
    let state = Passing {
        request: request.clone(),
        first,
        generation: Some(attended),
    };
    let stream = stream::unfold(state, Passing::next).boxed_local();
    let mut response = Response::new(Body::Stream(stream));
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "text/event-stream");
    set_header(headers, header::CACHE_CONTROL.as_str(), "no-cache");
    set_run_headers(headers, &request, run);
    Ok(response)
}

async fn whole(mut attended: Attended) -> Result<Response<Body>, ErrorResponse> {
    let Some(generation) = attended.get() else {
        return Err(call::deadline_exceeded(RunStatus::NotRun));
    };
    let mut assembly = Assembly::default();
    while let Some(piece) = generation.next().await? {
        assembly.add(&piece);
    }
    let request = &generation.call().request;
    let body = assembly.finish(request, &generation.chat().model);
    Ok(response::json_response(
        request,
        StatusCode::OK,
        RunStatus::Ran,
        body,
    ))
}

/// An answer that is passed on while it is made.
struct Passing {
    request: RequestId,
    first: Option<Chunk>,
    generation: Option<Attended>,
}

impl Passing {
    async fn next(mut self) -> Option<(Bytes, Self)> {
        let generation = self.generation.as_mut()?.get()?;
        let step = match self.first.take() {
            Some(first) => Ok(Some(first)),
            None => generation.next().await,
        };
        let text = match step {
            Ok(Some(piece)) => self.piece(piece),
            Ok(None) => self.end("data: [DONE]\n\n".into()),
            Err(refusal) => {
                let text = String::from_utf8(refusal.to_json()).unwrap_or_default();
                self.end(format!("event: error\ndata: {text}\n\n"))
            }
        };
        Some((text.into(), self))
    }

    fn piece(&self, mut piece: Chunk) -> String {
        let id = Value::from(self.request.as_str());
        piece.chunk.insert("id".into(), id);
        let text = Value::Object(piece.chunk).to_string();
        format!("id: {}\ndata: {text}\n\n", piece.number)
    }

    fn end(&mut self, text: String) -> String {
        self.generation = None;
        text
    }
}
