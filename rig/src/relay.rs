//! A TCP relay between two processes that injects link faults: cut, delay, throttle and reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxdale_model::world::{LinkEnd, LinkFault, rng_stream};
use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::listener::SwitchableListener;
use crate::shared::Shared;

/// Maximum number of relays in a run; each takes a port, and each connection through it two sockets.
pub const MAX_LINKS: usize = 4096;
/// Maximum bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks buffered in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 64;
/// Interval at which a relay checks whether its link is cut and samples connection resets.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One end of a link and its zone.
pub type ZonedEnd = (LinkEnd, u32);

/// A relay for connections that `from` opens to `to`.
pub struct Relay {
    shared: Arc<Shared>,
    from: ZonedEnd,
    to: ZonedEnd,
    target: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target` and returns its listening address. It runs until the runtime shuts down.
    pub fn start(
        shared: Arc<Shared>,
        from: ZonedEnd,
        to: ZonedEnd,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let listener = SwitchableListener::bind()?;
        let address = listener.address();
        let stream = 60_000 + u64::from(address.port());
        let rng = rng_stream(shared.world.seed, stream);
        tokio::spawn(Arc::new(Self { shared, from, to, target }).run(listener, rng));
        Ok(address)
    }

    /// The active fault in one direction; `forward` is from the side that opens connections.
    fn fault(&self, forward: bool) -> Option<LinkFault> {
        let now = self.shared.clock.now();
        let (from, to) = if forward { (self.from, self.to) } else { (self.to, self.from) };
        self.shared.timeline().link_fault(now, from, to)
    }

    fn is_cut(&self) -> bool {
        // A connection cannot be established if either direction is cut.
        [true, false].iter().any(|forward| self.fault(*forward) == Some(LinkFault::Cut))
    }

    async fn run(self: Arc<Self>, mut listener: SwitchableListener, mut rng: ChaCha12Rng) {
        let mut connections: JoinSet<()> = JoinSet::new();
        let mut cut = false;
        let mut poll = tokio::time::interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                _ = poll.tick() => {
                    let now_cut = self.is_cut();
                    if now_cut != cut {
                        cut = now_cut;
                        // If the listener cannot switch, `copy` still holds back the bytes of a cut link.
                        let _ = if cut { listener.silence().await } else { listener.reopen() };
                    }
                    if let Some(LinkFault::Reset(chance)) = self.fault(true).or_else(|| self.fault(false)) {
                        let chance_per_poll = 1.0 - (1.0 - chance.min(1.0)).powf(POLL_INTERVAL.as_secs_f64());
                        if rng.random::<f64>() < chance_per_poll {
                            connections.abort_all();
                        }
                    }
                }
                accepted = listener.accept() => {
                    let Ok(stream) = accepted else { continue };
                    connections.spawn(self.clone().relay_connection(stream));
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    }

    async fn relay_connection(self: Arc<Self>, inbound: TcpStream) {
        let Ok(outbound) = TcpStream::connect(self.target).await else { return };
        let _ = inbound.set_nodelay(true).and(outbound.set_nodelay(true));
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        // Closes both connections as soon as one direction has ended.
        tokio::select! {
            () = self.clone().copy(inbound_read, outbound_write, true) => {}
            () = self.clone().copy(outbound_read, inbound_write, false) => {}
        }
    }

    async fn copy(self: Arc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, forward: bool) {
        let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
        let read_chunks = async {
            let mut chunk = vec![0; CHUNK_BYTES];
            while let Ok(count @ 1..) = from.read(&mut chunk).await {
                let mut deliver_at = Instant::now();
                match self.fault(forward) {
                    Some(LinkFault::Delay(delay)) => deliver_at += Duration::from_nanos(delay),
                    Some(LinkFault::Throttle(rate)) => {
                        sleep(Duration::from_secs_f64(count as f64 / rate.max(1.0))).await;
                    }
                    _ => {}
                }
                if sender.send((deliver_at, chunk[..count].to_vec())).await.is_err() {
                    return;
                }
            }
            drop(sender);
        };
        let write_chunks = async {
            while let Some((deliver_at, chunk)) = receiver.recv().await {
                sleep_until(deliver_at).await;
                while self.fault(forward) == Some(LinkFault::Cut) {
                    sleep(POLL_INTERVAL).await;
                }
                if to.write_all(&chunk).await.is_err() {
                    return;
                }
            }
            let _ = to.shutdown().await;
        };
        tokio::join!(read_chunks, write_chunks);
    }
}
