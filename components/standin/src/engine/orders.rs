//! Orders to an engine: which models it serves and in which role, guarded by a fencing token.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::json;
use web::Response;

use super::EngineSettings;

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) enum Command {
    /// Load a model, an adapter or a version of one.
    Load(String),
    /// Unload it.
    Unload(String),
    /// Change role: `both`, `prefill` or `decode`.
    Role(String),
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    fencing_token: u64,
    command: Command,
}

/// Effect of an order.
#[derive(Debug)]
pub(super) enum OrderEffect {
    /// Nothing more than the answer.
    Done(Response),
    /// A model is to be loaded.
    Load(String),
}

/// Orders that were taken and what follows from them.
#[derive(Debug)]
pub(super) struct Orders {
    checks_fencing: bool,
    highest_token: u64,
    serves_all: bool,
    models: BTreeSet<String>,
    loading: BTreeSet<String>,
    role: String,
    taken: Vec<Order>,
    taken_stale: u32,
}

impl Orders {
    pub(super) fn new(settings: &EngineSettings) -> Orders {
        Orders {
            checks_fencing: settings.checks_fencing,
            highest_token: 0,
            serves_all: settings.models.is_empty(),
            loading: BTreeSet::new(),
            models: settings.models.iter().cloned().collect(),
            role: "both".to_owned(),
            taken: Vec::new(),
            taken_stale: 0,
        }
    }

    /// Takes an order, or refuses one with an old token where tokens are checked.
    pub(super) fn take(&mut self, order: Order) -> OrderEffect {
        let stale = order.fencing_token < self.highest_token;
        if stale && self.checks_fencing {
            let body = json!({ "message": "stale", "highest_token": self.highest_token });
            return OrderEffect::Done(Response::json(409, &body));
        }
        self.taken_stale += u32::from(stale);
        self.highest_token = self.highest_token.max(order.fencing_token);
        self.taken.push(order.clone());
        match order.command {
            Command::Load(model) => {
                self.loading.insert(model.clone());
                return OrderEffect::Load(model);
            }
            Command::Unload(model) => {
                self.serves_all = false;
                self.models.remove(&model);
            }
            Command::Role(role) => self.role = role,
        }
        OrderEffect::Done(Response::json(200, &json!({})))
    }

    /// A model is loaded.
    pub(super) fn loaded(&mut self, model: &str) {
        if self.loading.remove(model) {
            self.models.insert(model.to_owned());
        }
    }

    /// Whether requests for a model can be served.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.serves_all || self.models.contains(model)
    }

    /// What was taken and what is in effect.
    pub(super) fn report(&self) -> Response {
        Response::json(
            200,
            &json!({ "models": self.models, "loading": self.loading, "role": self.role, "taken": self.taken,
                "taken_stale": self.taken_stale, "highest_token": self.highest_token }),
        )
    }
}
