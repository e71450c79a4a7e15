//! The framing of an answer's body: by content length, by chunks, or by the end of the connection.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;

use crate::connection::ExchangeError;
use crate::head::AnswerHead;

/// The longest accepted line of the chunked encoding, without the data.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// The most bytes of the trailer lines after the last chunk.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// The state of a body decoder: what is still to be read of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks, with the state of the chunk decoder.
    Chunked(ChunkState),
    /// All bytes until the connection is closed.
    UntilClose,
    /// Nothing; the body is complete.
    Done,
}

/// What a chunk decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkState {
    /// The line with the size of a chunk.
    Size,
    /// This many bytes of a chunk's data.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// The trailer lines after the last chunk, of which this many bytes were read.
    Trailer(usize),
}

impl Framing {
    /// Returns the framing of the body of an answer to a request with `method`; fails if the head
    /// leaves any doubt about the length of the body.
    pub fn from_head(method: &Method, head: &AnswerHead) -> Result<Self, ExchangeError> {
        let announced = Self::announced_by(head)?;
        if head.has_body(method) {
            return Ok(announced);
        }
        // The answer to a HEAD request and a 304 announce the body of another answer.
        let never_has_body =
            head.status.is_informational() || head.status == StatusCode::NO_CONTENT;
        match announced {
            Self::Length(_) | Self::Chunked(_) if never_has_body => {
                Err(ExchangeError::Malformed("its status can have no body"))
            }
            _ => Ok(Self::Done),
        }
    }

    fn announced_by(head: &AnswerHead) -> Result<Self, ExchangeError> {
        let mut lengths = head.headers.get_all(header::CONTENT_LENGTH).iter();
        let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(Self::UntilClose),
            (Some(length), None) if lengths.next().is_none() => {
                match parse_digits(length.as_bytes(), 10) {
                    Some(0) => Ok(Self::Done),
                    Some(length) => Ok(Self::Length(length)),
                    None => Err(ExchangeError::Malformed("the length is no number")),
                }
            }
            (Some(_), None) => Err(ExchangeError::Malformed("it has two lengths")),
            (Some(_), Some(_)) => Err(ExchangeError::Malformed("it has a length beside a coding")),
            (None, Some(_)) if !head.is_persistent_version => {
                Err(ExchangeError::Malformed("its version has no transfer codings"))
            }
            (None, Some(coding))
                if coding.as_bytes().eq_ignore_ascii_case(b"chunked")
                    && codings.next().is_none() =>
            {
                Ok(Self::Chunked(ChunkState::Size))
            }
            (None, Some(_)) => Err(ExchangeError::Malformed("its transfer coding is unknown")),
        }
    }

    /// Decodes the next part of the body from `buffer`, or returns `None` if more bytes are needed
    /// or the body is complete.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        match self {
            Self::Done => Ok(None),
            Self::UntilClose if buffer.is_empty() => Ok(None),
            Self::UntilClose => Ok(Some(buffer.split().freeze())),
            Self::Length(remaining) => {
                let Some(part) = take_up_to(buffer, remaining) else { return Ok(None) };
                if *remaining == 0 {
                    *self = Self::Done;
                }
                Ok(Some(part))
            }
            Self::Chunked(_) => self.decode_chunk(buffer),
        }
    }

    fn decode_chunk(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
        while let Self::Chunked(state) = self {
            match state {
                ChunkState::Size => {
                    let Some(size) = take_size_line(buffer)? else { return Ok(None) };
                    *state =
                        if size == 0 { ChunkState::Trailer(0) } else { ChunkState::Data(size) };
                }
                ChunkState::Data(remaining) => {
                    let Some(part) = take_up_to(buffer, remaining) else { return Ok(None) };
                    if *remaining == 0 {
                        *state = ChunkState::DataEnd;
                    }
                    return Ok(Some(part));
                }
                ChunkState::DataEnd => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ExchangeError::Malformed("a chunk is longer than announced"));
                    }
                    *state = ChunkState::Size;
                }
                ChunkState::Trailer(read_bytes) => {
                    let Some(line) = take_line(buffer)? else { return Ok(None) };
                    *read_bytes += line.len();
                    if *read_bytes > MAX_TRAILER_BYTES {
                        return Err(ExchangeError::OverLimit("the trailers are too long"));
                    }
                    if line.is_empty() {
                        *self = Self::Done;
                    } else if !is_field(&line) {
                        return Err(ExchangeError::Malformed("a trailer line is no field"));
                    }
                }
            }
        }
        Ok(None)
    }
}

fn take_up_to(buffer: &mut BytesMut, remaining: &mut u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = buffer.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
    *remaining -= length as u64;
    Some(buffer.split_to(length).freeze())
}

fn take_size_line(buffer: &mut BytesMut) -> Result<Option<u64>, ExchangeError> {
    let Some(line) = take_line(buffer)? else { return Ok(None) };
    parse_size(&line).map(Some).ok_or(ExchangeError::Malformed("a chunk's size is no number"))
}

/// Parses the size of a chunk, which blanks and an extension may follow.
fn parse_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let (digits, rest) = line.split_at(digits);
    let blanks = rest.iter().take_while(|byte| matches!(byte, b' ' | b'\t')).count();
    let (_, extension) = rest.split_at(blanks);
    let is_extension = extension.starts_with(b";") && HeaderValue::from_bytes(extension).is_ok();
    parse_digits(digits, 16).filter(|_| extension.is_empty() || is_extension)
}

/// Returns whether a line of the trailers has the name and the value of a field.
fn is_field(line: &[u8]) -> bool {
    let Some(name_bytes) = memchr::memchr(b':', line) else { return false };
    let (name, value) = line.split_at(name_bytes);
    HeaderName::from_bytes(name).is_ok() && HeaderValue::from_bytes(&value[1..]).is_ok()
}

/// Parses a number that consists of digits only, unlike the numbers of the standard library.
fn parse_digits(text: &[u8], radix: u32) -> Option<u64> {
    let is_digits = text.iter().all(|byte| char::from(*byte).is_digit(radix));
    let text = std::str::from_utf8(text).ok().filter(|_| is_digits)?;
    u64::from_str_radix(text, radix).ok()
}

/// Takes one line without its line end, or returns `None` if it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, ExchangeError> {
    let end = memchr::memchr(b'\n', buffer);
    if end.unwrap_or(buffer.len()) > MAX_CHUNK_LINE_BYTES {
        return Err(ExchangeError::OverLimit("a line between chunks is too long"));
    }
    let Some(end) = end else { return Ok(None) };
    let line = buffer.split_to(end + 1).freeze();
    match line.strip_suffix(b"\r\n") {
        Some(text) => Ok(Some(line.slice(..text.len()))),
        None => Err(ExchangeError::Malformed("a line between chunks ends without CR")),
    }
}
