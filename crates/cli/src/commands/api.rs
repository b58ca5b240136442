//! Requests to the operator API.

use {
    crate::error::{AnswerSnafu, CliError},
    bytes::Bytes,
    camphorcove_net::operator::{OperatorClient, OperatorRequest, QueryMap},
    serde::{Serialize, de::DeserializeOwned},
    snafu::ResultExt,
};

/// The operator API with typed answers.
#[derive(Clone, Debug)]
pub struct Api {
    client: OperatorClient,
}

impl Api {
    /// API reached through a client.
    pub fn new(client: OperatorClient) -> Self {
        Self { client }
    }

    /// Reads text.
    pub async fn get_text(&self, path: &str, query: QueryMap) -> Result<Bytes, CliError> {
        let request = OperatorRequest {
            method: "GET",
            target: query.target(path),
            body: Bytes::new(),
        };
        Ok(self.client.call(&request).await?)
    }

    /// Reads JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: QueryMap,
    ) -> Result<T, CliError> {
        let body = self.get_text(path, query).await?;
        serde_json::from_slice(&body).context(AnswerSnafu)
    }

    /// Posts a body as it is.
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
        let answer = self.client.call(&request).await?;
        serde_json::from_slice(&answer).context(AnswerSnafu)
    }

    /// Posts JSON.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, CliError> {
        let body = serde_json::to_vec(body).context(AnswerSnafu)?;
        self.post_raw(path, QueryMap::default(), body.into()).await
    }
}
