//! The little JSON that the stand-ins need: objects are kept as text, and single fields are looked up.

/// Text of the value of the first field called `name`, at any depth; strings keep their quotes.
pub fn field<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let key = format!("\"{name}\":");
    let at = text.find(&key)? + key.len();
    let rest = text[at..].trim_start();
    Some(&rest[..value_length(rest)])
}

pub fn number(text: &str, name: &str) -> Option<f64> {
    field(text, name)?.parse().ok()
}

pub fn string(text: &str, name: &str) -> Option<String> {
    Some(field(text, name)?.trim_matches('"').to_owned())
}

/// Length of the value at the start of the text.
fn value_length(text: &str) -> usize {
    let (mut depth, mut quoted, mut escaped) = (0_i32, false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return at + 1;
                }
            }
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
    }
    text.len()
}
