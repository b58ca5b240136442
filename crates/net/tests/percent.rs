//! Percent-encoding of paths and queries.

use {
    camphorcove_net::{
        http::percent::{decode, decode_text, encode_path, encode_value},
        operator::QueryMap,
    },
    proptest::prelude::*,
    rstest::rstest,
};

/// Guards against escapes that two programs read differently: a signature covers the encoded text.
#[rstest]
#[case::no_digits("%")]
#[case::one_digit("a%4")]
#[case::no_hexadecimal_digits("%zz")]
#[case::sign("%+f")]
#[case::blank("% 1")]
#[case::other_script("%岛")]
#[case::after_a_valid_one("%41%4")]
fn malformed_escape_is_not_decoded(#[case] text: &str) {
    assert_eq!(decode(text), None);
    assert_eq!(QueryMap::parse(&format!("key={text}")), None);
}

/// Guards against bytes that are not UTF-8 and are taken for other text.
#[test]
fn bytes_of_another_encoding_are_decoded_as_bytes_only() {
    assert_eq!(decode("%ff").as_deref(), Some(&[0xff][..]));
    assert_eq!(decode_text("%ff"), None);
}

proptest! {
    /// Guards against a character that changes a path or query, or does not come back.
    #[test]
    fn any_text_is_encoded_into_one_part_and_back(text in any::<String>(), other in any::<String>()) {
        let value = encode_value(&text);
        let query = QueryMap::default().with("key", &text).with("other", &other);
        let target = query.target("/v1/owner");
        let uri: http::Uri = target.parse().expect("a valid target");

        prop_assert!(value.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~%".contains(&byte)));
        prop_assert_eq!(decode_text(&value), Some(text.clone()));
        prop_assert_eq!(decode_text(&encode_path(&text)), Some(text));
        prop_assert_eq!(uri.path(), "/v1/owner");
        prop_assert_eq!(QueryMap::parse(uri.query().unwrap_or_default()), Some(query));
    }
}
