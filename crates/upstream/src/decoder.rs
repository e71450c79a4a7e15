//! The decoder of answers, which holds the bytes that have arrived and not yet been decoded.

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;

use crate::connection::ExchangeError;
use crate::framing::Framing;
use crate::head::AnswerHead;

/// The most interim heads before the head of an answer.
pub const MAX_INTERIM_HEADS: u32 = 8;

/// Decodes the answers on one connection.
#[derive(Debug)]
pub struct AnswerDecoder {
    /// The bytes that have arrived and not yet been decoded.
    pub received: BytesMut,
    framing: Framing,
    interim_heads: u32,
}

impl Default for AnswerDecoder {
    fn default() -> Self {
        Self { received: BytesMut::new(), framing: Framing::Done, interim_heads: 0 }
    }
}

impl AnswerDecoder {
    /// Takes the next head that is not interim, or returns `None` if more bytes are needed.
    pub fn next_head(&mut self, method: &Method) -> Result<Option<AnswerHead>, ExchangeError> {
        while let Some(head) = AnswerHead::parse(&mut self.received)? {
            self.framing = Framing::from_head(method, &head)?;
            if !head.status.is_informational() {
                self.interim_heads = 0;
                return Ok(Some(head));
            }
            self.interim_heads += 1;
            if self.interim_heads > MAX_INTERIM_HEADS {
                return Err(ExchangeError::OverLimit("too many interim heads"));
            }
        }
        Ok(None)
    }

    /// Takes the next part of the body, or returns `None` if more bytes are needed or the body is
    /// complete.
    pub fn next_part(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        self.framing.decode(&mut self.received)
    }

    /// Returns whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.framing == Framing::Done
    }

    /// Returns whether the body ends with the connection.
    pub fn is_until_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Handles the end of the connection, which completes a body that has neither a length nor
    /// chunks.
    pub fn finish(&mut self) -> Result<(), ExchangeError> {
        if self.framing == Framing::UntilClose {
            self.framing = Framing::Done;
        }
        if self.is_complete() {
            return Ok(());
        }
        Err(ExchangeError::Lost("it ended inside the answer"))
    }
}
