//! Routes that change the log level of this host or confirm lost hosts.

use {
    super::{
        AdminCall, AdminService, OperatorView,
        admin_call::{AdminResult, json_reply, malformed},
        change_routes::author,
        repo_failure::repo_failure,
    },
    camphorcove_core::{audit::AuditAction, ids::Epoch},
    camphorcove_net::{
        config::{Author, append_operator_record},
        operator::{ApiCode, ApiError, ConfirmRequest, LevelRequest},
        platform::ObjectStore,
    },
    log::LevelFilter,
};

impl<S: ObjectStore, V: OperatorView> AdminService<S, V> {
    /// Changes the log level, even if the audit record cannot be written: more logging
    /// is needed most during an outage of the platform.
    pub(super) async fn log_level(&self, call: &AdminCall) -> AdminResult {
        let request: LevelRequest = call.json()?;
        let host = self.context.view.host();
        if request.host != host {
            let text = format!("this is host {host}, not {}", request.host);
            return Err(ApiError::new(ApiCode::WrongHost, text));
        }
        let author = author(call, &request.reason)?;
        let level: LevelFilter = request
            .level
            .parse()
            .map_err(|_| malformed("level: expected off, error, warn, info, debug or trace"))?;
        let before = log::max_level();
        log::set_max_level(level);
        log::warn!(
            "log level changed from {before} to {level} by {}",
            author.actor
        );
        let action = AuditAction::LevelChanged {
            host: host.to_string(),
            before: before.to_string(),
            after: level.to_string(),
        };
        let recorded = append_operator_record(self.context.repo.store(), &author, action).await;
        if let Err(error) = &recorded {
            log::error!("failed to write the audit record of the log level change: {error}");
        }
        json_reply(&serde_json::json!({
            "before": before.to_string(),
            "after": level.to_string(),
            "recorded": recorded.is_ok(),
        }))
    }

    /// Confirms that the hosts of an earlier controller have stopped. The audit record
    /// is written first, because an unrecorded confirmation must not take effect.
    pub(super) async fn confirm_lost(&self, call: &AdminCall) -> AdminResult {
        let request: ConfirmRequest = call.json()?;
        let author = author(call, &request.reason)?;
        let action = AuditAction::LossConfirmed {
            scope: request.service.to_string(),
            epoch: request.epoch,
        };
        let number = append_operator_record(self.context.repo.store(), &author, action)
            .await
            .map_err(repo_failure)?;
        log::warn!(
            "loss of the hosts of scope {} up to epoch {} confirmed by {}",
            request.service,
            request.epoch,
            author.actor
        );
        let epoch = Epoch(request.epoch);
        let accepted = self
            .context
            .view
            .confirm_lost(&request.service, epoch)
            .await;
        if let Err(reason) = accepted {
            return Err(self.record_refusal(&author, number, reason).await);
        }
        json_reply(&serde_json::json!({ "record": number }))
    }

    /// Records that the confirmation in audit record `number` was not accepted, and
    /// returns the error response.
    async fn record_refusal(&self, author: &Author, number: u64, reason: String) -> ApiError {
        let action = AuditAction::Refused {
            reason: format!("record {number}: {reason}"),
        };
        let store = self.context.repo.store();
        if let Err(error) = append_operator_record(store, author, action).await {
            log::error!("failed to write the audit record of the refused confirmation: {error}");
        }
        ApiError::new(ApiCode::LossRefused, reason)
    }
}
