//! Fields of a JSON object, read with plain errors.

use serde_json::{Map, Value};

/// The fields of a message.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// The name of the message or object, for error texts.
    pub tag: &'a str,
    /// Its fields.
    pub map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// The error text for a field that is absent or no use.
    pub fn invalid(&self, field: &str) -> String {
        format!("{}: field {field} is missing or of the wrong type", self.tag)
    }

    /// A field that must be there and not null.
    pub fn required(&self, field: &str) -> Result<&'a Value, String> {
        self.map.get(field).filter(|value| !value.is_null()).ok_or_else(|| self.invalid(field))
    }

    /// A whole number, negative ones included.
    pub fn integer(&self, field: &str) -> Result<i64, String> {
        self.required(field)?.as_i64().ok_or_else(|| self.invalid(field))
    }

    /// A whole number from 0; a negative one counts as 0.
    pub fn unsigned(&self, field: &str) -> Result<u64, String> {
        let value = self.required(field)?;
        value.as_u64().or_else(|| value.as_i64().map(|_| 0)).ok_or_else(|| self.invalid(field))
    }

    /// A whole number from 0, or `absent`.
    pub fn unsigned_or(&self, field: &str, default: u64) -> Result<u64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(default) } else { self.unsigned(field) }
    }

    /// A number.
    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.required(field)?.as_f64().ok_or_else(|| self.invalid(field))
    }

    /// A number, or `absent`.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(default) } else { self.number(field) }
    }

    /// A text.
    pub fn string(&self, field: &str) -> Result<&'a str, String> {
        self.required(field)?.as_str().ok_or_else(|| self.invalid(field))
    }

    /// A truth value.
    pub fn boolean(&self, field: &str) -> Result<bool, String> {
        self.required(field)?.as_bool().ok_or_else(|| self.invalid(field))
    }

    /// A list of values.
    pub fn array(&self, field: &str) -> Result<&'a Vec<Value>, String> {
        self.required(field)?.as_array().ok_or_else(|| self.invalid(field))
    }

    /// An object within this one.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, String> {
        let map = self.required(field)?.as_object().ok_or_else(|| self.invalid(field))?;
        Ok(Fields { tag: field, map })
    }
}
