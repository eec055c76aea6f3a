//! JSON as indented text for people.

use std::fmt;

use serde_json::Value;

const INDENT: &str = "  ";

/// Shows JSON as indented text: a field a line, objects of a list on one line each where they are
/// flat.
#[derive(Clone, Copy, Debug)]
pub struct JsonText<'a>(pub &'a Value);

impl fmt::Display for JsonText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_value(f, self.0, 0)
    }
}

fn write_value(f: &mut fmt::Formatter<'_>, value: &Value, depth: usize) -> fmt::Result {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_field(f, name, field, depth)?;
            }
            Ok(())
        }
        Value::Array(items) => {
            for item in items {
                write_item(f, item, depth)?;
            }
            Ok(())
        }
        _ => writeln!(f, "{}{}", INDENT.repeat(depth), scalar(value)),
    }
}

fn write_field(f: &mut fmt::Formatter<'_>, name: &str, value: &Value, depth: usize) -> fmt::Result {
    let label = name.replace('_', " ");
    let indent = INDENT.repeat(depth);
    if is_scalar(value) {
        return writeln!(f, "{indent}{label}: {}", scalar(value));
    }
    writeln!(f, "{indent}{label}:")?;
    write_value(f, value, depth + 1)
}

fn write_item(f: &mut fmt::Formatter<'_>, item: &Value, depth: usize) -> fmt::Result {
    let Value::Object(fields) = item else {
        return write_value(f, item, depth);
    };
    if !fields.values().all(is_scalar) {
        write_value(f, item, depth)?;
        return writeln!(f);
    }
    let cells: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{} {}", name.replace('_', " "), scalar(value)))
        .collect();
    writeln!(f, "{}{}", INDENT.repeat(depth), cells.join(", "))
}

fn is_scalar(value: &Value) -> bool {
    !matches!(value, Value::Object(_) | Value::Array(_))
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        _ => value.to_string(),
    }
}
