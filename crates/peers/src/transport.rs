//! The UDP transport for datagrams between daemons.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use kernel::Counters;
use kernel::KernelError;
use log::debug;
use log::warn;
use serde::Serialize;
use tokio::net::UdpSocket;
use wire::DaemonName;

use crate::heartbeat::Datagram;
use crate::heartbeat::Topic;

/// The size limit of a datagram; larger ones do not pass a loopback or Ethernet path in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Handles the datagrams of one topic; the address is that of the sender.
pub type DatagramHandler = Rc<dyn Fn(&Datagram, IpAddr)>;

/// Sends datagrams and dispatches received ones to the handler of their topic.
pub struct Transport {
    socket: UdpSocket,
    port: u16,
    own: DaemonName,
    incarnation: u64,
    handlers: RefCell<HashMap<Topic, DatagramHandler>>,
    counters: Counters,
}

impl Transport {
    /// Binds the socket to the daemon's own address.
    pub async fn bind(
        ip: IpAddr,
        port: u16,
        own: DaemonName,
        incarnation: u64,
        counters: Counters,
    ) -> Result<Self, KernelError> {
        let address = SocketAddr::new(ip, port);
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|source| KernelError::Bind { address: address.to_string(), source })?;
        let handlers = RefCell::new(HashMap::new());
        Ok(Self { socket, port, own, incarnation, handlers, counters })
    }

    /// Sets the handler for the datagrams of a topic.
    pub fn set_handler(&self, topic: Topic, handler: DatagramHandler) {
        self.handlers.borrow_mut().insert(topic, handler);
    }

    /// Sends one message. It is dropped if the socket buffer is full, just as the network may drop
    /// it.
    pub fn send<M: Serialize>(&self, to: IpAddr, topic: Topic, message: &M) {
        match postcard::to_allocvec(message) {
            Ok(payload) => self.send_payload(to, topic, payload),
            Err(error) => warn!("event=datagram_not_encoded topic={topic:?} error=\"{error}\""),
        }
    }

    fn send_payload(&self, to: IpAddr, topic: Topic, payload: Vec<u8>) {
        let datagram =
            Datagram { from: self.own.clone(), incarnation: self.incarnation, topic, payload };
        let bytes = match postcard::to_allocvec(&datagram) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
            Ok(bytes) => {
                warn!("event=datagram_too_large topic={topic:?} bytes={}", bytes.len());
                return;
            }
            Err(error) => {
                warn!("event=datagram_not_encoded topic={topic:?} error=\"{error}\"");
                return;
            }
        };
        let target = SocketAddr::new(to, self.port);
        if let Err(error) = self.socket.try_send_to(&bytes, target) {
            self.counters.count("datagrams_not_sent");
            debug!("event=datagram_not_sent to={target} error=\"{error}\"");
        }
    }

    /// Receives datagrams until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
        loop {
            if let Err(error) = self.socket.readable().await {
                warn!("event=datagram_socket_failed error=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            }
            loop {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, from)) => self.dispatch(&buffer[..length], from.ip()),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(error) => {
                        debug!("event=datagram_not_received error=\"{error}\"");
                        break;
                    }
                }
            }
        }
    }

    fn dispatch(&self, bytes: &[u8], from: IpAddr) {
        let datagram: Datagram = match postcard::from_bytes(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                self.counters.count("datagrams_malformed");
                debug!("event=datagram_malformed from={from} error=\"{error}\"");
                return;
            }
        };
        let handler = self.handlers.borrow().get(&datagram.topic).cloned();
        if let Some(handler) = handler {
            handler(&datagram, from);
        }
    }
}

/// Decodes a payload, or logs it and returns `None` if it is malformed.
pub fn decode<M: serde::de::DeserializeOwned>(topic: Topic, payload: &[u8]) -> Option<M> {
    match postcard::from_bytes(payload) {
        Ok(message) => Some(message),
        Err(error) => {
            debug!("event=datagram_malformed topic={topic:?} error=\"{error}\"");
            None
        }
    }
}

/// Decodes a message and returns it with the bytes that follow it, which newer builds may append.
pub fn decode_prefix<M: serde::de::DeserializeOwned>(
    topic: Topic,
    payload: &[u8],
) -> Option<(M, &[u8])> {
    match postcard::take_from_bytes(payload) {
        Ok(decoded) => Some(decoded),
        Err(error) => {
            debug!("event=datagram_malformed topic={topic:?} error=\"{error}\"");
            None
        }
    }
}

/// Decodes what follows a message, which older builds neither send nor read; `None` if nothing does.
///
/// An extension that cannot be read is logged and left out.
pub fn decode_extension<E: serde::de::DeserializeOwned>(topic: Topic, rest: &[u8]) -> Option<E> {
    if rest.is_empty() { None } else { decode(topic, rest) }
}

/// Encodes a message for a payload, or logs the failure and returns an empty one.
pub fn encode<M: Serialize>(topic: Topic, message: &M) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_else(|error| {
        warn!("event=datagram_not_encoded topic={topic:?} error=\"{error}\"");
        Vec::new()
    })
}
