//! Routes: requests that are forwarded unchanged, by host and path.

mod admission;
mod attempts;
mod broken;
mod buffered;
mod context;
mod continuation;
mod event_source;
mod headers;
mod hedge_slot;
mod hedged;
mod notice;
mod prompt;
mod quarantine;
mod request;
mod response;
mod send;
mod stream;
mod table;

use std::rc::Rc;

use http::{Request, Response};
use hyper::body::Incoming;
use jaylock_rpc::v1::route::Kind;

use crate::body::Body;
use crate::response::ErrorResponse;
use crate::server::Handler;

pub use self::context::{RouteContext, RouteLimits};
pub use self::event_source::{EventSource, Events};
pub use self::headers::RouteHeaders;

/// Handles requests for routes.
pub struct RouteHandler {
    context: Rc<RouteContext>,
}

impl RouteHandler {
    /// Creates a handler.
    pub fn new(context: RouteContext) -> Self {
        Self {
            context: Rc::new(context),
        }
    }

    async fn forward(&self, request: Request<Incoming>) -> Result<Response<Body>, ErrorResponse> {
        let request = admission::admit(&self.context, request).await?;
        let context = self.context.clone();
        match request.route.kind() {
            Kind::Stream => Box::pin(stream::respond(context, request)).await,
            Kind::Once | Kind::Repeatable => Box::pin(buffered::respond(context, request)).await,
        }
    }
}

impl Handler for RouteHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let outcome = self.forward(request).await;
        outcome.unwrap_or_else(|error| response::error_response(&error))
    }

    fn is_overloaded(&self) -> bool {
        self.context.overload.is_overloaded() || self.context.is_withdrawn()
    }

    fn defers_connections(&self) -> bool {
        self.context.overload.defers_connections()
    }

    fn record_connection(&self) {
        self.context.overload.record_connection();
    }

    fn cancelled_response(&self) -> Response<Body> {
        response::error_response(&ErrorResponse::cancelled())
    }
}
