//! The operator API: request signatures, result codes, message types and a client.
//!
//! A request is signed with HMAC-SHA256 under a named key. The signature covers the
//! method, the path with query, the key id, the wall-clock time, a nonce and the hash
//! of the body. It is checked before the body is read.

mod api;
mod api_code;
mod key_ring;
mod operator_authenticator;
mod operator_client;
mod query_map;
mod refusal_reason;
mod request_signature;

pub use {
    api::{
        ApiError, ApplyReport, CheckReport, ConfirmRequest, DiffReport, ExplainReport,
        ExplainRequest, HostStatus, LevelRequest, MoveStatus, OrderRequest, OwnerReport,
        RoleStatus, RollbackRequest, ServerLoad, ServerStatus, ServiceStatus, StatusReport,
        VerifyReport,
    },
    api_code::ApiCode,
    key_ring::{KeyRing, KeyRingError, OperatorKey, OperatorSecret},
    operator_authenticator::{AuthenticatorLimits, OperatorAuthenticator},
    operator_client::{ClientError, OperatorClient, OperatorRequest},
    query_map::QueryMap,
    refusal_reason::RefusalReason,
    request_signature::{
        BODY_HEADER, KEY_HEADER, NONCE_HEADER, RequestLine, RequestSignature, SIGNATURE_HEADER,
        TIME_HEADER, body_hash,
    },
};
