//! A link: a WebSocket that carries calls, answers and notices as CBOR.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::Sink;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use kernel::Counters;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;
use wire::link::Frame;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;

/// The frames that may be queued for a slow peer; while the queue is full, new frames are not sent.
const SEND_QUEUE_FRAMES: usize = 4096;
/// The longest time for writing one frame or closing the socket.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between keep-alive frames on a link with calls in progress.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// The silence after which a link with calls in progress counts as lost.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Why a call over a link got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The call was certainly not sent.
    NotSent,
    /// No answer was received; the peer may have run the call.
    NoAnswer,
}

/// A message from the peer for this daemon's handlers.
pub enum Inbound {
    /// A call to answer.
    Call {
        /// The number of the call on this link.
        call: u64,
        /// The request.
        request: Request,
    },
    /// A notice, which gets no answer.
    Notice(Notice),
}

/// One end of an open link.
pub struct Link {
    outgoing: mpsc::Sender<Frame>,
    pending_calls: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    inbound_calls: AtomicUsize,
    last_received: Mutex<Instant>,
    next_call: AtomicU64,
    discards_inbound: AtomicBool,
    is_closing: AtomicBool,
    closed: CancellationToken,
}

impl Link {
    /// Opens a link and starts its writer on `sink`; the caller runs `read` on the stream.
    pub fn open<S>(sink: S, counters: Counters, closed: CancellationToken) -> Arc<Self>
    where
        S: Sink<Message, Error = SocketError> + Send + Unpin + 'static,
    {
        let (outgoing, queue) = mpsc::channel(SEND_QUEUE_FRAMES);
        tokio::spawn(write_frames(sink, queue, counters, closed.clone()));
        Arc::new(Self {
            outgoing,
            pending_calls: Mutex::new(HashMap::new()),
            inbound_calls: AtomicUsize::new(0),
            last_received: Mutex::new(Instant::now()),
            next_call: AtomicU64::new(1),
            discards_inbound: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            closed,
        })
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns whether the peer has announced that it accepts no further calls on this link.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Asks the peer, which dialled this link, to close it after its last call.
    pub fn announce_closing(&self) {
        if self.outgoing.try_send(Frame::Closing).is_err() {
            self.close();
        }
    }

    /// Closes the link; calls in progress end without an answer.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Sends a call and waits up to `wait` for the answer.
    pub async fn call(&self, request: Request, wait: Duration) -> Result<Reply, LinkError> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.reset_silence_if_idle();
        if !self.register_call(call, sender) {
            return Err(LinkError::NotSent);
        }
        let _guard = PendingCallGuard { link: self, call };
        if self.is_closed() || self.outgoing.try_send(Frame::Call { call, request }).is_err() {
            return Err(LinkError::NotSent);
        }
        tokio::select! {
            // An answer that was received before the link closed is polled first.
            biased;
            answer = timeout(wait, receiver) => match answer {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(_)) | Err(_) => Err(LinkError::NoAnswer),
            },
            () = self.closed.cancelled() => Err(LinkError::NoAnswer),
        }
    }

    /// Runs `handler` and sends its reply to a call; without a reply the caller's wait times out.
    ///
    /// `handler` is cancelled if the link closes first.
    pub async fn answer<F>(&self, call: u64, handler: F)
    where
        F: Future<Output = Option<Reply>>,
    {
        self.reset_silence_if_idle();
        self.inbound_calls.fetch_add(1, Ordering::AcqRel);
        let reply = tokio::select! {
            () = self.closed.cancelled() => None,
            reply = handler => reply,
        };
        self.inbound_calls.fetch_sub(1, Ordering::AcqRel);
        if let Some(reply) = reply {
            let _ = self.outgoing.try_send(Frame::Answer { call, reply });
        }
    }

    /// Sends a notice, which gets no answer.
    pub fn notify(&self, notice: Notice) -> Result<(), LinkError> {
        self.outgoing.try_send(Frame::Notice(notice)).map_err(|_| LinkError::NotSent)
    }

    /// Makes the link discard all inbound frames, which simulates a peer that has gone silent.
    pub fn discard_inbound(&self) {
        self.discards_inbound.store(true, Ordering::Relaxed);
    }

    /// Reads frames until the link closes and passes calls and notices to `on_inbound`.
    ///
    /// Returns the number of answers that arrived after their call had timed out.
    pub async fn read<S>(&self, mut stream: S, mut on_inbound: impl FnMut(Inbound)) -> u64
    where
        S: Stream<Item = Result<Message, SocketError>> + Unpin,
    {
        let mut late_answers = 0;
        let mut ticks = tokio::time::interval(KEEP_ALIVE_INTERVAL);
        loop {
            let message = tokio::select! {
                () = self.closed.cancelled() => break,
                message = stream.next() => message,
                _ = ticks.tick() => {
                    if self.poll_keep_alive() {
                        break;
                    }
                    continue;
                }
            };
            let Some(Ok(message)) = message else {
                break;
            };
            if self.discards_inbound.load(Ordering::Relaxed) {
                continue;
            }
            let Message::Binary(bytes) = message else {
                continue;
            };
            *self.last_received() = Instant::now();
            match decode(&bytes) {
                Some(Frame::Call { call, request }) => on_inbound(Inbound::Call { call, request }),
                Some(Frame::Notice(notice)) => on_inbound(Inbound::Notice(notice)),
                Some(Frame::Answer { call, reply }) => {
                    let is_late = !self.deliver_reply(call, reply);
                    late_answers += u64::from(is_late);
                }
                Some(Frame::KeepAlive) => {
                    let _ = self.outgoing.try_send(Frame::KeepAliveAnswer);
                }
                Some(Frame::KeepAliveAnswer) => {}
                Some(Frame::Closing) => self.on_closing(),
                None => break,
            }
        }
        self.close();
        late_answers
    }

    /// Sends a keep-alive frame if calls are pending, and returns whether the link counts as lost.
    fn poll_keep_alive(&self) -> bool {
        let has_pending_calls = !self.pending_calls().is_empty();
        if has_pending_calls {
            let _ = self.outgoing.try_send(Frame::KeepAlive);
        }
        let is_busy = has_pending_calls || self.inbound_calls.load(Ordering::Acquire) > 0;
        is_busy && self.last_received().elapsed() > MAX_SILENCE
    }

    /// Restarts the measurement of silence when an idle link gets a call.
    fn reset_silence_if_idle(&self) {
        let is_idle =
            self.pending_calls().is_empty() && self.inbound_calls.load(Ordering::Acquire) == 0;
        if is_idle {
            *self.last_received() = Instant::now();
        }
    }

    fn last_received(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.last_received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a pending call unless the link is closing, and returns whether it did.
    fn register_call(&self, call: u64, answer: oneshot::Sender<Reply>) -> bool {
        let mut pending_calls = self.pending_calls();
        let is_open = !self.is_closing();
        if is_open {
            pending_calls.insert(call, answer);
        }
        is_open
    }

    /// Passes a reply to its call, and returns whether the call was still waiting.
    ///
    /// The reply is sent under the lock: once the call is off the list, the link may close.
    fn deliver_reply(&self, call: u64, reply: Reply) -> bool {
        let mut pending_calls = self.pending_calls();
        let pending = pending_calls.remove(&call);
        pending.is_some_and(|sender| sender.send(reply).is_ok())
    }

    fn on_closing(&self) {
        let pending_calls = self.pending_calls();
        self.is_closing.store(true, Ordering::Release);
        self.close_if_finished(&pending_calls);
    }

    fn remove_call(&self, call: u64) {
        let mut pending_calls = self.pending_calls();
        pending_calls.remove(&call);
        self.close_if_finished(&pending_calls);
    }

    fn close_if_finished(&self, pending_calls: &HashMap<u64, oneshot::Sender<Reply>>) {
        if pending_calls.is_empty() && self.is_closing() {
            self.close();
        }
    }

    fn pending_calls(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Reply>>> {
        self.pending_calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a pending call when it ends or is cancelled.
struct PendingCallGuard<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        self.link.remove_call(self.call);
    }
}

async fn write_frames<S>(
    mut sink: S,
    mut queue: mpsc::Receiver<Frame>,
    counters: Counters,
    closed: CancellationToken,
) where
    S: Sink<Message, Error = SocketError> + Send + Unpin,
{
    loop {
        let frame = tokio::select! {
            () = closed.cancelled() => break,
            frame = queue.recv() => frame,
        };
        let Some(message) = frame.and_then(|frame| encode(&frame)) else {
            break;
        };
        counters.add("link_bytes_sent", message.len() as i64);
        let is_written = matches!(timeout(WRITE_TIMEOUT, sink.send(message)).await, Ok(Ok(())));
        if !is_written {
            break;
        }
    }
    closed.cancel();
    let _ = timeout(WRITE_TIMEOUT, sink.close()).await;
}

/// Encodes a value as a binary CBOR message.
pub fn encode<T: Serialize>(value: &T) -> Option<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    Some(Message::Binary(bytes))
}

/// Decodes the bytes of a binary CBOR message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
