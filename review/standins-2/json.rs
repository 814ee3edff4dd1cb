//! Reader for the JSON bodies that gateways send to the store, and base64 encoding.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        Reader { bytes: text.as_bytes(), at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => Json::Text(self.text()),
            b't' => self.word(4, Json::Bool(true)),
            b'f' => self.word(5, Json::Bool(false)),
            b'n' => self.word(4, Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, length: usize, value: Json) -> Json {
        self.at += length;
        value
    }

    fn number(&mut self) -> Json {
        let from = self.at;
        while self.at < self.bytes.len() && b"+-.eE0123456789".contains(&self.bytes[self.at]) {
            self.at += 1;
        }
        if self.at == from {
            self.at = self.bytes.len();
            return Json::Null;
        }
        let text = std::str::from_utf8(&self.bytes[from..self.at]).unwrap_or("");
        text.parse().map_or(Json::Null, Json::Number)
    }

    fn text(&mut self) -> String {
        let mut text = Vec::new();
        self.at += 1;
        while let Some(&byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let escaped = self.bytes.get(self.at).copied().unwrap_or(b'"');
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    fn list(&mut self) -> Json {
        let mut values = Vec::new();
        self.at += 1;
        while !matches!(self.peek(), b']' | 0) {
            values.push(self.value());
            if self.peek() == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Json::List(values)
    }

    fn table(&mut self) -> Json {
        let mut fields = BTreeMap::new();
        self.at += 1;
        while self.peek() == b'"' {
            let name = self.text();
            if self.peek() == b':' {
                self.at += 1;
            }
            fields.insert(name, self.value());
            if self.peek() == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Json::Table(fields)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for position in 0..4 {
            if position <= group.len() {
                text.push(ALPHABET[(number >> (18 - 6 * position) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
