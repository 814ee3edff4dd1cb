//! Control orders to an engine: the models that it serves and its role, guarded by a fencing token.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::json;
use web::Response;

use super::EngineSettings;

/// Command of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum Command {
    /// Load a model, an adapter or a version of one.
    Load(String),
    /// Unload a model, an adapter or a version of one.
    Unload(String),
    /// Change role: `both`, `prefill` or `decode`.
    Role(String),
}

/// A command with the fencing token of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    fencing_token: u64,
    command: Command,
}

/// Work that remains for the engine after an order was applied.
#[derive(Debug)]
pub(super) enum OrderEffect {
    /// None; the response is final.
    Done(Response),
    /// Load the weights of a model.
    Load(String),
}

/// Accepted orders, and the models and role that result from them.
#[derive(Debug)]
pub(super) struct OrderState {
    checks_fencing: bool,
    highest_token: u64,
    serves_all_models: bool,
    models: BTreeSet<String>,
    loading: BTreeSet<String>,
    role: String,
    accepted: Vec<Order>,
    accepted_stale: u32,
}

impl OrderState {
    pub(super) fn new(settings: &EngineSettings) -> OrderState {
        OrderState {
            checks_fencing: settings.checks_fencing,
            highest_token: 0,
            serves_all_models: settings.models.is_empty(),
            loading: BTreeSet::new(),
            models: settings.models.iter().cloned().collect(),
            role: "both".to_owned(),
            accepted: Vec::new(),
            accepted_stale: 0,
        }
    }

    /// Applies an order. One with an old fencing token is rejected if the engine checks tokens.
    pub(super) fn apply(&mut self, order: Order) -> OrderEffect {
        let stale = order.fencing_token < self.highest_token;
        if stale && self.checks_fencing {
            let body = json!({ "message": "stale", "highest_token": self.highest_token });
            return OrderEffect::Done(Response::json(409, &body));
        }
        self.accepted_stale += u32::from(stale);
        self.highest_token = self.highest_token.max(order.fencing_token);
        self.accepted.push(order.clone());
        match order.command {
            Command::Load(model) => {
                self.loading.insert(model.clone());
                return OrderEffect::Load(model);
            }
            Command::Unload(model) => {
                self.serves_all_models = false;
                self.models.remove(&model);
            }
            Command::Role(role) => self.role = role,
        }
        OrderEffect::Done(Response::json(200, &json!({})))
    }

    /// Records that the weights of a model are loaded, so that it is served.
    pub(super) fn mark_loaded(&mut self, model: &str) {
        if self.loading.remove(model) {
            self.models.insert(model.to_owned());
        }
    }

    /// Returns whether requests for a model can be served.
    pub(super) fn serves_model(&self, model: &str) -> bool {
        self.serves_all_models || self.models.contains(model)
    }

    /// Reports the accepted orders and the state in effect.
    pub(super) fn report_state(&self) -> Response {
        Response::json(
            200,
            &json!({ "models": self.models, "loading": self.loading, "role": self.role, "taken": self.accepted,
                "taken_stale": self.accepted_stale, "highest_token": self.highest_token }),
        )
    }
}
