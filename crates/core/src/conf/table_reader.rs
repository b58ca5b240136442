//! Typed access to a TOML table that reports faulty values to a fault sink.

use {
    super::{
        FaultKind, SettingInfo, SettingKind, SettingTable, TimeSpan,
        fault::nearest_name,
        fault_sink::{FaultDetail, FaultSink},
    },
    serde::{
        Deserialize,
        de::{IntoDeserializer, value::StrDeserializer},
    },
    std::{ops::Range, str::FromStr},
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// A value with its byte range in the file.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) span: Range<usize>,
}

/// Reads the settings of one TOML table and checks them against the list of settings.
pub(super) struct TableReader<'t, 'i> {
    table: &'t DeTable<'i>,
    kind: SettingTable,
    path: String,
    span: Range<usize>,
}

impl<'t, 'i> TableReader<'t, 'i> {
    pub(super) fn new(
        table: &'t DeTable<'i>,
        kind: SettingTable,
        path: String,
        span: Range<usize>,
    ) -> Self {
        Self {
            table,
            kind,
            path,
            span,
        }
    }

    pub(super) fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Full path of a key of this table, such as `services[0].name`.
    pub(super) fn path(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Reports keys that are not settings of this table.
    pub(super) fn check_keys(&self, sink: &mut FaultSink<'_>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if SettingInfo::find(self.kind, name).is_some() {
                continue;
            }
            let known = || SettingInfo::of_table(self.kind).map(|info| info.name);
            let detail = FaultDetail {
                kind: FaultKind::UnknownKey,
                found: Some(sink.source(&key.span())),
                allowed: known().collect::<Vec<_>>().join(", "),
                nearest: nearest_name(name, known()),
            };
            sink.push(&key.span(), &self.path(name), detail);
        }
    }

    pub(super) fn has(&self, name: &str) -> bool {
        self.table.contains_key(name)
    }

    pub(super) fn value(&self, name: &str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.table.get(name)
    }

    /// Byte range of a key's value, or of the table if the key is absent.
    pub(super) fn span_of(&self, name: &str) -> Range<usize> {
        self.value(name).map_or(self.span(), Spanned::span)
    }

    /// Reports a fault at a key's value, with the allowed values of the setting.
    pub(super) fn report(&self, sink: &mut FaultSink<'_>, name: &str, kind: FaultKind) {
        let allowed = self.info(name).allowed();
        self.report_with_allowed(sink, name, kind, allowed, None);
    }

    /// Reports a fault at a key's value, with the given description of the allowed values.
    pub(super) fn report_with_allowed(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        kind: FaultKind,
        allowed: String,
        nearest: Option<String>,
    ) {
        let span = self.span_of(name);
        let found = self.value(name).map(|value| sink.source(&value.span()));
        let detail = FaultDetail {
            kind,
            found,
            allowed,
            nearest,
        };
        sink.push(&span, &self.path(name), detail);
    }

    fn info(&self, name: &str) -> &'static SettingInfo {
        SettingInfo::find(self.kind, name)
            .unwrap_or_else(|| unreachable!("{name} is missing from the list of settings"))
    }

    /// Returns the value of a key if present. Reports an absent key if the setting is required.
    fn value_or_missing(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
    ) -> Option<&'t Spanned<DeValue<'i>>> {
        let value = self.value(name);
        if value.is_none() && self.info(name).default.is_none() {
            self.report(sink, name, FaultKind::MissingKey);
        }
        value
    }

    /// Reads a text.
    pub(super) fn text(&self, sink: &mut FaultSink<'_>, name: &str) -> Option<Located<&'t str>> {
        let value = self.value_or_missing(sink, name)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.report(sink, name, FaultKind::WrongType);
        }
        text.map(|text| Located {
            value: text,
            span: value.span(),
        })
    }

    /// Reads a text that is parsed as `T`, such as a name or an address.
    pub(super) fn parsed<T: FromStr>(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
    ) -> Option<Located<T>> {
        let text = self.text(sink, name)?;
        let parsed = text.value.parse().ok();
        if parsed.is_none() {
            self.report(sink, name, FaultKind::NotAllowed);
        }
        parsed.map(|value| Located {
            value,
            span: text.span,
        })
    }

    /// Reads a setting with a fixed set of values. Returns the default if the key is absent and
    /// `None` if the value is faulty.
    pub(super) fn choice<T: Default + Deserialize<'static>>(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
    ) -> Option<T> {
        if !self.has(name) {
            return Some(T::default());
        }
        let text = self.text(sink, name)?;
        let text = self.choice_text(sink, name, text.value)?;
        let deserializer: StrDeserializer<'static, serde::de::value::Error> =
            text.into_deserializer();
        T::deserialize(deserializer).ok()
    }

    /// Returns the allowed value of the setting that equals `text`. Reports a fault if there is none.
    pub(super) fn choice_text(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        text: &str,
    ) -> Option<&'static str> {
        let SettingKind::Choice(allowed) = self.info(name).kind else {
            return None;
        };
        let found = allowed.iter().copied().find(|known| *known == text);
        if found.is_none() {
            let nearest = nearest_name(text, allowed.iter().copied());
            let range = self.info(name).range();
            self.report_with_allowed(sink, name, FaultKind::NotAllowed, range, nearest);
        }
        found
    }

    /// Reads a whole number within the setting's range. Returns `default` if absent or faulty.
    pub(super) fn count<T: TryFrom<u64>>(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        default: T,
    ) -> T {
        let Some(value) = self.value_or_missing(sink, name) else {
            return default;
        };
        let DeValue::Integer(integer) = value.get_ref() else {
            self.report(sink, name, self.non_integer_kind(value.get_ref()));
            return default;
        };
        let SettingKind::Count { min, max, .. } = self.info(name).kind else {
            return default;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let in_range = number.filter(|number| (min..=max).contains(number));
        match in_range.and_then(|number| T::try_from(number).ok()) {
            Some(number) => number,
            None => {
                self.report(sink, name, FaultKind::OutOfRange);
                default
            }
        }
    }

    /// Kind of fault for a value that is not a whole number.
    ///
    /// A text that starts with a digit, such as `"8MB"`, is a number with a wrong unit.
    fn non_integer_kind(&self, value: &DeValue<'_>) -> FaultKind {
        let starts_with_digit = |text: &str| text.starts_with(|c: char| c.is_ascii_digit());
        match value.as_str() {
            Some(text) if starts_with_digit(text) => FaultKind::WrongUnit,
            _ => FaultKind::WrongType,
        }
    }

    /// Reads a time span within the setting's range. Returns `default` if absent or faulty.
    pub(super) fn time(&self, sink: &mut FaultSink<'_>, name: &str, default: TimeSpan) -> TimeSpan {
        let Some(value) = self.value_or_missing(sink, name) else {
            return default;
        };
        let (text, SettingKind::Span { min, max }) = (value.get_ref(), self.info(name).kind) else {
            return default;
        };
        let kind = match text {
            DeValue::String(text) => match text.parse::<TimeSpan>() {
                Ok(span) if (min..=max).contains(&span.0) => return span,
                Ok(_) => FaultKind::OutOfRange,
                Err(_) => FaultKind::WrongUnit,
            },
            DeValue::Integer(_) | DeValue::Float(_) => FaultKind::WrongUnit,
            _ => FaultKind::WrongType,
        };
        self.report(sink, name, kind);
        default
    }

    /// Reads a list of texts, each with its byte range. Items of another type are reported and left
    /// out.
    pub(super) fn texts(&self, sink: &mut FaultSink<'_>, name: &str) -> Vec<Located<&'t str>> {
        let Some(value) = self.value_or_missing(sink, name) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.report(sink, name, FaultKind::WrongType);
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            match item.get_ref().as_str() {
                Some(text) => texts.push(Located {
                    value: text,
                    span: item.span(),
                }),
                None => self.report_item(sink, name, index, item.span(), FaultKind::WrongType),
            }
        }
        texts
    }

    /// Reports a fault at an item of a list setting.
    pub(super) fn report_item(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        index: usize,
        span: Range<usize>,
        kind: FaultKind,
    ) {
        let detail = FaultDetail {
            kind,
            found: Some(sink.source(&span)),
            allowed: self.info(name).allowed(),
            nearest: None,
        };
        let path = format!("{}[{index}]", self.path(name));
        sink.push(&span, &path, detail);
    }

    /// Returns a reader for a sub-table, or `None` if it is absent or not a table.
    pub(super) fn table(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        kind: SettingTable,
    ) -> Option<TableReader<'t, 'i>> {
        let value = self.value(name)?;
        let Some(table) = value.get_ref().as_table() else {
            self.report(sink, name, FaultKind::WrongType);
            return None;
        };
        Some(Self::new(table, kind, self.path(name), value.span()))
    }

    /// Returns a reader for each table of a list of sub-tables.
    pub(super) fn tables(
        &self,
        sink: &mut FaultSink<'_>,
        name: &str,
        kind: SettingTable,
    ) -> Vec<TableReader<'t, 'i>> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.report(sink, name, FaultKind::WrongType);
            return Vec::new();
        };
        if matches!(self.info(name).kind, SettingKind::Tables { max } if items.len() > max) {
            self.report(sink, name, FaultKind::OutOfRange);
        }
        let mut tables = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.path(name));
            match item.get_ref().as_table() {
                Some(table) => tables.push(Self::new(table, kind, path, item.span())),
                None => self.report_item(sink, name, index, item.span(), FaultKind::WrongType),
            }
        }
        tables
    }
}

/// Whether a TOML parse error is about a key that appears twice.
pub(super) fn is_duplicate_key(error: &toml::de::Error) -> bool {
    error.message().starts_with("duplicate key")
}

/// Reports an error of the TOML parser as a fault.
pub(super) fn syntax_fault(sink: &mut FaultSink<'_>, error: &toml::de::Error) {
    let span = error.span().unwrap_or(0..0);
    let source = sink.source(&span);
    let (kind, allowed) = match is_duplicate_key(error) {
        true => (FaultKind::Duplicate, "each key once".to_owned()),
        false => (FaultKind::Syntax, format!("TOML ({})", error.message())),
    };
    let detail = FaultDetail {
        kind,
        found: (!source.is_empty()).then(|| format!("{source:?}")),
        allowed,
        nearest: None,
    };
    sink.push(&span, "", detail);
}
