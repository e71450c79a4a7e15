//! Answers that the daemon creates itself.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use kernel::local_server::LocalBody;
use wire::Ran;
use wire::Refusal;

use crate::codec::IngressCodec;

/// Builds an answer with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Response<LocalBody> {
    let mut answer = Response::new(LocalBody::full(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Builds an answer without a body.
pub fn empty(status: StatusCode) -> Response<LocalBody> {
    let mut answer = Response::new(LocalBody::Full(None));
    *answer.status_mut() = status;
    answer
}

/// Builds the answer to a refused request.
///
/// A status from which clients conclude that the request has not run is used only if the refusal
/// says so too.
pub fn refusal(codec: &dyn IngressCodec, refusal: &Refusal) -> Response<LocalBody> {
    let reason_status = StatusCode::from_u16(refusal.reason.http_status());
    let status = match (refusal.ran, reason_status) {
        (Ran::No, Ok(StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY)) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        (Ran::Unknown, Ok(status)) if is_not_run_status(status) => StatusCode::BAD_GATEWAY,
        (_, Ok(status)) => status,
        (_, Err(_)) => StatusCode::BAD_GATEWAY,
    };
    let mut answer = json(status, codec.encode_refusal(&refusal.to_string()));
    if let Some(wait_ms) = refusal.retry_after_ms {
        let seconds = format!("{}.{:03}", wait_ms / 1000, wait_ms % 1000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}

fn is_not_run_status(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
