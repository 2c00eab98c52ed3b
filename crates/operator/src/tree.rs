//! Parses S-expressions and records the position of each in the text. An error does not end the parsing, so that all
//! errors of a text are reported.

use std::fmt;
use winnow::ascii::{multispace1, till_line_ending};
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, take_while};

/// Maximum nesting of lists. A file with deeper nesting is a mistake, and must not overflow the stack.
const MAX_DEPTH: usize = 64;

/// A position in the text. Lines and columns are counted from 1, columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    pub at: Position,
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.at.line, self.at.column, self.message)
    }
}

/// A list or a value.
#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    List(Vec<Tree>),
    /// A word without quotes: a name, or a number with or without a unit.
    Word(String),
    /// A text in double quotes.
    Text(String),
}

/// A node with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    pub at: Position,
    pub node: Node,
}

#[derive(Clone)]
enum Token {
    Open,
    Close,
    Word(String),
    Text(String),
    Blank,
    Invalid(&'static str),
}

type Input<'a> = LocatingSlice<&'a str>;

fn escaped(input: &mut Input<'_>) -> ModalResult<char> {
    preceded('\\', any).map(|character| if character == 'n' { '\n' } else { character }).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    let content = repeat(0.., alt((none_of(['"', '\\']), escaped)));
    alt((
        multispace1.value(Token::Blank),
        preceded(';', till_line_ending).value(Token::Blank),
        '('.value(Token::Open),
        ')'.value(Token::Close),
        delimited('"', content, '"').map(Token::Text),
        // An unterminated text ends at the end of its line, so that the following lines are still parsed.
        preceded('"', till_line_ending).value(Token::Invalid("unterminated text: add the closing quote")),
        take_while(1.., |character: char| {
            !character.is_whitespace() && !character.is_control() && !"();\"".contains(character)
        })
        .map(|word: &str| Token::Word(word.to_owned())),
        any.value(Token::Invalid("unexpected character: remove it")),
    ))
    .parse_next(input)
}

/// Converts byte offsets, requested in ascending order, into positions.
struct PositionTracker<'a> {
    text: &'a str,
    offset: usize,
    position: Position,
}

impl PositionTracker<'_> {
    fn position_at(&mut self, offset: usize) -> Position {
        for character in self.text[self.offset..offset].chars() {
            if character == '\n' {
                self.position = Position { line: self.position.line + 1, column: 1 };
            } else {
                self.position.column += 1;
            }
        }
        self.offset = offset;
        self.position
    }
}

/// Parses a text. Returns everything that can be parsed, and the errors.
pub fn read(text: &str) -> (Vec<Tree>, Vec<FileError>) {
    let mut input = LocatingSlice::new(text);
    let mut positions = PositionTracker { text, offset: 0, position: Position { line: 1, column: 1 } };
    let (mut open, mut current, mut errors) = (Vec::<(Position, Vec<Tree>)>::new(), Vec::new(), Vec::new());
    let mut too_deep = 0;
    while !input.is_empty() {
        let offset = input.current_token_start();
        let Ok(token) = token(&mut input) else { break };
        let at = positions.position_at(offset);
        match token {
            Token::Blank => {}
            Token::Invalid(message) => errors.push(FileError { at, message: message.into() }),
            Token::Word(word) => current.push(Tree { at, node: Node::Word(word) }),
            Token::Text(text) => current.push(Tree { at, node: Node::Text(text) }),
            Token::Open if open.len() >= MAX_DEPTH => {
                if too_deep == 0 {
                    errors.push(FileError {
                        at,
                        message: format!("lists nested more than {MAX_DEPTH} deep: close some of them first"),
                    });
                }
                too_deep += 1;
            }
            Token::Open => open.push((at, std::mem::take(&mut current))),
            Token::Close if too_deep > 0 => too_deep -= 1,
            Token::Close => match open.pop() {
                Some((at, outer)) => {
                    let list = std::mem::replace(&mut current, outer);
                    current.push(Tree { at, node: Node::List(list) });
                }
                None => errors.push(FileError { at, message: "unmatched ')': remove it".into() }),
            },
        }
    }
    // Unclosed lists are treated as if they ended here.
    while let Some((at, outer)) = open.pop() {
        errors.push(FileError { at, message: "unclosed '(': add the closing ')'".into() });
        let list = std::mem::replace(&mut current, outer);
        current.push(Tree { at, node: Node::List(list) });
    }
    (current, errors)
}
