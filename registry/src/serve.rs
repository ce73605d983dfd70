//! Serves a replica on its client and peer addresses, with limits on connections.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use flaxdale_fleet::watch::INSTANCES_PATH;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_io_timeout::TimeoutWriter;

use crate::http::{clients, peers, watch};
use crate::replica::{Replica, StartError};
use crate::settings::Settings;

/// Size of the accept queue of a listening socket.
const ACCEPT_BACKLOG: u32 = 4096;
/// Time limit for the head of the next request on a connection, which includes idle time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time limit for a blocked write: a connection whose peer does not read is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections from other replicas, more than they need for concurrent calls.
const MAX_PEER_CONNECTIONS: usize = 1024;
/// Size limit of a connection's read and write buffers. Bodies may be larger.
const MAX_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, for instance for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a replica could not be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listen address could not be bound.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error.
        source: io::Error,
    },
    /// The replica could not be started.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// The listen addresses of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// The address for clients and operators.
    pub clients: SocketAddr,
    /// The address for other replicas.
    pub peers: SocketAddr,
}

/// A running replica and its addresses.
pub struct RunningReplica {
    /// The replica.
    pub replica: Arc<Replica>,
    /// The addresses that it listens on.
    pub addresses: ListenAddresses,
}

fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // Allows a restart while connections of the previous process are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    };
    listen().map_err(|source| ServeError::Listen { address, source })
}

/// Binds the listen addresses, starts a replica and serves it until the runtime shuts down. Port 0 selects a free port.
pub async fn serve(mut settings: Settings) -> Result<RunningReplica, ServeError> {
    let (client_listener, peer_listener) = (bind(settings.listen)?, bind(settings.peer_listen)?);
    let bound_address = |listener: &TcpListener, configured| listener.local_addr().unwrap_or(configured);
    let addresses = ListenAddresses {
        clients: bound_address(&client_listener, settings.listen),
        peers: bound_address(&peer_listener, settings.peer_listen),
    };
    (settings.listen, settings.peer_listen) = (addresses.clients, addresses.peers);
    let limit = settings.most_connections;
    let replica = Replica::start(settings).await?;
    let peer_service =
        ConnectionService { router: TowerToHyperService::new(peers(replica.clone())), replica: None };
    tokio::spawn(accept_connections(
        peer_listener,
        peer_service,
        MAX_PEER_CONNECTIONS,
        Arc::default(),
        replica.clone(),
    ));
    let open_connections = replica.connections.clone();
    let router = TowerToHyperService::new(clients(replica.clone()));
    let client_service = ConnectionService { router, replica: Some(replica.clone()) };
    tokio::spawn(accept_connections(
        client_listener,
        client_service,
        limit,
        open_connections,
        replica.clone(),
    ));
    Ok(RunningReplica { replica, addresses })
}

/// Accepts connections in an endless loop. Connections over the limit are closed at once.
async fn accept_connections(
    listener: TcpListener,
    service: ConnectionService,
    limit: usize,
    open_connections: Arc<AtomicUsize>,
    replica: Arc<Replica>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // No file descriptor is left, or the peer has closed the connection.
                tracing::warn!(cause = %error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if open_connections.load(Ordering::Relaxed) >= limit {
            replica.metrics.calls_refused.inc();
            continue;
        }
        let guard = ConnectionGuard::acquire(&open_connections);
        tokio::spawn(serve_connection(stream, service.clone(), replica.clone(), guard));
    }
}

/// Counts an open connection for as long as it exists.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn acquire(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(open_connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The HTTP service of a connection. List requests of clients, thousands of which may be waiting, bypass the router to
/// save memory. All other requests go through it.
#[derive(Clone)]
struct ConnectionService {
    router: TowerToHyperService<Router>,
    /// The replica whose list is served, on the client address only.
    replica: Option<Arc<Replica>>,
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        match &self.replica {
            Some(replica) if request.method() == Method::GET && request.uri().path() == INSTANCES_PATH => {
                let query = request.uri().query().map(str::to_owned);
                let watch = watch(replica.clone(), query);
                Box::pin(async move { Ok(watch.await) })
            }
            _ => Box::pin(self.router.call(request)),
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    service: ConnectionService,
    replica: Arc<Replica>,
    _guard: ConnectionGuard,
) {
    // Some systems refuse the option on a closed connection.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutWriter::new(stream);
    stream.set_timeout(Some(WRITE_TIMEOUT));
    // Thousands of these connections may be open at a time. Boxing the stream keeps the future of each one small.
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(Box::pin(stream)), service)
        .await;
    if let Err(error) = result {
        let cause = std::error::Error::source(&error).and_then(|cause| cause.downcast_ref::<io::Error>());
        if cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut) {
            replica.metrics.peers_too_slow.inc();
        }
        tracing::debug!(cause = %error, "connection closed with an error");
    }
}
