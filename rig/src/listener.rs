//! A listening socket for fault injection. It can leave connection attempts unanswered, as an unreachable host does, or
//! refuse them, as a host without the process does, and keeps its port reserved in both cases.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use rustix::net::Shutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const ACCEPT_BACKLOG: i32 = 1024;
/// Maximum number of connections opened to fill the accept queue of a silent listener.
const QUEUE_FILLERS: usize = 3;
/// Another process may take a free port between the call that finds it and the call that binds it.
const MAX_BIND_TRIES: usize = 100;

/// A listener on a loopback port that stays reserved until the listener is dropped.
pub struct SwitchableListener {
    address: SocketAddr,
    /// `None` if it could not be registered with the runtime again; no more connections are accepted then.
    listener: Option<TcpListener>,
    state: State,
    /// Connections that keep the accept queue full while the listener is silent.
    queue_fillers: Vec<TcpStream>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Accepting,
    /// The accept queue is full, so new connections are never established.
    Silent,
    /// The port is bound without listening, so new connections are refused.
    Refusing,
}

/// Binds a socket to a free port by its number. The kernel may give a port that was bound as 0 to other sockets while
/// it is not listening.
fn bind_reserved<T>(configure: impl Fn(TcpSocket) -> io::Result<T>) -> io::Result<T> {
    let mut last_error = None;
    for _ in 0..MAX_BIND_TRIES {
        let probe = TcpSocket::new_v4()?;
        probe.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = probe.local_addr()?;
        drop(probe);
        let socket = TcpSocket::new_v4()?;
        // Lets another socket listen on the same port, also while old connections are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| configure(socket)) {
            Ok(configured) => return Ok(configured),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

/// A loopback port reserved for a process that will bind it by number; the system gives it to no other socket.
pub struct ReservedPort(TcpSocket);

impl ReservedPort {
    /// Reserves a free port.
    pub fn reserve() -> io::Result<Self> {
        bind_reserved(|socket| Ok(Self(socket)))
    }

    /// The address to bind.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl SwitchableListener {
    /// Listens on a free loopback port.
    pub fn bind() -> io::Result<Self> {
        let listener = bind_reserved(|socket| socket.listen(ACCEPT_BACKLOG as u32))?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            state: State::Accepting,
            queue_fillers: Vec::new(),
        })
    }

    /// Reserves a port that refuses connections until [`Self::reopen`].
    pub fn bind_refusing() -> io::Result<Self> {
        let mut listener = Self::bind()?;
        listener.refuse()?;
        Ok(listener)
    }

    /// The local address; it is the same in every state.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the next connection; pending while the listener is silent or refuses.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        match self.listener.as_ref().filter(|_| self.state == State::Accepting) {
            Some(listener) => Ok(listener.accept().await?.0),
            None => std::future::pending().await,
        }
    }

    /// Accepts connections again.
    pub fn reopen(&mut self) -> io::Result<()> {
        self.queue_fillers.clear();
        let Some(listener) = self.listener.take() else { return Err(io::ErrorKind::NotConnected.into()) };
        let listener = listener.into_std()?;
        rustix::net::listen(&listener, ACCEPT_BACKLOG)?;
        // The runtime keeps the readiness of a socket that was shut down and would poll it in a busy loop, so the
        // socket is registered anew.
        self.listener = Some(TcpListener::from_std(listener)?);
        self.state = State::Accepting;
        Ok(())
    }

    /// Refuses new connections.
    pub fn refuse(&mut self) -> io::Result<()> {
        if self.state != State::Refusing {
            self.state = State::Refusing;
            self.queue_fillers.clear();
            // Stops listening without releasing the port.
            if let Some(listener) = &self.listener {
                rustix::net::shutdown(listener, Shutdown::Read)?;
            }
        }
        Ok(())
    }

    /// Leaves new connections unanswered by filling the accept queue.
    pub async fn silence(&mut self) -> io::Result<()> {
        let Some(listener) = &self.listener else { return Err(io::ErrorKind::NotConnected.into()) };
        rustix::net::listen(listener, 0)?;
        self.state = State::Silent;
        for _ in 0..QUEUE_FILLERS {
            let connect_timeout = std::time::Duration::from_millis(5);
            match tokio::time::timeout(connect_timeout, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => self.queue_fillers.push(stream),
                // The accept queue is full.
                Ok(Err(_)) | Err(_) => break,
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
