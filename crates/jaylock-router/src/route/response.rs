use http::{HeaderMap, Response, StatusCode, header};

use super::headers::is_hop_by_hop;
use crate::body::Body;
use crate::buffered_response::BufferedResponse;
use crate::response::{ErrorResponse, set_header};

/// Creates a response from a buffered one of a backend server.
pub fn buffered(response: BufferedResponse) -> Response<Body> {
    let body = Body::full(response.body);
    forwarded(response.status, &response.headers, body)
}

/// Creates a response with the status and the headers of a backend server's response.
pub fn forwarded(status: StatusCode, backend_headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for (name, value) in backend_headers {
        if !is_hop_by_hop(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}

/// Converts an error into a response; `retry-after` has fractions of a second.
pub fn error_response(error: &ErrorResponse) -> Response<Body> {
    let mut response = Response::new(Body::full(error.to_json()));
    *response.status_mut() = error.status;
    let headers = response.headers_mut();
    set_header(headers, header::CONTENT_TYPE.as_str(), "application/json");
    if let Some(delay) = error.retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        set_header(headers, header::RETRY_AFTER.as_str(), &seconds);
    }
    response
}
