//! Whose fault an error of a system call is: this machine's, the path's or the peer's. What is judged by an error
//! asks here, so that a shortage of our own is not held against a peer.

use std::io::Error;

use rustix::io::Errno;

/// Whether this machine ran short of descriptors, buffers or memory: the same call fails again at once, whoever the
/// peer is.
pub fn is_shortage(error: &Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a connect failed before anything was sent to its peer, for want of something of this machine's own:
/// beside a shortage, no free local port (`connect(2)`: `EADDRNOTAVAIL`, `EAGAIN`) or no leave to send (`EPERM`,
/// `EACCES`).
pub fn is_local(error: &Error) -> bool {
    let own = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::PERM, Errno::ACCESS];
    is_shortage(error) || Errno::from_io_error(error).is_some_and(|errno| own.contains(&errno))
}

/// Whether an accept failed for the one connection that it took from the queue, which `accept(2)` says to pass over:
/// others wait behind it.
pub fn is_per_connection(error: &Error) -> bool {
    let one = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
        Errno::PERM,
        Errno::TIMEDOUT,
    ];
    Errno::from_io_error(error).is_some_and(|errno| one.contains(&errno))
}

#[cfg(test)]
mod tests;
