//! Requests of operators: signatures, result codes and message types.
//!
//! A request is signed with HMAC-SHA256 by a named key over its method, path,
//! wall time, nonce and the hash of its body. The signature is checked before
//! the body is read.

mod api;
mod api_code;
mod key_ring;
mod operator_authenticator;
mod operator_client;
mod query_map;
mod refusal_reason;
mod signed_head;

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
    signed_head::{
        BODY_HEADER, KEY_HEADER, NONCE_HEADER, RequestLine, SIGNATURE_HEADER, SignedHead,
        TIME_HEADER, body_hash,
    },
};
