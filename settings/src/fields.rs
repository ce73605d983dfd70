//! Typed access to the fields of a JSON object.

use serde_json::{Map, Value};

/// The fields of an object.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    /// Name of the object, used in error messages.
    pub tag: &'a str,
    /// The fields.
    pub map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// Error message for a field that is missing or invalid.
    pub fn invalid(&self, field: &str) -> String {
        format!("{}: field {field} is missing or invalid", self.tag)
    }

    /// Returns a field that must be present and not null.
    pub fn required(&self, field: &str) -> Result<&'a Value, String> {
        self.map.get(field).filter(|value| !value.is_null()).ok_or_else(|| self.invalid(field))
    }

    /// Returns a signed integer.
    pub fn integer(&self, field: &str) -> Result<i64, String> {
        self.required(field)?.as_i64().ok_or_else(|| self.invalid(field))
    }

    /// Returns an unsigned integer; negative values count as 0.
    pub fn unsigned(&self, field: &str) -> Result<u64, String> {
        let value = self.required(field)?;
        value.as_u64().or_else(|| value.as_i64().map(|_| 0)).ok_or_else(|| self.invalid(field))
    }

    /// Returns an unsigned integer, or `default` if the field is absent.
    pub fn unsigned_or(&self, field: &str, default: u64) -> Result<u64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(default) } else { self.unsigned(field) }
    }

    /// Returns a number.
    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.required(field)?.as_f64().ok_or_else(|| self.invalid(field))
    }

    /// Returns a number, or `default` if the field is absent.
    pub fn number_or(&self, field: &str, default: f64) -> Result<f64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(default) } else { self.number(field) }
    }

    /// Returns a string.
    pub fn string(&self, field: &str) -> Result<&'a str, String> {
        self.required(field)?.as_str().ok_or_else(|| self.invalid(field))
    }

    /// Returns a boolean.
    pub fn boolean(&self, field: &str) -> Result<bool, String> {
        self.required(field)?.as_bool().ok_or_else(|| self.invalid(field))
    }

    /// Returns an array.
    pub fn array(&self, field: &str) -> Result<&'a Vec<Value>, String> {
        self.required(field)?.as_array().ok_or_else(|| self.invalid(field))
    }

    /// Returns a nested object.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, String> {
        let map = self.required(field)?.as_object().ok_or_else(|| self.invalid(field))?;
        Ok(Fields { tag: field, map })
    }
}
