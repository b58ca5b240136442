//! Percent-encoding of paths and queries.

use {
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode},
    std::borrow::Cow,
};

/// Bytes that are encoded in a value: all that do not stand for themselves in each part of a URL. A blank
/// becomes `%20`, which decoders of paths and of forms understand alike.
const VALUE: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The same in a path, of which `/` separates the segments.
const PATH: &AsciiSet = &VALUE.remove(b'/').remove(b':');

/// Encodes a name or value for a query.
pub fn encode_value(text: &str) -> Cow<'_, str> {
    utf8_percent_encode(text, VALUE).into()
}

/// Encodes a path; `/` and `:` are not encoded.
pub fn encode_path(text: &str) -> Cow<'_, str> {
    utf8_percent_encode(text, PATH).into()
}

/// Reverses the encoding; `None` for a `%` without two hexadecimal digits, which the library would keep.
pub fn decode(text: &str) -> Option<Cow<'_, [u8]>> {
    let escapes = text.split('%').skip(1).map(str::as_bytes);
    for escape in escapes {
        if !escape.get(..2)?.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
    }
    Some(percent_decode_str(text).into())
}

/// Reverses the encoding of text; also `None` if the result is not UTF-8.
pub fn decode_text(text: &str) -> Option<String> {
    String::from_utf8(decode(text)?.into_owned()).ok()
}
