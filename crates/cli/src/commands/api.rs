//! Typed requests to the operator API.

use {
    crate::error::{CliError, JsonSnafu},
    bytes::Bytes,
    camphorcove_net::operator::{OperatorClient, OperatorRequest, QueryMap},
    serde::{Serialize, de::DeserializeOwned},
    snafu::ResultExt,
};

/// Client of the operator API that converts bodies from and to JSON.
#[derive(Clone, Debug)]
pub struct Api {
    client: OperatorClient,
}

impl Api {
    /// Sends requests through `client`, which signs them and tries its hosts in order.
    pub fn new(client: OperatorClient) -> Self {
        Self { client }
    }

    /// Sends a GET request and returns the body of the response.
    pub async fn get_text(&self, path: &str, query: QueryMap) -> Result<Bytes, CliError> {
        let request = OperatorRequest {
            method: "GET",
            target: query.target(path),
            body: Bytes::new(),
        };
        Ok(self.client.call(&request).await?)
    }

    /// Sends a GET request and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: QueryMap,
    ) -> Result<T, CliError> {
        let body = self.get_text(path, query).await?;
        serde_json::from_slice(&body).context(JsonSnafu)
    }

    /// Posts a body unchanged and parses the JSON response.
    pub async fn post_raw<T: DeserializeOwned>(
        &self,
        path: &str,
        query: QueryMap,
        body: Bytes,
    ) -> Result<T, CliError> {
        let request = OperatorRequest {
            method: "POST",
            target: query.target(path),
            body,
        };
        let response = self.client.call(&request).await?;
        serde_json::from_slice(&response).context(JsonSnafu)
    }

    /// Posts a value as JSON and parses the JSON response.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CliError> {
        let body = serde_json::to_vec(body).context(JsonSnafu)?;
        self.post_raw(path, QueryMap::default(), body.into()).await
    }
}
