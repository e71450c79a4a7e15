//! All links of a daemon: the listener, the dialled links and the handlers of inbound messages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::Weak;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use kernel::Counters;
use kernel::KernelError;
use kernel::counters::RetryReason;
use log::info;
use log::warn;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::DaemonName;
use wire::link::Challenge;
use wire::link::Hello;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;

use crate::handshake;
use crate::link;
use crate::link::Inbound;
use crate::link::Link;
use crate::link::LinkError;
use crate::membership::DaemonInfo;

/// The longest time for dialling a peer, and for each step of accepting a link.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a stopping daemon waits for peers to finish their calls; longer than the silence after
/// which a link with calls in progress counts as lost.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// A handler of calls and notices from peers, which a plug-in provides.
#[async_trait]
pub trait LinkHandler: Send + Sync + 'static {
    /// Answers a call, or returns `None` if the call is for another handler.
    async fn handle_call(&self, from: &DaemonName, request: &Request) -> Option<Reply>;

    /// Handles a notice; every handler gets every notice.
    fn handle_notice(&self, from: &DaemonName, notice: &Notice);
}

/// The link to one peer, if there is one; the lock prevents two calls from dialling at once.
type PeerLink = Arc<tokio::sync::Mutex<Option<Arc<Link>>>>;

/// The links of one daemon.
pub struct Links {
    own_name: DaemonName,
    secrets: Vec<String>,
    counters: Counters,
    handlers: RwLock<Vec<Arc<dyn LinkHandler>>>,
    dialled: Mutex<HashMap<DaemonName, PeerLink>>,
    accepted: Mutex<Vec<Weak<Link>>>,
    serve_tasks: TaskTracker,
    draining: CancellationToken,
    stopped: CancellationToken,
}

