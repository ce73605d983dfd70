//! A listening socket that can fall silent, as a machine that has vanished: connections to it never come up. And one
//! that refuses, as a machine whose process has ended: its port stays taken meanwhile.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::net::{TcpListener, TcpSocket, TcpStream};

const BACKLOG: u32 = 1024;
/// Connections that fill the queue of a listener that takes none.
const FILLERS: usize = 3;

/// A listener on a loopback port.
pub struct Door {
    at: SocketAddr,
    state: State,
}

enum State {
    Open(TcpListener),
    /// The queue is full of connections that nobody will take.
    Silent(TcpListener, Vec<TcpStream>),
    /// The port is held, and nobody listens.
    Shut(TcpSocket),
    /// Between two states, or lost to somebody else.
    Lost,
}

fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Door {
    /// A listener on a port that nobody else has.
    pub fn open() -> io::Result<Self> {
        let listener = socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?.listen(BACKLOG)?;
        Ok(Self { at: listener.local_addr()?, state: State::Open(listener) })
    }

    /// A port that is held, at which nobody listens yet.
    pub fn shut_from_the_start() -> io::Result<Self> {
        let socket = socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        Ok(Self { at: socket.local_addr()?, state: State::Shut(socket) })
    }

    /// Its address, which never changes.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// The next connection; waits for ever while none can come.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        match &self.state {
            State::Open(listener) => Ok(listener.accept().await?.0),
            _ => std::future::pending().await,
        }
    }

    /// From now on connections come up again.
    pub fn reopen(&mut self) -> io::Result<()> {
        self.state = match std::mem::replace(&mut self.state, State::Lost) {
            State::Open(listener) => State::Open(listener),
            State::Silent(listener, fillers) => {
                drop(fillers);
                rustix::net::listen(&listener, BACKLOG as i32)?;
                State::Open(listener)
            }
            State::Shut(socket) => State::Open(socket.listen(BACKLOG)?),
            State::Lost => State::Open(socket(self.at)?.listen(BACKLOG)?),
        };
        Ok(())
    }

    /// From now on connections are refused.
    pub fn shut(&mut self) -> io::Result<()> {
        if !matches!(self.state, State::Shut(_)) {
            // The listener goes first, or its port could not be held by another socket.
            self.state = State::Lost;
            self.state = State::Shut(socket(self.at)?);
        }
        Ok(())
    }

    /// From now on connections never come up.
    pub async fn silence(&mut self) -> io::Result<()> {
        self.reopen()?;
        let State::Open(listener) = std::mem::replace(&mut self.state, State::Lost) else { return Ok(()) };
        rustix::net::listen(&listener, 0)?;
        let mut fillers = Vec::new();
        for _ in 0..FILLERS {
            let soon = std::time::Duration::from_millis(5);
            match tokio::time::timeout(soon, TcpStream::connect(self.at)).await {
                Ok(Ok(stream)) => fillers.push(stream),
                // Its queue is full: that is what was wanted.
                Ok(Err(_)) | Err(_) => break,
            }
        }
        self.state = State::Silent(listener, fillers);
        Ok(())
    }
}
