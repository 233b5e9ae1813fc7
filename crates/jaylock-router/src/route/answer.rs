use http::{HeaderMap, Response, StatusCode, header};

use super::headers::is_hop;
use crate::answer::{Refusal, put};
use crate::body::Body;
use crate::record::Record;

/// A whole answer as it is passed on.
pub fn whole(record: Record) -> Response<Body> {
    let body = Body::full(record.body);
    passed(record.status, &record.headers, body)
}

/// An answer with the status and the fields of a backend server's.
pub fn passed(status: StatusCode, fields: &HeaderMap, body: Body) -> Response<Body> {
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
pub fn refusal(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(Body::full(refusal.json()));
    *response.status_mut() = refusal.status;
    let headers = response.headers_mut();
    put(headers, header::CONTENT_TYPE.as_str(), "application/json");
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        put(headers, header::RETRY_AFTER.as_str(), &seconds);
    }
    response
}
