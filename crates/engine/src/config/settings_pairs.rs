//! Flattening of the nested settings in the file to pairs of path and value.
use serde_json::Value;

type Pairs = Vec<(String, String)>;

/// Flattens the settings to pairs of path and value. The parts of a path are joined by dots. A list
/// of plain values becomes one comma-separated value, a list of objects its count and one path for
/// each index. Spaces and commas inside a value become underscores, since they separate values in
/// the result.
pub(super) fn flatten(settings: &Value) -> Pairs {
    let mut pairs = Vec::new();
    flatten_below("", settings, &mut pairs);
    pairs
}

fn flatten_below(path: &str, value: &Value, pairs: &mut Pairs) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten_below(&join(path, name), value, pairs);
            }
        }
        Value::Array(values) if values.iter().any(Value::is_object) => {
            pairs.push((join(path, "count"), values.len().to_string()));
            for (index, value) in values.iter().enumerate() {
                flatten_below(&join(path, &index.to_string()), value, pairs);
            }
        }
        Value::Array(values) => {
            let words: Vec<String> = values.iter().map(text_of).collect();
            pairs.push((path.to_string(), words.join(",")));
        }
        value => pairs.push((path.to_string(), text_of(value))),
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn text_of(value: &Value) -> String {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}
