//! A loopback proxy that injects faults into its connections.

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

/// The interval between two checks of whether withheld data may be forwarded.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A proxy in front of one server; its tasks end with the `LocalSet` of the thread.
pub struct Proxy {
    /// The address at which it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    fault: Cell<LinkFault>,
    connections: RefCell<CancellationToken>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
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

    /// Sets the fault of all connections from now on.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.set(fault);
        if fault == LinkFault::Reset {
            self.connections.take().cancel();
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((client, _)) if self.fault.get() == LinkFault::Reset => reset_on_close(&client),
                Ok((client, _)) => drop(spawn_local(self.clone().serve(client))),
                Err(error) => {
                    debug!("event=proxy_accept_failed error=\"{error}\"");
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut client: TcpStream) {
        let reset_signal = self.connections.borrow().clone();
        let mut server = match TcpStream::connect(self.target).await {
            Ok(server) => server,
            Err(error) => {
                debug!("event=proxy_connect_failed target={} error=\"{error}\"", self.target);
                return reset_on_close(&client);
            }
        };
        for stream in [&client, &server] {
            if let Err(error) = stream.set_nodelay(true) {
                debug!("event=proxy_socket_option_failed error=\"{error}\"");
            }
        }
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let to_server = self.forward(client_reader, server_writer, LinkFault::CutThere);
        let to_client = self.forward(server_reader, client_writer, LinkFault::CutBack);
        let is_reset = tokio::select! {
            () = async { tokio::join!(to_server, to_client); } => false,
            () = reset_signal.cancelled() => true,
        };
        if is_reset {
            reset_on_close(&client);
            reset_on_close(&server);
        }
    }

    /// Forwards data in one direction; withheld data is delivered when the fault is over.
    async fn forward(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, withheld_by: LinkFault) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = match from.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            loop {
                match self.fault.get() {
                    fault if fault == withheld_by || fault == LinkFault::Silent => {
                        sleep(POLL_INTERVAL).await
                    }
                    LinkFault::Delay(ms) => break sleep(Duration::from_millis(ms)).await,
                    _ => break,
                }
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
        // Tells the receiver that this direction has ended; this fails if it has already closed the
        // connection.
        if let Err(error) = to.shutdown().await {
            debug!("event=proxy_shutdown_failed error=\"{error}\"");
        }
    }
}

/// Makes closing a connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!("event=proxy_socket_option_failed error=\"{error}\"");
    }
}
