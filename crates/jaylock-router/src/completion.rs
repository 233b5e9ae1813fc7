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
use crate::generation::{Generation, GenerationGuard};
use crate::response::{self, ErrorResponse, set_header, set_run_headers};

/// Responds to a chat completion request.
pub async fn respond(context: &Rc<Context>, call: Call) -> Result<Response<Body>, ErrorResponse> {
    let chat = Chat::parse(&call.body, &context.view.current())?;
    let tracker = call.tracker(context, chat.pool.clone(), RequestKind::Model);
    let is_streaming = chat.is_streaming;
    let generation = Generation::new(context.clone(), call, chat, tracker);
    let guard = GenerationGuard::new(generation);
    if is_streaming {
        Box::pin(respond_streaming(guard)).await
    } else {
        Box::pin(respond_complete(guard)).await
    }
}

async fn respond_streaming(mut guard: GenerationGuard) -> Result<Response<Body>, ErrorResponse> {
    let Some(generation) = guard.get() else {
        return Err(call::deadline_exceeded(RunStatus::NotRun));
    };
    let first = generation.next().await?;
    let (request, run_status) = (generation.call().request.clone(), generation.run_status());
    let state = ForwardedStream {
        request: request.clone(),
        first,
        generation: Some(guard),
    };
    let stream = stream::unfold(state, ForwardedStream::next).boxed_local();
    let mut response = Response::new(Body::Stream(stream));
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "text/event-stream");
    set_header(headers, header::CACHE_CONTROL.as_str(), "no-cache");
    set_run_headers(headers, &request, run_status);
    Ok(response)
}

async fn respond_complete(mut guard: GenerationGuard) -> Result<Response<Body>, ErrorResponse> {
    let Some(generation) = guard.get() else {
        return Err(call::deadline_exceeded(RunStatus::NotRun));
    };
    let mut assembly = Assembly::default();
    while let Some(chunk) = generation.next().await? {
        assembly.add(&chunk);
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

/// A response whose chunks are forwarded as they are generated.
struct ForwardedStream {
    request: RequestId,
    first: Option<Chunk>,
    generation: Option<GenerationGuard>,
}

impl ForwardedStream {
    async fn next(mut self) -> Option<(Bytes, Self)> {
        let generation = self.generation.as_mut()?.get()?;
        let next = match self.first.take() {
            Some(first) => Ok(Some(first)),
            None => generation.next().await,
        };
        let text = match next {
            Ok(Some(chunk)) => self.chunk_event(chunk),
            Ok(None) => self.end("data: [DONE]\n\n".into()),
            Err(error) => {
                let text = String::from_utf8(error.to_json()).unwrap_or_default();
                self.end(format!("event: error\ndata: {text}\n\n"))
            }
        };
        Some((text.into(), self))
    }

    fn chunk_event(&self, mut chunk: Chunk) -> String {
        let id = Value::from(self.request.as_str());
        chunk.fields.insert("id".into(), id);
        let text = Value::Object(chunk.fields).to_string();
        format!("id: {}\ndata: {text}\n\n", chunk.number)
    }

    /// Ends the generation and returns the last event.
    fn end(&mut self, text: String) -> String {
        self.generation = None;
        text
    }
}
