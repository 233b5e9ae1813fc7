use http::{HeaderValue, Response};
use hyper::ext::ReasonPhrase;

use crate::connection::Connection;
use crate::error::AttemptError;

/// Length of a status line up to its code, as in `HTTP/1.1 200`.
const STATUS_LENGTH: usize = 12;

/// What the response to a request must name.
pub struct ExpectedOrigin<'a> {
    /// Header in which a response repeats the identifier of its request.
    pub header: &'static str,
    /// Identifier of the request, which was sent over this connection for the first time.
    pub id: &'a [u8],
}

impl ExpectedOrigin<'_> {
    /// Checks that a response belongs to this request, and whether it promises that the request did not run.
    ///
    /// A backend server may write an earlier response once more. A response that names no request is therefore
    /// only trusted on a connection that has carried no other one, and the connection isn't used again.
    ///
    /// # Errors
    /// [`AttemptError::Declined`] for a refusal of this request; [`AttemptError::Invalid`] for a response that may
    /// belong to another one, after which it is unknown whether this one ran.
    pub fn check<B>(
        &self,
        connection: &mut Connection,
        response: &Response<B>,
        is_refusal: bool,
    ) -> Result<(), AttemptError> {
        let mut named = response.headers().get_all(self.header).iter();
        let is_named = response.headers().contains_key(self.header);
        if named.any(|id| id.as_bytes() != self.id) {
            return Err(invalid("the answer is another request's"));
        }
        if !is_named && connection.is_kept() {
            return Err(invalid(
                "the answer names no request, and may be an earlier one's",
            ));
        }
        if is_spliced(response) {
            return Err(invalid("the answer begins with a part of another one"));
        }
        if !is_named {
            connection.expire();
        }
        if is_refusal {
            return Err(AttemptError::Declined);
        }
        Ok(())
    }
}

fn invalid(reason: &'static str) -> AttemptError {
    AttemptError::Invalid(reason.into())
}

/// Whether a response that broke off was continued by another one, whose status line then stands in a header or in the reason.
fn is_spliced<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>();
    let values = response.headers().values().map(HeaderValue::as_bytes);
    let mut texts = values.chain(reason.map(ReasonPhrase::as_bytes));
    texts.any(|text| text.windows(STATUS_LENGTH).any(is_status))
}

/// Whether a text has the form `HTTP/1.1 200`.
fn is_status(text: &[u8]) -> bool {
    let [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', code @ ..] = text else {
        return false;
    };
    code.iter().all(u8::is_ascii_digit)
}
