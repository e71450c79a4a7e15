//! A connection of the HTTP client that fails at the first malformed byte of an answer.
//!
//! hyper accepts some malformed answers, and has no setting to reject them.

use std::io;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures::TryFutureExt;
use futures::future::MapOk;
use http::Method;
use http::Uri;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use tower_service::Service;
use upstream::AnswerDecoder;
use upstream::ExchangeError;

/// The most bytes that are read at once.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Opens the connections of another connector as checked ones.
#[derive(Clone, Debug)]
pub struct CheckedConnector<C> {
    connector: C,
}

impl<C> CheckedConnector<C> {
    /// Creates a connector that opens its connections with `connector`.
    pub fn new(connector: C) -> Self {
        Self { connector }
    }
}

impl<C: Service<Uri>> Service<Uri> for CheckedConnector<C> {
    type Response = CheckedStream<C::Response>;
    type Error = C::Error;
    type Future = MapOk<C::Future, fn(C::Response) -> Self::Response>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.connector.call(uri).map_ok(CheckedStream::new)
    }
}

/// A connection whose answers are decoded a second time, by the decoder of the platform path.
///
/// The answers must not be those to HEAD requests, whose heads may announce a body that never comes.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    decoder: AnswerDecoder,
    is_in_body: bool,
    has_surplus: bool,
}

impl<S> CheckedStream<S> {
    fn new(stream: S) -> Self {
        let decoder = AnswerDecoder::default();
        Self { stream, decoder, is_in_body: false, has_surplus: false }
    }

    /// Decodes received bytes; returns how many of them belong to the answer.
    fn check(&mut self, bytes: &[u8]) -> Result<usize, ExchangeError> {
        self.decoder.received.extend_from_slice(bytes);
        if !self.is_in_body && self.decoder.next_head(&Method::GET)?.is_none() {
            return Ok(bytes.len());
        }
        self.is_in_body = true;
        while self.decoder.next_part()?.is_some() {}
        if !self.decoder.is_complete() {
            return Ok(bytes.len());
        }
        self.is_in_body = false;
        let surplus_bytes = self.decoder.received.len();
        self.has_surplus = surplus_bytes > 0;
        Ok(bytes.len() - surplus_bytes)
    }
}

impl<S: Read + Unpin> Read for CheckedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.has_surplus {
            let message = "bytes follow the answer";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, message)));
        }
        let mut space = [const { MaybeUninit::uninit() }; READ_BUFFER_BYTES];
        let length = buffer.remaining().min(space.len());
        let mut received = ReadBuf::uninit(&mut space[..length]);
        ready!(Pin::new(&mut this.stream).poll_read(context, received.unfilled()))?;
        let checked = this.check(received.filled());
        Poll::Ready(match checked {
            Ok(length) => {
                buffer.put_slice(&received.filled()[..length]);
                Ok(())
            }
            Err(error) => Err(io::Error::new(ErrorKind::InvalidData, error)),
        })
    }
}

impl<S: Write + Unpin> Write for CheckedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

impl<S: Connection> Connection for CheckedStream<S> {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
