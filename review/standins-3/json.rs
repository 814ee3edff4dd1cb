//! Minimal JSON: a parser for the store's calls, and escaping of strings.

use std::collections::BTreeMap;

/// A JSON value; numbers are read as integers.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(i64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is not well formed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { rest: text.trim_start() };
        let value = parser.value()?;
        parser.rest.trim().is_empty().then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<i64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Writes a string with its quotes.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if other.is_control() => quoted.push_str(&format!("\\u{:04x}", other as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn eat(&mut self, token: &str) -> bool {
        self.skip();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match self.rest.chars().next()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            _ if self.eat("null") => Some(Json::Null),
            _ if self.eat("true") => Some(Json::Bool(true)),
            _ if self.eat("false") => Some(Json::Bool(false)),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = BTreeMap::new();
        self.eat("{");
        while !self.eat("}") {
            self.skip();
            let name = self.string()?;
            if !self.eat(":") {
                return None;
            }
            fields.insert(name, self.value()?);
            self.eat(",");
        }
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.eat("[");
        while !self.eat("]") {
            items.push(self.value()?);
            self.eat(",");
        }
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        let mut text = String::new();
        let mut characters = self.rest.strip_prefix('"')?.chars();
        loop {
            match characters.next()? {
                '"' => break,
                '\\' => match characters.next()? {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let code: String = characters.by_ref().take(4).collect();
                        text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
        self.rest = characters.as_str();
        Some(text)
    }

    fn number(&mut self) -> Option<Json> {
        let is_number = |c: char| c.is_ascii_digit() || matches!(c, '-' | '+' | '.' | 'e' | 'E');
        let end = self.rest.find(|c| !is_number(c)).unwrap_or(self.rest.len());
        let (number, rest) = self.rest.split_at(end);
        self.rest = rest;
        number.parse::<f64>().ok().map(|number| Json::Number(number as i64))
    }
}
