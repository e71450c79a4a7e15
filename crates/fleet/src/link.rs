//! One link: a WebSocket that carries calls, answers and notices as CBOR.

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

/// Frames that may wait for a slow peer before the link counts as lost.
const SEND_QUEUE: usize = 4096;
/// The longest time that one frame may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a link with calls in progress shows that it still carries frames.
const KEEP_ALIVE_EVERY: Duration = Duration::from_millis(500);
/// The longest silence of a link with calls in progress.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Why a call over a link brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The call certainly was not sent.
    NotSent,
    /// The call was sent and the answer did not come.
    NoAnswer,
}

/// What arrives on a link.
pub enum Inbound {
    /// A call to answer.
    Call {
        /// Its number.
        call: u64,
        /// What is asked.
        request: Request,
    },
    /// A message without an answer.
    Notice(Notice),
}

/// An open link.
pub struct Link {
    frames: mpsc::Sender<Frame>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    inbound_calls: AtomicUsize,
    last_heard: Mutex<Instant>,
    next_call: AtomicU64,
    is_silent: AtomicBool,
    is_closing: AtomicBool,
    closed: CancellationToken,
}

impl Link {
    /// Runs the writer of a new link over `sink`; the caller runs `read` over the stream.
    pub fn open<S>(sink: S, counters: Counters, closed: CancellationToken) -> Arc<Self>
    where
        S: Sink<Message, Error = SocketError> + Send + Unpin + 'static,
    {
        let (frames, queue) = mpsc::channel(SEND_QUEUE);
        tokio::spawn(write_frames(sink, queue, counters, closed.clone()));
        Arc::new(Self {
            frames,
            waiting: Mutex::new(HashMap::new()),
            inbound_calls: AtomicUsize::new(0),
            last_heard: Mutex::new(Instant::now()),
            next_call: AtomicU64::new(1),
            is_silent: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            closed,
        })
    }

    /// Returns whether the link can no longer be used.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns whether the peer takes no further call on this link.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Asks the peer, which dialled, to close the link after its last call.
    pub fn announce_closing(&self) {
        if self.frames.try_send(Frame::Closing).is_err() {
            self.close();
        }
    }

    /// Closes the link; calls in progress end without an answer.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Makes a call and waits up to `wait` for the answer.
    pub async fn call(&self, request: Request, wait: Duration) -> Result<Reply, LinkError> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.on_busy();
        if !self.expect_answer(call, sender) {
            return Err(LinkError::NotSent);
        }
        let _remove = RemoveOnDrop { link: self, call };
        if self.is_closed() || self.frames.try_send(Frame::Call { call, request }).is_err() {
            return Err(LinkError::NotSent);
        }
        tokio::select! {
            () = self.closed.cancelled() => Err(LinkError::NoAnswer),
            answer = timeout(wait, receiver) => match answer {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(_)) | Err(_) => Err(LinkError::NoAnswer),
            },
        }
    }

    /// Answers a call; without a reply the caller's wait runs out.
    ///
    /// The work is dropped when the link closes first.
    pub async fn answer<F>(&self, call: u64, work: F)
    where
        F: Future<Output = Option<Reply>>,
    {
        self.on_busy();
        self.inbound_calls.fetch_add(1, Ordering::AcqRel);
        let reply = tokio::select! {
            () = self.closed.cancelled() => None,
            reply = work => reply,
        };
        self.inbound_calls.fetch_sub(1, Ordering::AcqRel);
        if let Some(reply) = reply {
            let _ = self.frames.try_send(Frame::Answer { call, reply });
        }
    }

    /// Sends a message without an answer.
    pub fn notify(&self, notice: Notice) -> Result<(), LinkError> {
        self.frames.try_send(Frame::Notice(notice)).map_err(|_| LinkError::NotSent)
    }

    /// Makes the link drop everything it reads, as a connection that has gone silent does.
    pub fn go_silent(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    /// Reads frames until the link closes; `on_inbound` gets calls and notices.
    ///
    /// Returns the number of answers that came too late for their call.
    pub async fn read<S>(&self, mut stream: S, mut on_inbound: impl FnMut(Inbound)) -> u64
    where
        S: Stream<Item = Result<Message, SocketError>> + Unpin,
    {
        let mut late_answers = 0;
        let mut ticks = tokio::time::interval(KEEP_ALIVE_EVERY);
        loop {
            let message = tokio::select! {
                () = self.closed.cancelled() => break,
                message = stream.next() => message,
                _ = ticks.tick() => {
                    if self.is_lost() {
                        break;
                    }
                    continue;
                }
            };
            let Some(Ok(message)) = message else {
                break;
            };
            if self.is_silent.load(Ordering::Relaxed) {
                continue;
            }
            let Message::Binary(bytes) = message else {
                continue;
            };
            *self.last_heard() = Instant::now();
            match decode(&bytes) {
                Some(Frame::Call { call, request }) => on_inbound(Inbound::Call { call, request }),
                Some(Frame::Notice(notice)) => on_inbound(Inbound::Notice(notice)),
                Some(Frame::Answer { call, reply }) => {
                    let is_late = !self.deliver(call, reply);
                    late_answers += u64::from(is_late);
                }
                Some(Frame::KeepAlive) => {
                    let _ = self.frames.try_send(Frame::KeepAliveAnswer);
                }
                Some(Frame::KeepAliveAnswer) => {}
                Some(Frame::Closing) => self.on_closing(),
                None => break,
            }
        }
        self.close();
        late_answers
    }

    /// Asks for a sign of life, and returns whether none has come for too long.
    fn is_lost(&self) -> bool {
        let is_calling = !self.waiting().is_empty();
        if is_calling {
            let _ = self.frames.try_send(Frame::KeepAlive);
        }
        let is_busy = is_calling || self.inbound_calls.load(Ordering::Acquire) > 0;
        is_busy && self.last_heard().elapsed() > MAX_SILENCE
    }

    /// Starts the measure of silence anew when a link that was idle gets a call.
    fn on_busy(&self) {
        let is_idle = self.waiting().is_empty() && self.inbound_calls.load(Ordering::Acquire) == 0;
        if is_idle {
            *self.last_heard() = Instant::now();
        }
    }

    fn last_heard(&self) -> std::sync::MutexGuard<'_, Instant> {
        self.last_heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a call, unless the peer takes no more.
    fn expect_answer(&self, call: u64, answer: oneshot::Sender<Reply>) -> bool {
        let mut waiting = self.waiting();
        let is_open = !self.is_closing();
        if is_open {
            waiting.insert(call, answer);
        }
        is_open
    }

    fn deliver(&self, call: u64, reply: Reply) -> bool {
        let waiting = self.waiting().remove(&call);
        waiting.is_some_and(|sender| sender.send(reply).is_ok())
    }

    fn on_closing(&self) {
        let waiting = self.waiting();
        self.is_closing.store(true, Ordering::Release);
        self.close_if_finished(&waiting);
    }

    fn on_call_over(&self, call: u64) {
        let mut waiting = self.waiting();
        waiting.remove(&call);
        self.close_if_finished(&waiting);
    }

    fn close_if_finished(&self, waiting: &HashMap<u64, oneshot::Sender<Reply>>) {
        if waiting.is_empty() && self.is_closing() {
            self.close();
        }
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Reply>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct RemoveOnDrop<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.link.on_call_over(self.call);
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

/// Encodes a value as one binary message.
pub fn encode<T: Serialize>(value: &T) -> Option<Message> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    Some(Message::Binary(bytes))
}

/// Decodes one binary message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
