//! Flattens nested JSON into values with dotted names.

use serde_json::Value;
use std::collections::BTreeMap;

/// Flattens nested JSON into `output`, a map from dotted names to values. A list of scalars becomes one value joined by
/// commas. A list of objects becomes its length, named `.count`, and its items, named by their indexes.
pub fn flatten(prefix: &str, value: &Value, output: &mut BTreeMap<String, String>) {
    let child_name =
        |name: &str| if prefix.is_empty() { name.to_string() } else { format!("{prefix}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| flatten(&child_name(name), field, output))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            output.insert(child_name("count"), items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(index, item)| flatten(&child_name(&index.to_string()), item, output));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            output.insert(prefix.to_string(), items.join(","));
        }
        Value::Null => {}
        _ => {
            output.insert(prefix.to_string(), scalar_text(value));
        }
    }
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}
