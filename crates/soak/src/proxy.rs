//! A loopback proxy whose connections can be told to misbehave.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kernel::KernelError;
use kernel::local_server;
use log::debug;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::plan::LinkFault;

/// How often withheld data looks whether it may go on.
const POLL: Duration = Duration::from_millis(10);
/// The bytes that are passed on at once.
const PIECE_BYTES: usize = 16 << 10;

/// A proxy before one server; it ends with the thread's `LocalSet`.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    fault: Cell<LinkFault>,
    connections: RefCell<CancellationToken>,
}

impl Proxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Result<Rc<Self>, KernelError> {
        let listener = local_server::listen(SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0))?;
        let address = listener
            .local_addr()
            .map_err(|source| KernelError::Bind { address: "loopback".to_owned(), source })?;
        let proxy = Rc::new(Self {
            address,
            target,
            fault: Cell::default(),
            connections: RefCell::default(),
        });
        spawn_local(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Lets connections misbehave from now on.
    pub fn set(&self, fault: LinkFault) {
        self.fault.set(fault);
        if fault == LinkFault::Reset {
            self.connections.take().cancel();
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((client, _)) if self.fault.get() == LinkFault::Reset => reset(&client),
                Ok((client, _)) => drop(spawn_local(self.clone().serve(client))),
                Err(error) => {
                    debug!("event=proxy_accept_failed error=\"{error}\"");
                    sleep(POLL).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut client: TcpStream) {
        let ended = self.connections.borrow().clone();
        let mut server = match TcpStream::connect(self.target).await {
            Ok(server) => server,
            Err(error) => {
                debug!("event=proxy_target_away target={} error=\"{error}\"", self.target);
                return reset(&client);
            }
        };
        for stream in [&client, &server] {
            if let Err(error) = stream.set_nodelay(true) {
                debug!("event=proxy_option_refused error=\"{error}\"");
            }
        }
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let there = self.pump(client_reader, server_writer, LinkFault::CutThere);
        let back = self.pump(server_reader, client_writer, LinkFault::CutBack);
        let is_reset = tokio::select! {
            () = async { tokio::join!(there, back); } => false,
            () = ended.cancelled() => true,
        };
        if is_reset {
            reset(&client);
            reset(&server);
        }
    }

    /// Passes data on in one direction; withheld data arrives when the fault is over.
    async fn pump(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, cut: LinkFault) {
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let count = match from.read(&mut piece).await {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            loop {
                match self.fault.get() {
                    fault if fault == cut || fault == LinkFault::Silent => sleep(POLL).await,
                    LinkFault::Delay(ms) => break sleep(Duration::from_millis(ms)).await,
                    _ => break,
                }
            }
            if to.write_all(&piece[..count]).await.is_err() {
                break;
            }
        }
        // The other side sees the end of this direction; a failure says that it has left already.
        if let Err(error) = to.shutdown().await {
            debug!("event=proxy_side_left error=\"{error}\"");
        }
    }
}

/// Lets the end of a connection be a reset.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!("event=proxy_option_refused error=\"{error}\"");
    }
}
