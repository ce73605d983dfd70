//! A caller for tools and tests: asks one replica after the other until one does what is wanted.

use std::net::SocketAddr;
use std::time::Duration;

use flaxdale_fleet::call::{Call, CallError, HttpClient};
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::ErrorBody;

/// A list of thousands fits, a backup too.
const MOST_ANSWER: usize = 64 * 1024 * 1024;
/// Longer than a replica takes to say that it does not know.
const PATIENCE: Duration = Duration::from_secs(6);

/// Why nothing came of a call.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A replica says no: asking another one would not help.
    #[error("{text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason.
        text: String,
    },
    /// No replica can say.
    #[error("no replica did it: {0}")]
    Unavailable(String),
    /// What came back makes no sense.
    #[error("{at}: {source}")]
    Malformed {
        /// Who answered.
        at: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
}

/// Asks a registry.
pub struct Client {
    links: Vec<HttpClient>,
}

impl Client {
    /// One that knows these replicas, by their addresses for clients.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self { links: addresses.iter().map(|at| HttpClient::new(*at)).collect() }
    }

    /// What a path answers.
    pub async fn get<A: DeserializeOwned>(&mut self, path: &str) -> Result<A, ClientError> {
        self.ask(&Call::get(path, PATIENCE, MOST_ANSWER)).await
    }

    /// Asks for something to be done. It may be carried out twice if an answer was lost: what the registry does on being
    /// asked twice is what it does on being asked once.
    pub async fn post<A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, ClientError> {
        let body = serde_json::to_vec(body).map_err(|error| ClientError::Unavailable(error.to_string()))?;
        self.ask(&Call::post(path, body, PATIENCE, MOST_ANSWER)).await
    }

    async fn ask<A: DeserializeOwned>(&mut self, call: &Call) -> Result<A, ClientError> {
        let mut reasons = Vec::new();
        for link in &mut self.links {
            let at = link.address();
            let answer = match link.call(call).await {
                Ok(answer) => answer,
                Err(error @ (CallError::Connect(_) | CallError::Http(_) | CallError::Timeout)) => {
                    reasons.push(format!("{at}: {error}"));
                    continue;
                }
                Err(error) => return Err(ClientError::Unavailable(format!("{at}: {error}"))),
            };
            if answer.status == StatusCode::OK {
                return serde_json::from_slice(&answer.body)
                    .map_err(|source| ClientError::Malformed { at, source });
            }
            let text = ErrorBody::message(&answer.body);
            match answer.status.as_u16() {
                // Another replica may know more.
                503 | 504 => reasons.push(format!("{at}: {text}")),
                status => return Err(ClientError::Refused { status, text }),
            }
        }
        Err(ClientError::Unavailable(reasons.join("; ")))
    }
}
