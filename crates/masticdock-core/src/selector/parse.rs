//! Recursive descent parser for selectors.

use compact_str::CompactString;

use super::{Condition, Requirement, SELECTOR_LEN_MAX, SelectorError, SelectorErrorKind};

const TIP_KEY: &str = "write a label key, for example `zone=a`";
const TIP_VALUE: &str =
    "values consist of letters, digits, `-`, `_`, `.`, `/`, `:` and `@`, for example `zone=a`";
const TIP_LIST: &str = "put the values in parentheses, for example `zone in (a, b)`";
const TIP_REQUIREMENT: &str =
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
    let mut parser = Parser::new(text);
    parser.skip_whitespace();
    if parser.peek().is_none() {
        // An empty selector would match every VM of the fleet, most likely by mistake.
        return Err(parser.error(
            SelectorErrorKind::Empty,
            "the selector is empty".to_owned(),
            TIP_KEY,
        ));
    }
    let mut requirements = Vec::new();
    loop {
        requirements.push(parser.requirement()?);
        parser.skip_whitespace();
        match parser.peek() {
            None => return Ok(requirements),
            Some(',') => parser.advance(),
            Some(other) => {
                let message = format!("`{other}` is unexpected here");
                return Err(parser.error(SelectorErrorKind::Unexpected, message, TIP_REQUIREMENT));
            }
        }
    }
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | ':' | '@')
}

struct Parser {
    chars: Vec<char>,
    cursor: usize,
}

impl Parser {
    fn new(text: &str) -> Self {
        Self {
            chars: text.chars().collect(),
            cursor: 0,
        }
    }

    fn peek(&self) -> Option<char> {
        self.chars.get(self.cursor).copied()
    }

    fn advance(&mut self) {
        self.cursor += 1;
    }

    fn skip_whitespace(&mut self) {
        while self.peek().is_some_and(char::is_whitespace) {
            self.advance();
        }
    }

    fn consume_if(&mut self, expected: char) -> bool {
        let found = self.peek() == Some(expected);
        if found {
            self.advance();
        }
        found
    }

    fn error(&self, kind: SelectorErrorKind, message: String, tip: &'static str) -> SelectorError {
        SelectorError {
            kind,
            position: self.cursor + 1,
            message,
            tip,
        }
    }

    fn expected_error(
        &self,
        kind: SelectorErrorKind,
        what: &str,
        tip: &'static str,
    ) -> SelectorError {
        let found = match self.peek() {
            Some(c) => format!("`{c}`"),
            None => "the end".to_owned(),
        };
        self.error(kind, format!("expected {what}, found {found}"), tip)
    }

    fn word(&mut self) -> CompactString {
        let start = self.cursor;
        while self.peek().is_some_and(is_word_char) {
            self.advance();
        }
        self.chars[start..self.cursor].iter().collect()
    }

    fn key(&mut self) -> Result<CompactString, SelectorError> {
        self.skip_whitespace();
        let key = self.word();
        if key.is_empty() {
            return Err(self.expected_error(SelectorErrorKind::MissingKey, "a label key", TIP_KEY));
        }
        Ok(key)
    }

    fn value(&mut self) -> Result<CompactString, SelectorError> {
        self.skip_whitespace();
        let value = self.word();
        if value.is_empty() {
            return Err(self.expected_error(SelectorErrorKind::MissingValue, "a value", TIP_VALUE));
        }
        Ok(value)
    }

    fn requirement(&mut self) -> Result<Requirement, SelectorError> {
        self.skip_whitespace();
        if self.consume_if('!') {
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
        self.skip_whitespace();
        match self.peek() {
            None | Some(',') => Ok(Condition::Present),
            Some('=') => {
                self.advance();
                self.consume_if('=');
                Ok(Condition::In(vec![self.value()?]))
            }
            Some('!') => {
                self.advance();
                if !self.consume_if('=') {
                    return Err(self.expected_error(
                        SelectorErrorKind::Unexpected,
                        "`=`",
                        TIP_REQUIREMENT,
                    ));
                }
                Ok(Condition::NotIn(vec![self.value()?]))
            }
            Some(_) => self.set_condition(),
        }
    }

    fn set_condition(&mut self) -> Result<Condition, SelectorError> {
        let start = self.cursor;
        let operator = self.word();
        match operator.as_str() {
            "in" => Ok(Condition::In(self.value_list()?)),
            "notin" => Ok(Condition::NotIn(self.value_list()?)),
            _ => {
                self.cursor = start;
                Err(self.expected_error(
                    SelectorErrorKind::Unexpected,
                    "`=`, `!=`, `in`, `notin` or a comma",
                    TIP_REQUIREMENT,
                ))
            }
        }
    }

    fn value_list(&mut self) -> Result<Vec<CompactString>, SelectorError> {
        self.skip_whitespace();
        if !self.consume_if('(') {
            return Err(self.expected_error(SelectorErrorKind::MissingList, "`(`", TIP_LIST));
        }
        let mut values = Vec::new();
        loop {
            values.push(self.value()?);
            self.skip_whitespace();
            if self.consume_if(')') {
                return Ok(values);
            }
            if !self.consume_if(',') {
                return Err(self.expected_error(
                    SelectorErrorKind::MissingList,
                    "`,` or `)`",
                    TIP_LIST,
                ));
            }
        }
    }
}
