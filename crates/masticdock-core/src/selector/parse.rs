//! Parser of selectors.

use compact_str::CompactString;

use super::{Condition, Requirement, SELECTOR_LEN_MAX, SelectorError, SelectorErrorKind};

const TIP_KEY: &str = "write a label key, for example `zone=a`";
const TIP_VALUE: &str =
    "values consist of letters, digits, `-`, `_`, `.`, `/`, `:` and `@`, for example `zone=a`";
const TIP_LIST: &str = "put the values in parentheses, for example `zone in (a, b)`";
const TIP_NEXT: &str =
    "write `k=v`, `k!=v`, `k in (a, b)`, `k notin (a, b)`, `k` or `!k`, joined by commas";

pub(super) fn parse(text: &str) -> Result<Vec<Requirement>, SelectorError> {
    if text.len() > SELECTOR_LEN_MAX {
        return Err(SelectorError {
            kind: SelectorErrorKind::TooLong,
            position: SELECTOR_LEN_MAX + 1,
            message: format!("it is longer than {SELECTOR_LEN_MAX} bytes"),
            tip: "give the VMs a common label and select that",
        });
    }
    let mut reader = Reader::new(text);
    reader.skip_space();
    if reader.peek().is_none() {
        // An empty selector would claim the whole fleet by accident.
        return Err(reader.error(
            SelectorErrorKind::Empty,
            "the selector is empty".to_owned(),
            TIP_KEY,
        ));
    }
    let mut requirements = Vec::new();
    loop {
        requirements.push(reader.requirement()?);
        reader.skip_space();
        match reader.peek() {
            None => return Ok(requirements),
            Some(',') => reader.next(),
            Some(other) => {
                let message = format!("`{other}` is unexpected here");
                return Err(reader.error(SelectorErrorKind::Unexpected, message, TIP_NEXT));
            }
        }
    }
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':' | '@')
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn new(text: &str) -> Self {
        Self {
            chars: text.chars().collect(),
            at: 0,
        }
    }

    fn peek(&self) -> Option<char> {
        self.chars.get(self.at).copied()
    }

    fn next(&mut self) {
        self.at += 1;
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(char::is_whitespace) {
            self.next();
        }
    }

    fn take(&mut self, expected: char) -> bool {
        let found = self.peek() == Some(expected);
        if found {
            self.next();
        }
        found
    }

    fn error(&self, kind: SelectorErrorKind, message: String, tip: &'static str) -> SelectorError {
        SelectorError {
            kind,
            position: self.at + 1,
            message,
            tip,
        }
    }

    fn missing(&self, kind: SelectorErrorKind, what: &str, tip: &'static str) -> SelectorError {
        let found = match self.peek() {
            Some(c) => format!("`{c}`"),
            None => "the end".to_owned(),
        };
        self.error(kind, format!("expected {what}, found {found}"), tip)
    }

    fn word(&mut self) -> CompactString {
        let start = self.at;
        while self.peek().is_some_and(is_word) {
            self.next();
        }
        self.chars[start..self.at].iter().collect()
    }

    fn key(&mut self) -> Result<CompactString, SelectorError> {
        self.skip_space();
        let key = self.word();
        if key.is_empty() {
            return Err(self.missing(SelectorErrorKind::MissingKey, "a label key", TIP_KEY));
        }
        Ok(key)
    }

    fn value(&mut self) -> Result<CompactString, SelectorError> {
        self.skip_space();
        let value = self.word();
        if value.is_empty() {
            return Err(self.missing(SelectorErrorKind::MissingValue, "a value", TIP_VALUE));
        }
        Ok(value)
    }

    fn requirement(&mut self) -> Result<Requirement, SelectorError> {
        self.skip_space();
        if self.take('!') {
            let key = self.key()?;
            return Ok(Requirement {
                key,
                condition: Condition::Absent,
            });
        }
        let key = self.key()?;
        let condition = self.condition()?;
        Ok(Requirement { key, condition })
    }

    fn condition(&mut self) -> Result<Condition, SelectorError> {
        self.skip_space();
        match self.peek() {
            None | Some(',') => Ok(Condition::Present),
            Some('=') => {
                self.next();
                self.take('=');
                Ok(Condition::In(vec![self.value()?]))
            }
            Some('!') => {
                self.next();
                if !self.take('=') {
                    return Err(self.missing(SelectorErrorKind::Unexpected, "`=`", TIP_NEXT));
                }
                Ok(Condition::NotIn(vec![self.value()?]))
            }
            Some(_) => self.set_condition(),
        }
    }

    fn set_condition(&mut self) -> Result<Condition, SelectorError> {
        let start = self.at;
        let operator = self.word();
        match operator.as_str() {
            "in" => Ok(Condition::In(self.list()?)),
            "notin" => Ok(Condition::NotIn(self.list()?)),
            _ => {
                self.at = start;
                Err(self.missing(
                    SelectorErrorKind::Unexpected,
                    "`=`, `!=`, `in`, `notin` or a comma",
                    TIP_NEXT,
                ))
            }
        }
    }

    fn list(&mut self) -> Result<Vec<CompactString>, SelectorError> {
        self.skip_space();
        if !self.take('(') {
            return Err(self.missing(SelectorErrorKind::MissingList, "`(`", TIP_LIST));
        }
        let mut values = Vec::new();
        loop {
            values.push(self.value()?);
            self.skip_space();
            if self.take(')') {
                return Ok(values);
            }
            if !self.take(',') {
                return Err(self.missing(SelectorErrorKind::MissingList, "`,` or `)`", TIP_LIST));
            }
        }
    }
}
