//! What bytes are held for, and up to which share of the budget each kind may fill it.

/// What bytes are held for, in the order in which they give way. It follows a request on its way, so that what is further on
/// its way always has room left by what is not, and ends: when memory is short, first nothing is read ahead, then no large
/// head or body is admitted, then no connection, then no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Input read ahead of the parser.
    ReadAhead,
    /// The part of a head beyond what each connection has room for.
    LargeHead,
    /// A request's body.
    RequestBody,
    /// A client's connection.
    ClientConnection,
    /// A request that is being handled, with its fields.
    Request,
    /// A connection to a backend.
    BackendConnection,
    /// A backend's large response body, until its client has read it.
    LargeResponse,
    /// A backend's small response body, until its client has read it.
    SmallResponse,
    /// The list of backends.
    BackendList,
}

/// The ceilings of all kinds are in parts of the budget.
const PARTS: usize = 32;

impl Kind {
    /// Every kind, the first to give way first.
    pub const ALL: [Self; 9] = [
        Self::ReadAhead,
        Self::LargeHead,
        Self::RequestBody,
        Self::ClientConnection,
        Self::Request,
        Self::BackendConnection,
        Self::LargeResponse,
        Self::SmallResponse,
        Self::BackendList,
    ];

    /// How full the budget may be after bytes of this kind were granted.
    pub fn ceiling(self, capacity: usize) -> usize {
        let parts = match self {
            Self::ReadAhead => 16,
            Self::LargeHead => 20,
            Self::RequestBody => 23,
            Self::ClientConnection => 24,
            Self::Request => 27,
            Self::BackendConnection => 28,
            Self::LargeResponse => 30,
            Self::SmallResponse | Self::BackendList => PARTS,
        };
        // Divides first, so that an unlimited capacity does not overflow.
        capacity / PARTS * parts
    }

    /// How much may be held of this kind alone. Connections leave room for the heads and bodies that come on them, and large
    /// responses that nobody reads for small requests.
    pub fn own_limit(self, capacity: usize) -> usize {
        match self {
            Self::ClientConnection => capacity / PARTS * 20,
            Self::LargeResponse => capacity / PARTS * 6,
            _ => capacity,
        }
    }

    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadAhead => "read_ahead",
            Self::LargeHead => "large_heads",
            Self::RequestBody => "request_bodies",
            Self::ClientConnection => "client_connections",
            Self::Request => "requests",
            Self::LargeResponse => "large_responses",
            Self::SmallResponse => "small_responses",
            Self::BackendConnection => "backend_connections",
            Self::BackendList => "backend_list",
        }
    }

    pub(super) fn index(self) -> usize {
        self as usize
    }
}
