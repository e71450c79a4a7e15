//! The transfer of the configuration between daemons: compressed, and to a few of them at a time.

use std::cell::RefCell;
use std::io;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use log::warn;

/// The path and query of a call that asks for the compressed configuration; daemons that do not know
/// the query answer with the plain one.
pub const COMPRESSED_TARGET: &str = "/configuration?encoding=zstd";
/// The query in `COMPRESSED_TARGET`.
pub const COMPRESSED_QUERY: &str = "encoding=zstd";
/// The bytes that are sent to peers at once, unless a single transfer is larger: a 30 Mbit/s link, that
/// of a small host, carries them in 70 ms.
const MAX_BYTES_IN_FLIGHT: usize = 256 << 10;
/// The level of compression; a higher one costs a small host more time than its link saves.
const COMPRESSION_LEVEL: i32 = 1;
/// The bytes at the start of a compressed configuration.
const COMPRESSED_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];
/// The size limit of a configuration once it is decompressed, in bytes.
const MAX_CONFIGURATION_BYTES: u64 = 64 << 20;

/// Hands the configuration in force to peers.
#[derive(Default)]
pub struct ConfigurationSender {
    plain: RefCell<Bytes>,
    compressed: RefCell<Bytes>,
    in_flight: Arc<AtomicUsize>,
}

impl ConfigurationSender {
    /// Replaces the configuration, given in its original encoding.
    pub fn set(&self, json: &Bytes) {
        *self.plain.borrow_mut() = json.clone();
        *self.compressed.borrow_mut() = Bytes::new();
    }

    /// Returns whether there is no configuration yet.
    pub fn is_empty(&self) -> bool {
        self.plain.borrow().is_empty()
    }

    /// Returns the configuration for one peer, or `None` while enough others receive it. The transfer
    /// lasts until the bytes are dropped.
    pub fn begin_transfer(&self, is_compressed: bool) -> Option<Bytes> {
        let body = if is_compressed { self.compressed() } else { self.plain.borrow().clone() };
        let length = body.len();
        let free = |bytes: usize| {
            let is_free = bytes == 0 || bytes + length <= MAX_BYTES_IN_FLIGHT;
            is_free.then_some(bytes + length)
        };
        self.in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, free).ok()?;
        let in_flight = self.in_flight.clone();
        Some(Bytes::from_owner(Transfer { body, in_flight }))
    }

    /// Compresses the configuration once, when the first peer asks for it.
    fn compressed(&self) -> Bytes {
        let mut compressed = self.compressed.borrow_mut();
        if compressed.is_empty() {
            let plain = self.plain.borrow();
            *compressed = match zstd::bulk::compress(&plain, COMPRESSION_LEVEL) {
                Ok(bytes) => Bytes::from(bytes),
                Err(error) => {
                    warn!("event=configuration_not_compressed error=\"{error}\"");
                    plain.clone()
                }
            };
        }
        compressed.clone()
    }
}

/// The bytes of one transfer, which count as in flight until they are dropped.
struct Transfer {
    body: Bytes,
    in_flight: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Transfer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(self.body.len(), Ordering::Relaxed);
    }
}

/// Returns the configuration that a peer has sent, compressed or not, in its original encoding.
pub fn decode(body: Bytes) -> io::Result<Bytes> {
    if !body.starts_with(&COMPRESSED_MAGIC) {
        return Ok(body);
    }
    let mut json = Vec::new();
    let decoder = zstd::stream::read::Decoder::with_buffer(&body[..])?;
    decoder.take(MAX_CONFIGURATION_BYTES).read_to_end(&mut json)?;
    Ok(Bytes::from(json))
}
