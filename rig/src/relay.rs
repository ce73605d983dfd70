//! A link of the rig's own between two processes, which can be cut, delayed, throttled or reset while they talk.

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

use crate::listener::Door;
use crate::shared::Shared;

/// Links that a run may have at most: each holds a port and, while it is used, some descriptors.
pub const MAX_LINKS: usize = 4096;
/// Bytes taken from a connection at a time, and pieces that may be on their way in one direction.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 64;
/// How often a link looks whether it is cut, and draws whether it is reset.
const LOOK: Duration = Duration::from_millis(10);

/// A party and its zone.
pub type ZonedEnd = (LinkEnd, u32);

/// One link, from whoever opens the connections to whoever takes them.
pub struct Relay {
    shared: Arc<Shared>,
    from: ZonedEnd,
    to: ZonedEnd,
    target: SocketAddr,
}

impl Relay {
    /// Opens a link and tells where it listens; it ends with the runtime.
    pub fn start(
        shared: Arc<Shared>,
        from: ZonedEnd,
        to: ZonedEnd,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let door = Door::open()?;
        let at = door.at();
        let number = 60_000 + u64::from(at.port());
        let luck = rng_stream(shared.world.seed, number);
        tokio::spawn(Arc::new(Self { shared, from, to, target }).run(door, luck));
        Ok(at)
    }

    /// What goes one way: out is from the opener to the taker.
    fn trouble(&self, out: bool) -> Option<LinkFault> {
        let now = self.shared.clock.now();
        let (from, to) = if out { (self.from, self.to) } else { (self.to, self.from) };
        self.shared.timeline().link_fault(now, from, to)
    }

    fn is_cut(&self) -> bool {
        // Without the way back no connection comes up either.
        [true, false].iter().any(|out| self.trouble(*out) == Some(LinkFault::Cut))
    }

    async fn run(self: Arc<Self>, mut door: Door, mut luck: ChaCha12Rng) {
        let mut open: JoinSet<()> = JoinSet::new();
        let mut cut = false;
        let mut look = tokio::time::interval(LOOK);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                _ = look.tick() => {
                    let now_cut = self.is_cut();
                    if now_cut != cut {
                        cut = now_cut;
                        // A listener that can't change its ways goes on; what passes is held all the same.
                        let _ = if cut { door.silence().await } else { door.reopen() };
                    }
                    if let Some(LinkFault::Reset(chance)) = self.trouble(true).or_else(|| self.trouble(false)) {
                        let each = 1.0 - (1.0 - chance.min(1.0)).powf(LOOK.as_secs_f64());
                        if luck.random::<f64>() < each {
                            open.abort_all();
                        }
                    }
                }
                accepted = door.accept() => {
                    let Ok(stream) = accepted else { continue };
                    open.spawn(self.clone().carry(stream));
                }
                Some(_) = open.join_next(), if !open.is_empty() => {}
            }
        }
    }

    async fn carry(self: Arc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else { return };
        let _ = near.set_nodelay(true).and(far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        // One side's end ends the other, as on a plain connection.
        tokio::select! {
            () = self.clone().pass(near_read, far_write, true) => {}
            () = self.clone().pass(far_read, near_write, false) => {}
        }
    }

    async fn pass(self: Arc<Self>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, out: bool) {
        let (send, mut receive) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
        let reading = async {
            let mut piece = vec![0; PIECE];
            while let Ok(count @ 1..) = from.read(&mut piece).await {
                let mut due = Instant::now();
                match self.trouble(out) {
                    Some(LinkFault::Delay(more)) => due += Duration::from_nanos(more),
                    Some(LinkFault::Throttle(rate)) => {
                        sleep(Duration::from_secs_f64(count as f64 / rate.max(1.0))).await;
                    }
                    _ => {}
                }
                if send.send((due, piece[..count].to_vec())).await.is_err() {
                    return;
                }
            }
            drop(send);
        };
        let writing = async {
            while let Some((due, piece)) = receive.recv().await {
                sleep_until(due).await;
                while self.trouble(out) == Some(LinkFault::Cut) {
                    sleep(LOOK).await;
                }
                if to.write_all(&piece).await.is_err() {
                    return;
                }
            }
            let _ = to.shutdown().await;
        };
        tokio::join!(reading, writing);
    }
}
