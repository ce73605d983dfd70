//! A listening socket that can fall silent, as a machine that has vanished: connections to it never come up. And one
//! that refuses, as a machine whose process has ended: its port stays taken meanwhile.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use rustix::net::Shutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const BACKLOG: i32 = 1024;
/// Connections that fill the queue of a listener that takes none.
const FILLERS: usize = 3;
/// Ports that are tried until one is had: another program may take one in the moment between two calls.
const TRIES: usize = 100;

/// A listener on a loopback port, which it holds for as long as it lives.
pub struct Door {
    at: SocketAddr,
    /// None if the system took it away; then nothing comes any more.
    listener: Option<TcpListener>,
    state: State,
    /// What fills the queue while it is silent.
    fillers: Vec<TcpStream>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    /// The queue is full of connections that nobody will take.
    Silent,
    /// The port is held, and nobody listens.
    Shut,
}

/// A socket whose port was asked for by its number: only such a one is held while nobody listens.
fn held<T>(then: impl Fn(TcpSocket) -> io::Result<T>) -> io::Result<T> {
    let mut last = None;
    for _ in 0..TRIES {
        let free = TcpSocket::new_v4()?;
        free.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let at = free.local_addr()?;
        drop(free);
        let socket = TcpSocket::new_v4()?;
        // Or nobody could listen beside it, nor beside connections from before.
        socket.set_reuseaddr(true)?;
        match socket.bind(at).and_then(|()| then(socket)) {
            Ok(had) => return Ok(had),
            Err(error) => last = Some(error),
        }
    }
    Err(last.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

/// A port held for a process that will listen there by its number, and meanwhile nobody else is given it.
pub struct ReservedPort(TcpSocket);

impl ReservedPort {
    /// A port that nobody has.
    pub fn reserve() -> io::Result<Self> {
        held(|socket| Ok(Self(socket)))
    }

    /// Its address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Door {
    /// A listener on a port that nobody else has.
    pub fn open() -> io::Result<Self> {
        let listener = held(|socket| socket.listen(BACKLOG as u32))?;
        Ok(Self {
            at: listener.local_addr()?,
            listener: Some(listener),
            state: State::Open,
            fillers: Vec::new(),
        })
    }

    /// A port that is held, at which nobody listens yet.
    pub fn shut_from_the_start() -> io::Result<Self> {
        let mut door = Self::open()?;
        door.shut()?;
        Ok(door)
    }

    /// Its address, which never changes.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// The next connection; waits for ever while none can come.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        match self.listener.as_ref().filter(|_| self.state == State::Open) {
            Some(listener) => Ok(listener.accept().await?.0),
            None => std::future::pending().await,
        }
    }

    /// From now on connections come up again.
    pub fn reopen(&mut self) -> io::Result<()> {
        self.fillers.clear();
        let Some(listener) = self.listener.take() else { return Err(io::ErrorKind::NotConnected.into()) };
        let listener = listener.into_std()?;
        rustix::net::listen(&listener, BACKLOG)?;
        // The runtime remembers for ever that a socket was shut, and would try it again and again: it gets it as a
        // new one.
        self.listener = Some(TcpListener::from_std(listener)?);
        self.state = State::Open;
        Ok(())
    }

    /// From now on connections are refused.
    pub fn shut(&mut self) -> io::Result<()> {
        if self.state != State::Shut {
            self.state = State::Shut;
            self.fillers.clear();
            // Ends the listening and keeps the port.
            if let Some(listener) = &self.listener {
                rustix::net::shutdown(listener, Shutdown::Read)?;
            }
        }
        Ok(())
    }

    /// From now on connections never come up.
    pub async fn silence(&mut self) -> io::Result<()> {
        let Some(listener) = &self.listener else { return Err(io::ErrorKind::NotConnected.into()) };
        rustix::net::listen(listener, 0)?;
        self.state = State::Silent;
        for _ in 0..FILLERS {
            let soon = std::time::Duration::from_millis(5);
            match tokio::time::timeout(soon, TcpStream::connect(self.at)).await {
                Ok(Ok(stream)) => self.fillers.push(stream),
                // Its queue is full: that is what was wanted.
                Ok(Err(_)) | Err(_) => break,
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