impl Links {
    /// Listens on `address` until `stopped` is cancelled.
    pub async fn listen(
        own_name: DaemonName,
        address: SocketAddr,
        secrets: Vec<String>,
        counters: Counters,
        stopped: CancellationToken,
    ) -> Result<Arc<Self>, KernelError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| KernelError::Bind { address: address.to_string(), source })?;
        let links = Arc::new(Self {
            own_name,
            secrets,
            counters,
            handlers: RwLock::new(Vec::new()),
            dialled: Mutex::new(HashMap::new()),
            accepted: Mutex::new(Vec::new()),
            serve_tasks: TaskTracker::new(),
            draining: stopped.child_token(),
            stopped,
        });
        tokio::spawn(accept_links(Arc::clone(&links), listener));
        Ok(links)
    }

    /// Adds a handler of inbound calls and notices.
    pub fn add_handler(&self, handler: Arc<dyn LinkHandler>) {
        self.handlers.write().unwrap_or_else(PoisonError::into_inner).push(handler);
    }

    /// Calls a peer, dialling it first if there is no open link.
    pub async fn call(
        &self,
        peer: &DaemonInfo,
        request: Request,
        wait: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link_to(peer).await.ok_or(LinkError::NotSent)?;
        self.counters.count("link_calls");
        link.call(request, wait).await
    }

    /// Sends a notice to a peer, dialling it first if there is no open link.
    pub async fn notify(&self, peer: &DaemonInfo, notice: Notice) -> Result<(), LinkError> {
        let link = self.link_to(peer).await.ok_or(LinkError::NotSent)?;
        self.counters.count("link_notices");
        link.notify(notice)
    }

    /// Stops accepting links, lets peers finish their calls and waits, for a limited time, until
    /// accepted links close.
    pub async fn drain(&self) {
        self.draining.cancel();
        self.accepted().iter().filter_map(Weak::upgrade).for_each(|link| link.announce_closing());
        self.serve_tasks.close();
        if timeout(DRAIN_TIMEOUT, self.serve_tasks.wait()).await.is_err() {
            warn!(
                "event=links_not_drained daemon={} left={}",
                self.own_name,
                self.serve_tasks.len()
            );
        }
    }

    /// Closes the link to a peer that does not answer; the next use dials again.
    pub async fn abandon(&self, peer: &DaemonName) {
        let peer_link = self.peer_link(peer);
        if let Some(link) = peer_link.lock().await.take() {
            link.close();
            self.counters.count("links_abandoned");
        }
    }

    /// Makes every link that this daemon has dialled discard inbound frames, for failure tests.
    pub async fn silence_dialled_links(&self) {
        let peer_links: Vec<_> = self.dialled().values().cloned().collect();
        for peer_link in peer_links {
            if let Some(link) = peer_link.lock().await.as_ref() {
                link.discard_inbound();
            }
        }
    }

    async fn link_to(&self, peer: &DaemonInfo) -> Option<Arc<Link>> {
        let peer_link = self.peer_link(&peer.daemon);
        let mut peer_link = peer_link.lock().await;
        if let Some(link) = peer_link.as_ref().filter(|link| !link.is_closed()) {
            return (!link.is_closing()).then(|| Arc::clone(link));
        }
        if peer_link.is_some() {
            self.counters.count_retry(RetryReason::LinkRedial);
        }
        *peer_link = None;
        let link = timeout(OPEN_TIMEOUT, self.dial(peer)).await.ok().flatten()?;
        *peer_link = Some(Arc::clone(&link));
        Some(link)
    }

    async fn dial(&self, peer: &DaemonInfo) -> Option<Arc<Link>> {
        let stream = TcpStream::connect(peer.links_address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let url = format!("ws://{}/", peer.links_address);
        let (mut socket, _) = client_async(url, stream).await.ok()?;
        let challenge: Challenge = receive(&mut socket).await?;
        let secret = self.secrets.first()?;
        let hello = handshake::sign_hello(secret, &self.own_name, &peer.daemon, &challenge.nonce);
        send(&mut socket, &hello).await?;
        let (sink, stream) = socket.split();
        let link = Link::open(sink, self.counters.clone(), self.stopped.child_token());
        let reader = Arc::clone(&link);
        let counters = self.counters.clone();
        tokio::spawn(async move {
            // The listening side sends no calls or notices on this link, so none are handled.
            let late_answers = reader.read(stream, |_| {}).await;
            counters.add("link_late_answers", late_answers as i64);
        });
        Some(link)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut socket = timeout(OPEN_TIMEOUT, accept_async(stream)).await.ok()?.ok()?;
        let nonce = hex::encode(rand::thread_rng().r#gen::<[u8; 16]>());
        send(&mut socket, &Challenge { nonce: nonce.clone() }).await?;
        let hello: Hello = timeout(OPEN_TIMEOUT, receive(&mut socket)).await.ok()??;
        if !handshake::is_hello_valid(&self.secrets, &self.own_name, &nonce, &hello) {
            self.counters.count("link_hellos_refused");
            warn!("event=link_refused claimed={}", hello.daemon);
            return None;
        }
        info!("event=link_open from={} to={}", hello.daemon, self.own_name);
        let (sink, stream) = socket.split();
        let link = Link::open(sink, self.counters.clone(), self.stopped.child_token());
        self.track_accepted(&link);
        if self.draining.is_cancelled() {
            link.announce_closing();
        }
        let reply_link = Arc::clone(&link);
        let from = hello.daemon;
        link.read(stream, |inbound| self.on_inbound(&reply_link, &from, inbound)).await;
        Some(())
    }

    fn track_accepted(&self, link: &Arc<Link>) {
        let mut accepted = self.accepted();
        accepted.retain(|known| known.upgrade().is_some_and(|known| !known.is_closed()));
        accepted.push(Arc::downgrade(link));
    }

    fn on_inbound(self: &Arc<Self>, link: &Arc<Link>, from: &DaemonName, inbound: Inbound) {
        match inbound {
            Inbound::Notice(notice) => {
                for handler in self.handlers() {
                    handler.handle_notice(from, &notice);
                }
            }
            Inbound::Call { call, request } => {
                let links = Arc::clone(self);
                let link = Arc::clone(link);
                let from = from.clone();
                tokio::spawn(async move {
                    link.answer(call, links.dispatch_call(&from, &request)).await;
                });
            }
        }
    }

    async fn dispatch_call(&self, from: &DaemonName, request: &Request) -> Option<Reply> {
        for handler in self.handlers() {
            if let Some(reply) = handler.handle_call(from, request).await {
                return Some(reply);
            }
        }
        None
    }

    fn handlers(&self) -> Vec<Arc<dyn LinkHandler>> {
        self.handlers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn peer_link(&self, peer: &DaemonName) -> PeerLink {
        Arc::clone(self.dialled().entry(peer.clone()).or_default())
    }

    fn accepted(&self) -> MutexGuard<'_, Vec<Weak<Link>>> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn dialled(&self) -> MutexGuard<'_, HashMap<DaemonName, PeerLink>> {
        self.dialled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept_links(links: Arc<Links>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = links.draining.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                links.serve_tasks.spawn(Arc::clone(&links).serve(stream));
            }
            Err(error) => {
                warn!("event=link_accept_failed error=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn send<T: serde::Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    value: &T,
) -> Option<()> {
    use futures::SinkExt;
    socket.send(link::encode(value)?).await.ok()
}

async fn receive<T: serde::de::DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Option<T> {
    match socket.next().await? {
        Ok(Message::Binary(bytes)) => link::decode(&bytes),
        _ => None,
    }
}
