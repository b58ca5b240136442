//! Lines and columns of the values in a JSON text.

use std::collections::HashMap;

/// Position of each value by its path, such as `Routes[2].Name`.
#[derive(Debug, Default)]
pub struct JsonPositions {
    positions: HashMap<String, (usize, usize)>,
}

/// Reader of a text that is known to be valid JSON.
struct JsonCursor<'t> {
    rest: std::iter::Peekable<std::str::Chars<'t>>,
    line: usize,
    column: usize,
}

impl JsonPositions {
    /// Finds the positions in a valid JSON text.
    pub fn new(text: &str) -> Self {
        let mut found = Self::default();
        let mut cursor = JsonCursor {
            rest: text.chars().peekable(),
            line: 1,
            column: 1,
        };
        found.read_value(&mut cursor, "");
        found
    }

    /// Line and column, both from 1, of the value at a path; of the whole text if the path has none.
    pub fn find(&self, path: &str) -> (usize, usize) {
        self.positions.get(path).copied().unwrap_or((1, 1))
    }

    fn read_value(&mut self, cursor: &mut JsonCursor<'_>, path: &str) {
        cursor.skip_space();
        let position = (cursor.line, cursor.column);
        self.positions.insert(path.to_owned(), position);
        match cursor.rest.peek() {
            Some('{') => self.read_entries(cursor, |cursor, _| {
                let key = cursor.read_string();
                cursor.skip_space();
                cursor.next();
                match path.is_empty() {
                    true => key,
                    false => format!("{path}.{key}"),
                }
            }),
            Some('[') => self.read_entries(cursor, |_, at| format!("{path}[{at}]")),
            Some('"') => {
                cursor.read_string();
            }
            _ => cursor.skip_plain(),
        }
    }

    /// Reads an object or a list; `entry_path` reads the key, if there is one, and returns the path of the
    /// entry with this number.
    fn read_entries(
        &mut self,
        cursor: &mut JsonCursor<'_>,
        entry_path: impl Fn(&mut JsonCursor<'_>, usize) -> String,
    ) {
        cursor.next();
        let mut count = 0;
        loop {
            cursor.skip_space();
            match cursor.rest.peek() {
                None => return,
                Some('}' | ']') => {
                    cursor.next();
                    return;
                }
                Some(',') => {
                    cursor.next();
                }
                Some(_) => {
                    let path = entry_path(cursor, count);
                    self.read_value(cursor, &path);
                    count += 1;
                }
            }
        }
    }
}

impl JsonCursor<'_> {
    fn next(&mut self) -> Option<char> {
        let next = self.rest.next()?;
        match next {
            '\n' => {
                self.line += 1;
                self.column = 1;
            }
            _ => self.column += 1,
        }
        Some(next)
    }

    fn skip_space(&mut self) {
        while self.rest.peek().is_some_and(|next| next.is_whitespace()) {
            self.next();
        }
    }

    /// Skips a number, `true`, `false` or `null`.
    fn skip_plain(&mut self) {
        let ends = |next: &char| next.is_whitespace() || ",]}".contains(*next);
        while self.rest.peek().is_some_and(|next| !ends(next)) {
            self.next();
        }
    }

    /// Reads a text; escapes are kept as written.
    fn read_string(&mut self) -> String {
        self.next();
        let mut text = String::new();
        while let Some(next) = self.next() {
            match next {
                '"' => break,
                '\\' => text.extend([Some(next), self.next()].into_iter().flatten()),
                _ => text.push(next),
            }
        }
        text
    }
}
