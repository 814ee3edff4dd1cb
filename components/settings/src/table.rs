//! Renders a Markdown table of all keys of a settings type from its JSON Schema.

use schemars::{JsonSchema, schema_for};
use serde_json::Value;

/// Maximum nesting depth of the listed keys.
const DEPTH_LIMIT: usize = 8;

/// Renders every key of a type as a row of a Markdown table: path, type, default and meaning.
pub fn render_table<T: JsonSchema>() -> String {
    let schema = schema_for!(T).to_value();
    let mut rows = vec![
        "| key | type | default | meaning |".to_owned(),
        "| --- | --- | --- | --- |".to_owned(),
    ];
    TableWriter { root: &schema, rows: &mut rows }.add_object("", &schema, 0);
    rows.join("\n")
}

/// Adds the rows of a schema to a table; `root` is the schema that references are resolved in.
struct TableWriter<'a> {
    root: &'a Value,
    rows: &'a mut Vec<String>,
}

impl<'a> TableWriter<'a> {
    /// Adds the rows of all properties of an object.
    fn add_object(&mut self, path: &str, schema: &'a Value, depth: usize) {
        let required: Vec<&Value> = schema["required"].as_array().into_iter().flatten().collect();
        for (name, property) in schema["properties"].as_object().into_iter().flatten() {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let is_required = required.iter().any(|required| *required == name);
            self.add_property(&path, property, is_required, depth);
        }
    }

    /// Adds the row of a property and the rows of the keys below it.
    fn add_property(&mut self, path: &str, property: &'a Value, is_required: bool, depth: usize) {
        let target = self.resolve_reference(property);
        let default = match (&property["default"], is_required) {
            (_, true) => "required".to_owned(),
            (Value::Null, false) => String::new(),
            (given, false) => format!("`{given}`"),
        };
        let meaning = description_on_one_line(property)
            .or_else(|| description_on_one_line(target))
            .unwrap_or_default();
        self.rows
            .push(format!("| `{path}` | {} | {default} | {meaning} |", self.type_name(property)));
        if depth < DEPTH_LIMIT {
            self.add_nested(path, target, depth + 1);
        }
    }

    /// Adds the rows of the keys below a value: properties of an object, items of an array, entries
    /// of a map, variants of an enum.
    fn add_nested(&mut self, path: &str, schema: &'a Value, depth: usize) {
        self.add_object(path, schema, depth);
        if schema["items"].is_object() {
            self.add_nested(&format!("{path}[]"), self.resolve_reference(&schema["items"]), depth);
        }
        if schema["additionalProperties"].is_object() {
            let entry = self.resolve_reference(&schema["additionalProperties"]);
            self.add_nested(&format!("{path}.NAME"), entry, depth);
        }
        for variant in schema["oneOf"].as_array().into_iter().flatten() {
            self.add_variant(path, variant, depth);
        }
    }

    /// Adds the row of an enum variant and the rows of its keys.
    fn add_variant(&mut self, path: &str, schema: &'a Value, depth: usize) {
        for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
            let path = format!("{path}.{name}");
            let meaning = description_on_one_line(schema).unwrap_or_default();
            self.rows.push(format!("| `{path}` | one of | | {meaning} |"));
            self.add_object(&path, self.resolve_reference(inner), depth);
        }
    }

    /// Follows a `$ref` to the schema that it names; any other schema is returned as it is.
    fn resolve_reference(&self, schema: &'a Value) -> &'a Value {
        let reference = schema["$ref"].as_str().and_then(|text| text.strip_prefix('#'));
        reference.and_then(|pointer| self.root.pointer(pointer)).unwrap_or(schema)
    }

    /// Returns the type of a value in plain words.
    fn type_name(&self, schema: &'a Value) -> String {
        let schema = self.resolve_reference(schema);
        let kind = match &schema["type"] {
            Value::Array(kinds) => kinds[0].as_str(),
            kind => kind.as_str(),
        };
        match kind {
            Some("array") => format!("list of {}", self.type_name(&schema["items"])),
            Some("integer") => "number".to_owned(),
            Some("string") if schema["format"] == "ip" => "address".to_owned(),
            Some("string") => "text".to_owned(),
            Some("boolean") => "true or false".to_owned(),
            Some(kind) => kind.to_owned(),
            None => "object".to_owned(),
        }
    }
}

/// Returns the description of a schema with its line breaks replaced by spaces.
fn description_on_one_line(schema: &Value) -> Option<String> {
    let description = schema["description"].as_str()?;
    Some(description.split_whitespace().collect::<Vec<_>>().join(" "))
}
