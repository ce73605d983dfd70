//! A replica as a process: its doors, with bounds on who comes through them, and its end.

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

/// Connections that the system may hold before they are taken.
const BACKLOG: u32 = 4096;
/// A connection that stands idle for this long is closed, and one whose next call takes as long to come.
const IDLE: Duration = Duration::from_secs(75);
/// A peer that reads nothing for this long is hung up on.
const READS: Duration = Duration::from_secs(5);
/// Connections of the other replicas: more than all of them have calls on their way.
const MOST_PEERS: usize = 1024;
/// Bytes that a connection buffers at most; bodies pass through.
const BUFFER: usize = 8 * 1024;
/// A door whose system gives no connection waits this long.
const NO_DESCRIPTOR: Duration = Duration::from_millis(50);

/// Why a replica can't serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A door can't be opened.
    #[error("can't listen at {at}: {source}")]
    Listen {
        /// Where.
        at: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The replica can't start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Where a replica's two doors are.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// For clients.
    pub clients: SocketAddr,
    /// For the other replicas.
    pub peers: SocketAddr,
}

/// A replica that serves.
pub struct RunningReplica {
    /// It.
    pub replica: Arc<Replica>,
    /// Where it listens.
    pub addresses: ListenAddresses,
}

fn open(at: SocketAddr) -> Result<TcpListener, ServeError> {
    let listen = || {
        let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        // A restart must not wait for the last life's connections to leave the system's tables.
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| ServeError::Listen { at, source })
}

/// Opens the doors and starts a replica behind them; its tasks end with the runtime. A port of 0 takes a free one.
pub async fn serve(mut settings: Settings) -> Result<RunningReplica, ServeError> {
    let (for_clients, for_peers) = (open(settings.listen)?, open(settings.peer_listen)?);
    let at = |listener: &TcpListener, wanted| listener.local_addr().unwrap_or(wanted);
    let addresses = ListenAddresses {
        clients: at(&for_clients, settings.listen),
        peers: at(&for_peers, settings.peer_listen),
    };
    (settings.listen, settings.peer_listen) = (addresses.clients, addresses.peers);
    let most = settings.most_connections;
    let replica = Replica::start(settings).await?;
    let at_peers = Doorway { router: TowerToHyperService::new(peers(replica.clone())), watched: None };
    tokio::spawn(take(for_peers, at_peers, MOST_PEERS, Arc::default(), replica.clone()));
    let connections = replica.connections.clone();
    let router = TowerToHyperService::new(clients(replica.clone()));
    let at_clients = Doorway { router, watched: Some(replica.clone()) };
    tokio::spawn(take(for_clients, at_clients, most, connections, replica.clone()));
    Ok(RunningReplica { replica, addresses })
}

/// Takes connections, as many at a time as there may be; one too many is closed at once. Never ends.
async fn take(
    listener: TcpListener,
    doorway: Doorway,
    most: usize,
    open: Arc<AtomicUsize>,
    replica: Arc<Replica>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // No descriptor is left, or the peer went at once.
                tracing::warn!(cause = %error, "no connection taken");
                tokio::time::sleep(NO_DESCRIPTOR).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= most {
            replica.metrics.calls_refused.inc();
            continue;
        }
        let counted = Open::one(&open);
        tokio::spawn(converse(stream, doorway.clone(), replica.clone(), counted));
    }
}

/// Counts an open connection.
struct Open(Arc<AtomicUsize>);

impl Open {
    fn one(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What stands behind a connection: a client's watches, which wait by the thousand, go straight to their handler; all else by
/// the router, whose way holds more memory while a call waits.
#[derive(Clone)]
struct Doorway {
    router: TowerToHyperService<Router>,
    /// Whose list is watched at this door, if any is.
    watched: Option<Arc<Replica>>,
}

impl Service<Request<Incoming>> for Doorway {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        match &self.watched {
            Some(replica) if request.method() == Method::GET && request.uri().path() == INSTANCES_PATH => {
                let query = request.uri().query().map(str::to_owned);
                let watch = watch(replica.clone(), query);
                Box::pin(async move { Ok(watch.await) })
            }
            _ => Box::pin(self.router.call(request)),
        }
    }
}

async fn converse(stream: TcpStream, doorway: Doorway, replica: Arc<Replica>, _counted: Open) {
    // Some systems refuse the option on a connection that has just gone.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutWriter::new(stream);
    stream.set_timeout(Some(READS));
    // Ten thousand of these wait at a time: nothing is held twice, and each lies in one piece of its own size.
    let done = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(BUFFER)
        .serve_connection(TokioIo::new(Box::pin(stream)), doorway)
        .await;
    if let Err(error) = done {
        let cause = std::error::Error::source(&error).and_then(|cause| cause.downcast_ref::<io::Error>());
        if cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut) {
            replica.metrics.peers_too_slow.inc();
        }
        tracing::debug!(cause = %error, "the connection broke");
    }
}
