use jaylock_types::RequestId;
use serde_json::{Map, Value, json};

use crate::chunk::Chunk;

/// Fields of a message that stand in a piece as a whole.
const UNDIVIDED: [&str; 4] = ["id", "name", "role", "type"];

/// Puts the pieces of an answer together.
#[derive(Default)]
pub struct Assembly {
    choices: Vec<Choice>,
    usage: Option<Value>,
    created: Option<Value>,
}

struct Choice {
    index: u64,
    message: Value,
    reason: Value,
}

impl Assembly {
    /// Adds the next piece.
    pub fn add(&mut self, piece: &Chunk) {
        let chunk: &Map<String, Value> = &piece.chunk;
        if let Some(usage) = chunk.get("usage").filter(|u| !u.is_null()) {
            self.usage = Some(usage.clone());
        }
        if self.created.is_none() {
            self.created = chunk.get("created").cloned();
        }
        let choices = chunk.get("choices").and_then(Value::as_array);
        for part in choices.into_iter().flatten() {
            let choice = self.choice(part["index"].as_u64().unwrap_or(0));
            merge(&mut choice.message, &part["delta"]);
            if part["finish_reason"].is_string() {
                choice.reason = part["finish_reason"].clone();
            }
        }
    }

    /// The whole answer, as JSON.
    pub fn finish(self, request: &RequestId, model: &str) -> String {
        let choices = self
            .choices
            .into_iter()
            .map(|c| json!({"index": c.index, "message": c.message, "finish_reason": c.reason}));
        let answer = json!({
            "id": request.as_str(),
            "object": "chat.completion",
            "created": self.created.unwrap_or(Value::from(0)),
            "model": model,
            "choices": choices.collect::<Vec<Value>>(),
            "usage": self.usage,
        });
        answer.to_string()
    }

    fn choice(&mut self, index: u64) -> &mut Choice {
        let found = self.choices.binary_search_by_key(&index, |c| c.index);
        let at = found.unwrap_or_else(|at| {
            let choice = Choice {
                index,
                message: json!({"role": "assistant", "content": ""}),
                reason: Value::Null,
            };
            self.choices.insert(at, choice);
            at
        });
        &mut self.choices[at]
    }
}

/// Appends a part of a message: texts grow, lists grow or merge by `index`, the rest is replaced.
fn merge(whole: &mut Value, part: &Value) {
    match (whole, part) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(more)) => text.push_str(more),
        (Value::Array(items), Value::Array(more)) => {
            for item in more {
                merge_item(items, item);
            }
        }
        (Value::Object(fields), Value::Object(more)) => {
            for (name, value) in more {
                let known = fields.entry(name.as_str()).or_insert(Value::Null);
                if UNDIVIDED.contains(&name.as_str()) {
                    *known = value.clone();
                } else {
                    merge(known, value);
                }
            }
        }
        (whole, part) => *whole = part.clone(),
    }
}

fn merge_item(items: &mut Vec<Value>, item: &Value) {
    let index = &item["index"];
    let known = items
        .iter_mut()
        .find(|i| index.is_u64() && i["index"] == *index);
    match known {
        Some(known) => merge(known, item),
        None => items.push(item.clone()),
    }
}
