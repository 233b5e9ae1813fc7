use http::{HeaderMap, Response, StatusCode, header};

use super::headers::is_hop;
use crate::body::Body;
use crate::buffered_response::BufferedResponse;
use crate::response::{ErrorResponse, set_header};

/// A whole answer as it is passed on.
pub fn buffered(record: BufferedResponse) -> Response<Body> {
    let body = Body::full(record.body);
    forwarded(record.status, &record.headers, body)
}

/// An answer with the status and the fields of a backend server's.
pub fn forwarded(status: StatusCode, fields: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in fields {
        if !is_hop(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}

/// A refusal as an answer; the time to return is given in parts of a second.
pub fn error_response(error: &ErrorResponse) -> Response<Body> {
    let mut response = Response::new(Body::full(error.to_json()));
    *response.status_mut() = error.status;
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
    if let Some(wait) = error.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        set_header(headers, header::RETRY_AFTER.as_str(), &seconds);
    }
    response
}
