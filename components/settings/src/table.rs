//! A table of all keys of a type, from its JSON Schema.

use schemars::{JsonSchema, schema_for};
use serde_json::Value;

/// Deepest key that is listed.
const DEPTH_LIMIT: usize = 8;

/// Each key of a type as a row of a Markdown table: path, type, default and meaning.
pub fn render_table<T: JsonSchema>() -> String {
    let schema = schema_for!(T).to_value();
    let mut rows = vec![
        "| key | type | default | meaning |".to_owned(),
        "| --- | --- | --- | --- |".to_owned(),
    ];
    Walk { root: &schema, rows: &mut rows }.object("", &schema, 0);
    rows.join("\n")
}

struct Walk<'a> {
    root: &'a Value,
    rows: &'a mut Vec<String>,
}

impl<'a> Walk<'a> {
    fn object(&mut self, path: &str, schema: &'a Value, depth: usize) {
        let required: Vec<&Value> = schema["required"].as_array().into_iter().flatten().collect();
        for (name, property) in schema["properties"].as_object().into_iter().flatten() {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let is_required = required.iter().any(|required| *required == name);
            self.property(&path, property, is_required, depth);
        }
    }

    fn property(&mut self, path: &str, property: &'a Value, is_required: bool, depth: usize) {
        let target = self.resolve(property);
        let default = match (&property["default"], is_required) {
            (_, true) => "required".to_owned(),
            (Value::Null, false) => String::new(),
            (given, false) => format!("`{given}`"),
        };
        let meaning = first_line(property).or_else(|| first_line(target)).unwrap_or_default();
        self.rows.push(format!("| `{path}` | {} | {default} | {meaning} |", self.name(property)));
        if depth < DEPTH_LIMIT {
            self.inside(path, target, depth + 1);
        }
    }

    /// Keys of a value: of an object, of each item, of each named entry, of each variant.
    fn inside(&mut self, path: &str, schema: &'a Value, depth: usize) {
        self.object(path, schema, depth);
        if schema["items"].is_object() {
            self.inside(&format!("{path}[]"), self.resolve(&schema["items"]), depth);
        }
        if schema["additionalProperties"].is_object() {
            let entry = self.resolve(&schema["additionalProperties"]);
            self.inside(&format!("{path}.NAME"), entry, depth);
        }
        for variant in schema["oneOf"].as_array().into_iter().flatten() {
            self.variant(path, variant, depth);
        }
    }

    fn variant(&mut self, path: &str, schema: &'a Value, depth: usize) {
        for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
            let path = format!("{path}.{name}");
            let meaning = first_line(schema).unwrap_or_default();
            self.rows.push(format!("| `{path}` | one of | | {meaning} |"));
            self.object(&path, self.resolve(inner), depth);
        }
    }

    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let reference = schema["$ref"].as_str().and_then(|text| text.strip_prefix('#'));
        reference.and_then(|pointer| self.root.pointer(pointer)).unwrap_or(schema)
    }

    fn name(&self, schema: &'a Value) -> String {
        let schema = self.resolve(schema);
        let kind = match &schema["type"] {
            Value::Array(kinds) => kinds[0].as_str(),
            kind => kind.as_str(),
        };
        match kind {
            Some("array") => format!("list of {}", self.name(&schema["items"])),
            Some("integer") => "number".to_owned(),
            Some("string") if schema["format"] == "ip" => "address".to_owned(),
            Some("string") => "text".to_owned(),
            Some("boolean") => "true or false".to_owned(),
            Some(kind) => kind.to_owned(),
            None => "object".to_owned(),
        }
    }
}

fn first_line(schema: &Value) -> Option<String> {
    let description = schema["description"].as_str()?;
    Some(description.split_whitespace().collect::<Vec<_>>().join(" "))
}
