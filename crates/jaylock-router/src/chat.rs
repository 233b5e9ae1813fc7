use std::hash::Hasher;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::StatusCode;
use jaylock_rpc::v1::{Ask, Configuration, Model};
use jaylock_types::{Fnv, PoolId};
use serde_json::{Map, Value};

use crate::response::ErrorResponse;

/// Difference in length between two successive prefixes of a prompt.
const BLOCK_BYTES: usize = 256;
/// Maximum number of prefixes by which the scheduler places a request.
const MAX_PREFIXES: usize = 16;
/// Maximum number of further prefixes, which may crash engines as well: together 16 KiB of the prompt, as in a route's head.
const MAX_FURTHER_PREFIXES: usize = 48;
/// Estimated size of a token.
const BYTES_PER_TOKEN: usize = 4;

/// A chat completion request, validated against the configuration.
pub struct Chat {
    /// Pool that serves the model.
    pub pool: PoolId,
    /// Model, without the adapter.
    pub model: CompactString,
    /// Version of the model in the configuration.
    pub version: CompactString,
    /// Adapter; empty for none.
    pub adapter: CompactString,
    /// Whether the caller requested server-sent events.
    pub is_streaming: bool,
    /// Slot request to the scheduler, without a ticket.
    pub ask: Ask,
    /// Body for the engine.
    pub body: Bytes,
}

impl Chat {
    /// Parses the body of a chat completion request.
    pub fn parse(body: &Bytes, configuration: &Configuration) -> Result<Self, ErrorResponse> {
        let value: Value =
            serde_json::from_slice(body).map_err(|e| malformed(&format_compact!("{e}")))?;
        let Value::Object(mut fields) = value else {
            return Err(malformed("the body is no JSON object"));
        };
        let is_streaming = boolean(&fields, "stream")?;
        let (model, adapter) = find_target(&fields, configuration)?;
        let prompt = prompt(&fields)?;
        let mut prefixes = prefixes(&prompt);
        let further_causes = prefixes.split_off(prefixes.len().min(MAX_PREFIXES));
        let ask = Ask {
            model: model.id.clone(),
            version: model.version.clone(),
            adapter: adapter.to_string(),
            limit: max_tokens(&fields)?,
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            prefixes,
            further_causes,
            ..Ask::default()
        };
        fields.insert("model".into(), model.id.clone().into());
        fields.insert("stream".into(), true.into());
        let pool = model.pool.parse();
        let body = serde_json::to_vec(&fields).unwrap_or_default();
        Ok(Self {
            pool: pool.map_err(|_| unknown_model("the model has no pool"))?,
            model: model.id.as_str().into(),
            version: model.version.as_str().into(),
            adapter,
            is_streaming,
            ask,
            body: body.into(),
        })
    }
}

/// Returns the hashes of increasingly long prefixes of a prompt, shortest first.
pub fn prefixes(prompt: &str) -> Vec<u64> {
    let mut hasher = Fnv::default();
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_PREFIXES + MAX_FURTHER_PREFIXES);
    let chain = blocks.map(|block| {
        hasher.write(block);
        hasher.finish()
    });
    chain.collect()
}

fn find_target<'a>(
    fields: &Map<String, Value>,
    configuration: &'a Configuration,
) -> Result<(&'a Model, CompactString), ErrorResponse> {
    let Some(name) = fields.get("model").and_then(Value::as_str) else {
        return Err(malformed("model is missing or no text"));
    };
    let adapter_field = fields.get("adapter").and_then(Value::as_str);
    let (model, adapter) = match find_model(configuration, name) {
        Some(model) => (model, adapter_field.unwrap_or_default()),
        None => split_adapter(configuration, name, adapter_field)?,
    };
    if !adapter.is_empty() && !has_adapter(configuration, adapter, &model.id) {
        return Err(unknown_model(
            "no such adapter is configured for this model",
        ));
    }
    Ok((model, adapter.into()))
}

/// Splits a name of the form `MODEL:ADAPTER`.
fn split_adapter<'a, 'b>(
    configuration: &'a Configuration,
    name: &'b str,
    adapter_field: Option<&str>,
) -> Result<(&'a Model, &'b str), ErrorResponse> {
    let parts = name.rsplit_once(':').filter(|_| adapter_field.is_none());
    let found = parts.and_then(|(m, adapter)| Some((find_model(configuration, m)?, adapter)));
    found.ok_or_else(|| unknown_model("no such model is configured"))
}

fn find_model<'a>(configuration: &'a Configuration, name: &str) -> Option<&'a Model> {
    let models = &configuration.models;
    let index = models.binary_search_by(|m| m.id.as_str().cmp(name)).ok()?;
    Some(&models[index])
}

fn has_adapter(configuration: &Configuration, name: &str, model: &str) -> bool {
    let adapters = configuration.adapters.iter();
    adapters
        .into_iter()
        .any(|a| a.id == name && a.model == model)
}

fn prompt(fields: &Map<String, Value>) -> Result<String, ErrorResponse> {
    let Some(Value::Array(messages)) = fields.get("messages") else {
        return Err(malformed("messages is missing or no list"));
    };
    let mut text = String::new();
    for message in messages {
        let Value::Object(message) = message else {
            return Err(malformed("a message is no JSON object"));
        };
        for key in ["role", "content"] {
            match message.get(key) {
                Some(Value::String(part)) => text.push_str(part),
                Some(other) => text.push_str(&other.to_string()),
                None => {}
            }
            text.push('\n');
        }
    }
    Ok(text)
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u32, ErrorResponse> {
    let keys = ["max_completion_tokens", "max_tokens"];
    let value = keys
        .iter()
        .find_map(|k| fields.get(*k).filter(|v| !v.is_null()));
    let Some(value) = value else {
        return Ok(0);
    };
    let max_tokens = value.as_u64().and_then(|v| u32::try_from(v).ok());
    max_tokens.ok_or_else(|| malformed("max_tokens is no whole number"))
}

fn boolean(fields: &Map<String, Value>, key: &str) -> Result<bool, ErrorResponse> {
    match fields.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(malformed(&format_compact!(
            "{key} is neither true nor false"
        ))),
    }
}

fn malformed(reason: &str) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::BAD_REQUEST,
        "malformed",
        reason,
        "send the common chat-completions form",
    )
}

fn unknown_model(reason: &'static str) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::NOT_FOUND,
        "unknown-model",
        reason,
        "ask the operators which models are configured",
    )
}
