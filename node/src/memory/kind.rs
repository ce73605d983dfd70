//! What bytes are held for, and up to which share of the budget each kind may fill it.

/// What bytes are held for. In the order in which they give way: when memory is short, nothing is read ahead first, then no
/// large head or body is admitted, then no connection, then no request; responses and the connections that bring them
/// come last, as their requests may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Input read ahead of the parser.
    ReadAhead,
    /// The part of a head beyond the parser's first block.
    LargeHead,
    /// A request's body.
    RequestBody,
    /// A client's connection.
    ClientConnection,
    /// The first block of a head.
    HeadStart,
    /// A request that is being handled, with its fields.
    Request,
    /// A backend's response body, until its client has read it.
    Response,
    /// A connection to a backend.
    BackendConnection,
    /// The list of backends.
    BackendList,
}

/// The ceilings of all kinds are in parts of the budget.
const PARTS: usize = 16;

impl Kind {
    /// Every kind, the first to give way first.
    pub const ALL: [Self; 9] = [
        Self::ReadAhead,
        Self::LargeHead,
        Self::RequestBody,
        Self::ClientConnection,
        Self::HeadStart,
        Self::Request,
        Self::Response,
        Self::BackendConnection,
        Self::BackendList,
    ];

    /// How full the budget may be after bytes of this kind were granted.
    pub fn ceiling(self, capacity: usize) -> usize {
        let parts = match self {
            Self::ReadAhead => 9,
            Self::LargeHead => 11,
            Self::RequestBody | Self::ClientConnection => 12,
            Self::HeadStart => 13,
            Self::Request => 14,
            Self::Response => 15,
            Self::BackendConnection | Self::BackendList => PARTS,
        };
        // Divides first, so that an unlimited capacity does not overflow.
        capacity / PARTS * parts
    }

    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadAhead => "read_ahead",
            Self::LargeHead => "large_heads",
            Self::RequestBody => "request_bodies",
            Self::ClientConnection => "client_connections",
            Self::HeadStart => "heads",
            Self::Request => "requests",
            Self::Response => "responses",
            Self::BackendConnection => "backend_connections",
            Self::BackendList => "backend_list",
        }
    }

    pub(super) fn index(self) -> usize {
        self as usize
    }
}
