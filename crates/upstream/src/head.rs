//! The heads of HTTP requests and answers.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;

use crate::connection::ExchangeError;

/// The most headers that are accepted in an answer.
const MAX_HEADERS: usize = 100;
/// The media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// The largest accepted head of an answer.
pub const MAX_HEAD_BYTES: usize = 32 << 10;

/// The status line and the headers of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the HTTP version keeps connections open by default, as HTTP/1.1 does.
    pub is_persistent_version: bool,
}

impl AnswerHead {
    /// Takes a head from the start of `buffer`, or returns `None` while it is incomplete.
    pub fn parse(buffer: &mut BytesMut) -> Result<Option<Self>, ExchangeError> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut header_slots);
        // The same bytes are parsed whether or not more of them have arrived.
        let visible_bytes = buffer.len().min(MAX_HEAD_BYTES + 1);
        let length = match parsed.parse(&buffer[..visible_bytes]) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
            Ok(httparse::Status::Partial) if visible_bytes <= MAX_HEAD_BYTES => return Ok(None),
            Ok(_) => return Err(ExchangeError::OverLimit("the head is too large")),
            Err(_) => return Err(ExchangeError::Malformed("the bytes are no answer")),
        };
        // The parser also ends a line, and so the head, at a single line feed.
        if has_bare_line_feed(&buffer[..length]) {
            return Err(ExchangeError::Malformed("a line of the head ends without CR"));
        }
        let status = parsed
            .code
            .and_then(|code| StatusCode::from_u16(code).ok())
            .filter(|status| is_answer_status(*status))
            .ok_or(ExchangeError::Malformed("no answer has this status"))?;
        let is_persistent_version = parsed.version == Some(1);
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(header.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(ExchangeError::Malformed("a header line cannot be read"));
            };
            headers.append(name, value);
        }
        let _ = buffer.split_to(length);
        Ok(Some(Self { status, headers, is_persistent_version }))
    }

    /// Returns whether the answer to a request with `method` has a body, which may be empty.
    pub fn has_body(&self, method: &Method) -> bool {
        *method != Method::HEAD
            && !self.status.is_informational()
            && self.status != StatusCode::NO_CONTENT
            && self.status != StatusCode::NOT_MODIFIED
    }

    /// Returns whether the body may be a stream of events: its type is this one or not given.
    pub fn may_have_events(&self) -> bool {
        self.headers.get(header::CONTENT_TYPE).is_none_or(|value| {
            let media_type = value.as_bytes().split(|byte| *byte == b';').next();
            media_type.is_some_and(|text| text.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
        })
    }

    /// Returns whether the server closes the connection after this answer.
    pub fn has_connection_close(&self) -> bool {
        let has_close = has_token(&self.headers, &header::CONNECTION, "close");
        let has_keep_alive = has_token(&self.headers, &header::CONNECTION, "keep-alive");
        has_close || (!self.is_persistent_version && !has_keep_alive)
    }

    /// Returns the idle time after which the server closes the connection, if the head names it.
    pub fn keep_alive_timeout_ms(&self) -> Option<u64> {
        let value = self.headers.get("keep-alive")?.to_str().ok()?;
        let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        Some(seconds.trim().parse::<u64>().ok()?.saturating_mul(1000))
    }
}

/// Returns whether an answer may have this status. A switch to another protocol is never asked for.
fn is_answer_status(status: StatusCode) -> bool {
    status.as_u16() < 600 && status != StatusCode::SWITCHING_PROTOCOLS
}

fn has_bare_line_feed(head: &[u8]) -> bool {
    memchr::memchr_iter(b'\n', head).any(|end| !head[..end].ends_with(b"\r"))
}

/// Returns whether a comma-separated header contains `token`, ignoring case.
pub fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}

/// Encodes a request.
pub struct RequestWriter {
    buffer: BytesMut,
}

impl RequestWriter {
    /// Starts a request with its request line.
    pub fn new(method: &str, target: &str) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(method.as_bytes());
        buffer.put_u8(b' ');
        buffer.put_slice(target.as_bytes());
        buffer.put_slice(b" HTTP/1.1\r\n");
        Self { buffer }
    }

    /// Adds a header.
    pub fn header(&mut self, name: &str, value: impl AsRef<[u8]>) -> &mut Self {
        self.buffer.put_slice(name.as_bytes());
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value.as_ref());
        self.buffer.put_slice(b"\r\n");
        self
    }

    /// Adds the content length, ends the head and appends the body.
    pub fn finish(mut self, body: &[u8]) -> Bytes {
        self.end_head(body.len());
        self.buffer.put_slice(body);
        self.buffer.freeze()
    }

    /// Adds the content length of a body that is sent separately, and ends the head.
    pub fn finish_head(mut self, body_bytes: usize) -> Bytes {
        self.end_head(body_bytes);
        self.buffer.freeze()
    }

    fn end_head(&mut self, body_bytes: usize) {
        self.header("content-length", body_bytes.to_string());
        self.buffer.put_slice(b"\r\n");
    }

    /// Ends the head of a request without a body.
    pub fn finish_empty(mut self) -> Bytes {
        self.buffer.put_slice(b"\r\n");
        self.buffer.freeze()
    }
}
