//! S-expressions with the place of each in the text. A fault ends nothing: reading goes on behind it, so that all are told.

use std::fmt;
use winnow::ascii::{multispace1, till_line_ending};
use winnow::combinator::{alt, delimited, preceded, repeat};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{any, none_of, take_while};

/// Lists in lists; a file that goes deeper is a mistake, and reading it must not use up the stack.
const DEEPEST: usize = 64;

/// A place in the text, both counted from 1, columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub line: usize,
    pub column: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub at: Place,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.at.line, self.at.column, self.what)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Node {
    List(Vec<Tree>),
    /// A bare word: a name, a number with its unit.
    Word(String),
    /// Between double quotes.
    Text(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tree {
    pub at: Place,
    pub node: Node,
}

#[derive(Clone)]
enum Token {
    Open,
    Close,
    Word(String),
    Text(String),
    Blank,
    Broken(&'static str),
}

type Input<'a> = LocatingSlice<&'a str>;

fn escaped(input: &mut Input<'_>) -> ModalResult<char> {
    preceded('\\', any).map(|c| if c == 'n' { '\n' } else { c }).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<Token> {
    let inside = repeat(0.., alt((none_of(['"', '\\']), escaped)));
    alt((
        multispace1.value(Token::Blank),
        preceded(';', till_line_ending).value(Token::Blank),
        '('.value(Token::Open),
        ')'.value(Token::Close),
        delimited('"', inside, '"').map(Token::Text),
        // A text without its end takes the rest of its line, so that what follows is still read.
        preceded('"', till_line_ending).value(Token::Broken("a text without its closing quote")),
        take_while(1.., |c: char| !c.is_whitespace() && !c.is_control() && !"();\"".contains(c))
            .map(|word: &str| Token::Word(word.to_owned())),
        any.value(Token::Broken("a character that belongs to nothing")),
    ))
    .parse_next(input)
}

/// Turns offsets, asked for in rising order, into places.
struct Places<'a> {
    text: &'a str,
    offset: usize,
    place: Place,
}

impl Places<'_> {
    fn of(&mut self, offset: usize) -> Place {
        for c in self.text[self.offset..offset].chars() {
            if c == '\n' {
                self.place = Place { line: self.place.line + 1, column: 1 };
            } else {
                self.place.column += 1;
            }
        }
        self.offset = offset;
        self.place
    }
}

/// All that can be read of a text, and what can't.
pub fn read(text: &str) -> (Vec<Tree>, Vec<Fault>) {
    let mut input = LocatingSlice::new(text);
    let mut places = Places { text, offset: 0, place: Place { line: 1, column: 1 } };
    let (mut open, mut here, mut faults) = (Vec::<(Place, Vec<Tree>)>::new(), Vec::new(), Vec::new());
    let mut too_deep = 0;
    while !input.is_empty() {
        let offset = input.current_token_start();
        let Ok(token) = token(&mut input) else { break };
        let at = places.of(offset);
        match token {
            Token::Blank => {}
            Token::Broken(what) => faults.push(Fault { at, what: what.into() }),
            Token::Word(word) => here.push(Tree { at, node: Node::Word(word) }),
            Token::Text(text) => here.push(Tree { at, node: Node::Text(text) }),
            Token::Open if open.len() >= DEEPEST => {
                if too_deep == 0 {
                    faults.push(Fault { at, what: format!("more than {DEEPEST} lists in one another") });
                }
                too_deep += 1;
            }
            Token::Open => open.push((at, std::mem::take(&mut here))),
            Token::Close if too_deep > 0 => too_deep -= 1,
            Token::Close => match open.pop() {
                Some((at, outer)) => {
                    let list = std::mem::replace(&mut here, outer);
                    here.push(Tree { at, node: Node::List(list) });
                }
                None => faults.push(Fault { at, what: "a ')' that closes nothing".into() }),
            },
        }
    }
    // What was never closed is read as if it ended here.
    while let Some((at, outer)) = open.pop() {
        faults.push(Fault { at, what: "a '(' that is never closed".into() });
        let list = std::mem::replace(&mut here, outer);
        here.push(Tree { at, node: Node::List(list) });
    }
    (here, faults)
}
