use jaylock_types::RequestId;
use serde_json::{Map, Value, json};

use crate::chunk::Chunk;

/// Fields of a message that a chunk always holds complete, so that a later value replaces them.
const REPLACED_FIELDS: [&str; 4] = ["id", "name", "role", "type"];

/// Assembles the chunks of a response into a chat completion.
#[derive(Default)]
pub struct Assembly {
    choices: Vec<Choice>,
    usage: Option<Value>,
    created: Option<Value>,
}

struct Choice {
    index: u64,
    message: Value,
    finish_reason: Value,
}

impl Assembly {
    /// Adds the next chunk.
    pub fn add(&mut self, chunk: &Chunk) {
        let fields: &Map<String, Value> = &chunk.fields;
        if let Some(usage) = fields.get("usage").filter(|u| !u.is_null()) {
            self.usage = Some(usage.clone());
        }
        if self.created.is_none() {
            self.created = fields.get("created").cloned();
        }
        let choices = fields.get("choices").and_then(Value::as_array);
        for part in choices.into_iter().flatten() {
            let choice = self.choice(part["index"].as_u64().unwrap_or(0));
            merge(&mut choice.message, &part["delta"]);
            if part["finish_reason"].is_string() {
                choice.finish_reason = part["finish_reason"].clone();
            }
        }
    }

    /// Returns the complete response as JSON.
    pub fn finish(self, request: &RequestId, model: &str) -> String {
        let choices = self.choices.into_iter().map(
            |c| json!({"index": c.index, "message": c.message, "finish_reason": c.finish_reason}),
        );
        let response = json!({
            "id": request.as_str(),
            "object": "chat.completion",
            "created": self.created.unwrap_or(Value::from(0)),
            "model": model,
            "choices": choices.collect::<Vec<Value>>(),
            "usage": self.usage,
        });
        response.to_string()
    }

    fn choice(&mut self, index: u64) -> &mut Choice {
        let search = self.choices.binary_search_by_key(&index, |c| c.index);
        let position = search.unwrap_or_else(|position| {
            let choice = Choice {
                index,
                message: json!({"role": "assistant", "content": ""}),
                finish_reason: Value::Null,
            };
            self.choices.insert(position, choice);
            position
        });
        &mut self.choices[position]
    }
}

/// Merges a delta into a message.
///
/// Strings are concatenated, arrays are extended or merged by `index`, other values are replaced.
fn merge(message: &mut Value, delta: &Value) {
    match (message, delta) {
        (_, Value::Null) => {}
        (Value::String(text), Value::String(more)) => text.push_str(more),
        (Value::Array(items), Value::Array(more)) => {
            for item in more {
                merge_item(items, item);
            }
        }
        (Value::Object(fields), Value::Object(more)) => {
            for (name, value) in more {
                let field = fields.entry(name.as_str()).or_insert(Value::Null);
                if REPLACED_FIELDS.contains(&name.as_str()) {
                    *field = value.clone();
                } else {
                    merge(field, value);
                }
            }
        }
        (message, delta) => *message = delta.clone(),
    }
}

fn merge_item(items: &mut Vec<Value>, item: &Value) {
    let index = &item["index"];
    let existing = items
        .iter_mut()
        .find(|i| index.is_u64() && i["index"] == *index);
    match existing {
        Some(existing) => merge(existing, item),
        None => items.push(item.clone()),
    }
}
