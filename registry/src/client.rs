//! A registry client for tools and tests, which tries the replicas one after another.

use std::net::SocketAddr;
use std::time::Duration;

use flaxdale_fleet::call::{Call, CallError, HttpClient, Response};
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::wire::{ErrorBody, Listing};

/// Size limit of a response, which may be a backup of the full list.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Longer than a replica takes to report that the outcome of a call is unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The registry rejected the call: another replica would do the same, or has done so.
    #[error("{text}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The error message.
        text: String,
    },
    /// No replica could process the call.
    #[error("no replica could process the call: {0}")]
    Unavailable(String),
    /// A response cannot be decoded.
    #[error("malformed response from {address}: {source}")]
    Malformed {
        /// The address of the replica.
        address: SocketAddr,
        /// The decoding error.
        source: serde_json::Error,
    },
}

fn decode<Resp: DeserializeOwned>(address: SocketAddr, response: &Response) -> Result<Resp, ClientError> {
    serde_json::from_slice(&response.body).map_err(|source| ClientError::Malformed { address, source })
}

/// A client of a registry.
pub struct Client {
    replicas: Vec<HttpClient>,
}

impl Client {
    /// Creates a client of the replicas with these client addresses.
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self { replicas: addresses.iter().map(|address| HttpClient::new(*address)).collect() }
    }

    /// Sends a GET request.
    pub async fn get<Resp: DeserializeOwned>(&mut self, path: &str) -> Result<Resp, ClientError> {
        self.send(&Call::get(path, CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await
    }

    /// Sends a POST request. It may be processed more than once if a response is lost; the calls of the registry are
    /// idempotent.
    pub async fn post<Resp: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Resp, ClientError> {
        let body = serde_json::to_vec(body).map_err(|error| ClientError::Unavailable(error.to_string()))?;
        self.send(&Call::post(path, body, CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await
    }

    /// Returns the list of one replica with the upper bound of its age; `None` if the replica does not know it.
    pub async fn list(&mut self, path: &str) -> Result<(Listing, Option<Duration>), ClientError> {
        let (address, response) = self.exchange(&Call::get(path, CALL_TIMEOUT, MAX_RESPONSE_BYTES)).await?;
        Ok((decode(address, &response)?, response.list_age()))
    }

    async fn send<Resp: DeserializeOwned>(&mut self, call: &Call) -> Result<Resp, ClientError> {
        let (address, response) = self.exchange(call).await?;
        decode(address, &response)
    }

    /// Sends a call to one replica after another until one processes it, and returns its address and response.
    async fn exchange(&mut self, call: &Call) -> Result<(SocketAddr, Response), ClientError> {
        let mut errors = Vec::new();
        let mut rejected_for_storage = None;
        for replica in &mut self.replicas {
            let address = replica.address();
            let response = match replica.call(call).await {
                Ok(response) => response,
                Err(error @ (CallError::Connect(_) | CallError::Http(_) | CallError::Timeout)) => {
                    errors.push(format!("{address}: {error}"));
                    continue;
                }
                Err(error) => return Err(ClientError::Unavailable(format!("{address}: {error}"))),
            };
            if response.status == StatusCode::OK {
                return Ok((address, response));
            }
            let text = ErrorBody::message(&response.body);
            match response.status.as_u16() {
                // Another replica may be able to process it.
                503 | 504 => errors.push(format!("{address}: {text}")),
                // The store of this replica has failed or is full. Another replica may reach a leader.
                507 => {
                    errors.push(format!("{address}: {text}"));
                    rejected_for_storage.get_or_insert(ClientError::Rejected { status: 507, text });
                }
                status => return Err(ClientError::Rejected { status, text }),
            }
        }
        Err(rejected_for_storage.unwrap_or_else(|| ClientError::Unavailable(errors.join("; "))))
    }
}

#[cfg(test)]
mod tests;
