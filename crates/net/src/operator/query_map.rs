//! Query parameters of the operator API.

use {
    crate::http::percent::{decode_text, encode_value},
    std::collections::BTreeMap,
};

/// Query parameters of a request, decoded and sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueryMap {
    values: BTreeMap<String, String>,
}

impl QueryMap {
    /// Decodes a query; `None` if it is malformed or contains a parameter twice.
    pub fn parse(query: &str) -> Option<Self> {
        let mut values = BTreeMap::new();
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            let known = values.insert(decode_text(name)?, decode_text(value)?);
            if known.is_some() {
                return None;
            }
        }
        Some(Self { values })
    }

    /// Adds a parameter or replaces its value.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.values.insert(name.to_owned(), value.to_string());
        self
    }

    /// Returns the decoded value of a parameter.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns the path with these parameters as its query.
    pub fn target(&self, path: &str) -> String {
        let mut target = path.to_owned();
        for (index, (name, value)) in self.values.iter().enumerate() {
            target.push(if index == 0 { '?' } else { '&' });
            target.push_str(&encode_value(name));
            target.push('=');
            target.push_str(&encode_value(value));
        }
        target
    }
}
