//! Classifies errors of socket system calls, so that a lack of local resources does not count against a peer.

use std::io::Error;

use rustix::io::Errno;

/// Whether this machine is out of descriptors, buffers or memory, so that the same call would fail again at
/// once for any peer.
pub fn is_resource_exhaustion(error: &Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}

/// Whether a connect failed on this machine, before anything was sent to the peer: for lack of resources, of
/// a free local port (`EADDRNOTAVAIL`, `EAGAIN`) or of permission (`EPERM`, `EACCES`), see `connect(2)`.
pub fn is_local(error: &Error) -> bool {
    let local = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::PERM, Errno::ACCESS];
    is_resource_exhaustion(error) || Errno::from_io_error(error).is_some_and(|errno| local.contains(&errno))
}

/// Whether an accept failed because of the one connection it took from the queue, see `accept(2)`. The next
/// accept may succeed at once.
pub fn is_per_connection(error: &Error) -> bool {
    let per_connection = [
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
    Errno::from_io_error(error).is_some_and(|errno| per_connection.contains(&errno))
}

#[cfg(test)]
mod tests;
