//! What a file may say: forms of known names, each with the type, unit, number and meaning of what stands in it. A name
//! that is not known is refused with the nearest one that is.

use crate::tree::{Fault, Node, Place, Tree};
use std::net::SocketAddr;
use std::time::Duration;

/// What stands behind a name.
#[derive(Clone, Copy)]
pub enum Kind {
    Text,
    /// An IP address with its port, as text: names are not looked up.
    Address,
    /// A whole number.
    Count,
    /// A number over zero.
    Number,
    /// With its unit: `us`, `ms`, `s`, `m` or `h`.
    Span,
    /// `0.22` or `22%`.
    Share,
    /// Kilobytes a second: `310KB/s`, `1.2MB/s`.
    Pace,
    /// Times a second: `200/s`.
    Rate,
    Flag,
    OneOf(&'static [&'static str]),
    Form(&'static Form),
}

/// How often a name may stand in its form.
#[derive(Clone, Copy, PartialEq)]
pub enum Often {
    Once,
    /// With what holds where it is left out, for people.
    Maybe(&'static str),
    Any,
    AtLeastOnce,
}

pub struct Field {
    pub name: &'static str,
    pub kind: Kind,
    pub often: Often,
    pub about: &'static str,
}

pub struct Form {
    /// Whether a name of its own, a text, comes first.
    pub titled: bool,
    pub fields: &'static [Field],
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Text(String),
    Address(SocketAddr),
    Count(u64),
    Number(f64),
    Span(Duration),
    Flag(bool),
    Word(&'static str),
    Form(Checked),
}

/// A form as it was read: its title, and what stands behind each name, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checked {
    pub at: Place,
    pub title: String,
    pub values: Vec<(&'static str, Place, Value)>,
}

impl Kind {
    /// What should have stood there.
    pub fn wanted(self) -> String {
        match self {
            Kind::Text => "a text in double quotes".into(),
            Kind::Address => "an address and port in double quotes, as \"127.0.0.1:18000\"".into(),
            Kind::Count => "a whole number".into(),
            Kind::Number => "a number over zero".into(),
            Kind::Span => "a time with its unit, as 250ms, 1.5s, 2m or 1h".into(),
            Kind::Share => "a share, as 0.22 or 22%".into(),
            Kind::Pace => "kilobytes or megabytes a second, as 310KB/s or 1.2MB/s".into(),
            Kind::Rate => "times a second, as 200/s".into(),
            Kind::Flag => "yes or no".into(),
            Kind::OneOf(words) => format!("one of {}", words.join(", ")),
            Kind::Form(_) => "a form".into(),
        }
    }

    fn read(self, node: &Node) -> Option<Value> {
        let measure = |word: &str, units: &[(&str, f64)]| {
            let (unit, times) = units.iter().find(|(unit, _)| word.ends_with(unit))?;
            let n: f64 = word[..word.len() - unit.len()].parse().ok()?;
            Some(n * times).filter(|n| n.is_finite() && *n >= 0.0)
        };
        Some(match (self, node) {
            (Kind::Text, Node::Text(text)) => Value::Text(text.clone()),
            (Kind::Address, Node::Text(text)) => Value::Address(text.parse().ok()?),
            (Kind::Count, Node::Word(word)) => Value::Count(word.parse().ok()?),
            (Kind::Number, Node::Word(word)) => {
                Value::Number(word.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0)?)
            }
            (Kind::Span, Node::Word(word)) => {
                let units = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("m", 60.0), ("h", 3600.0)];
                Value::Span(Duration::try_from_secs_f64(measure(word, &units)?).ok()?)
            }
            (Kind::Share, Node::Word(word)) => {
                Value::Number(measure(word, &[("%", 0.01), ("", 1.0)]).filter(|share| *share <= 1.0)?)
            }
            (Kind::Pace, Node::Word(word)) => {
                Value::Number(measure(word, &[("KB/s", 1.0), ("MB/s", 1000.0)])?)
            }
            (Kind::Rate, Node::Word(word)) => Value::Number(measure(word, &[("/s", 1.0)])?),
            (Kind::Flag, Node::Word(word)) => Value::Flag(match word.as_str() {
                "yes" => true,
                "no" => false,
                _ => return None,
            }),
            (Kind::OneOf(words), Node::Word(word)) => Value::Word(words.iter().find(|known| *known == word)?),
            _ => return None,
        })
    }
}

/// The nearest known name, where one is near enough to be meant.
fn nearest(word: &str, known: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let near = known.map(|name| (strsim::damerau_levenshtein(word, name), name)).min()?;
    (near.0 <= near.1.len().max(word.len()) / 2).then_some(near.1)
}

fn fault(faults: &mut Vec<Fault>, at: Place, what: String) {
    faults.push(Fault { at, what });
}

/// Checks the forms of a whole file.
pub fn check(form: &'static Form, trees: &[Tree], faults: &mut Vec<Fault>) -> Checked {
    inside(form, Place { line: 1, column: 1 }, "the file", String::new(), trees, faults)
}

fn inside(
    form: &'static Form,
    at: Place,
    named: &str,
    title: String,
    trees: &[Tree],
    faults: &mut Vec<Fault>,
) -> Checked {
    let mut checked = Checked { at, title, values: Vec::new() };
    for tree in trees {
        let Node::List(parts) = &tree.node else {
            fault(faults, tree.at, format!("{named} holds forms in parentheses alone"));
            continue;
        };
        let Some((Tree { node: Node::Word(word), at }, rest)) = parts.split_first() else {
            fault(faults, tree.at, "a form that does not begin with a name".into());
            continue;
        };
        let Some(field) = form.fields.iter().find(|field| field.name == word) else {
            let meant = nearest(word, form.fields.iter().map(|field| field.name));
            let meant = meant.map(|name| format!("; is {name} meant?")).unwrap_or_default();
            fault(faults, *at, format!("{word} is not known in {named}{meant}"));
            continue;
        };
        let again = checked.values.iter().find(|(name, ..)| *name == field.name);
        if let Some((_, first, _)) = again.filter(|_| matches!(field.often, Often::Once | Often::Maybe(_))) {
            fault(faults, *at, format!("{word} stands in {named} already, on line {}", first.line));
            continue;
        }
        if let Some(value) = value(field, *at, rest, faults) {
            checked.values.push((field.name, *at, value));
        }
    }
    for field in form.fields {
        let wanted = matches!(field.often, Often::Once | Often::AtLeastOnce);
        let stands = |tree: &Tree| match &tree.node {
            Node::List(parts) => {
                matches!(parts.first(), Some(Tree { node: Node::Word(word), .. }) if word == field.name)
            }
            _ => false,
        };
        if wanted && !trees.iter().any(stands) {
            fault(faults, at, format!("{named} lacks {}: {}", field.name, field.about));
        }
    }
    checked
}

fn value(field: &'static Field, at: Place, rest: &[Tree], faults: &mut Vec<Fault>) -> Option<Value> {
    let Kind::Form(form) = field.kind else {
        let [only] = rest else {
            let count = rest.len();
            fault(faults, at, format!("{} takes {}, and {count} are there", field.name, field.kind.wanted()));
            return None;
        };
        let read = field.kind.read(&only.node);
        if read.is_none() {
            let found = match &only.node {
                Node::List(_) => "a list".to_owned(),
                Node::Word(word) => word.clone(),
                Node::Text(text) => format!("{text:?}"),
            };
            fault(faults, only.at, format!("{} takes {}, not {found}", field.name, field.kind.wanted()));
        }
        return read;
    };
    let (title, rest) = match rest.split_first() {
        Some((Tree { node: Node::Text(title), .. }, rest)) if form.titled => (title.clone(), rest),
        _ if form.titled => {
            fault(faults, at, format!("{} begins with its own name in double quotes", field.name));
            (String::new(), rest)
        }
        _ => (String::new(), rest),
    };
    let named = if form.titled { format!("{} {title:?}", field.name) } else { field.name.to_owned() };
    Some(Value::Form(inside(form, at, &named, title, rest, faults)))
}

impl Checked {
    fn find(&self, name: &str) -> Option<&Value> {
        self.values.iter().find(|(known, ..)| *known == name).map(|(.., value)| value)
    }

    /// Where a name stands, else where its form does.
    pub fn place(&self, name: &str) -> Place {
        self.values.iter().find(|(known, ..)| *known == name).map_or(self.at, |(_, at, _)| *at)
    }

    pub fn forms(&self, name: &str) -> impl Iterator<Item = &Checked> {
        let values = self.values.iter().filter(move |(known, ..)| *known == name);
        values.filter_map(|(.., value)| if let Value::Form(form) = value { Some(form) } else { None })
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.find(name)? {
            Value::Text(text) => Some(text),
            Value::Word(word) => Some(word),
            _ => None,
        }
    }

    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        if let Value::Address(address) = self.find(name)? { Some(*address) } else { None }
    }

    /// All texts, or addresses, that stand behind a name.
    pub fn texts(&self, name: &str) -> impl Iterator<Item = &str> {
        let values = self.values.iter().filter(move |(known, ..)| *known == name);
        values
            .filter_map(|(.., value)| if let Value::Text(text) = value { Some(text.as_str()) } else { None })
    }

    pub fn addresses(&self, name: &str) -> impl Iterator<Item = SocketAddr> {
        let values = self.values.iter().filter(move |(known, ..)| *known == name);
        values
            .filter_map(|(.., value)| if let Value::Address(address) = value { Some(*address) } else { None })
    }

    pub fn count(&self, name: &str) -> Option<u64> {
        if let Value::Count(count) = self.find(name)? { Some(*count) } else { None }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        if let Value::Number(number) = self.find(name)? { Some(*number) } else { None }
    }

    pub fn span(&self, name: &str) -> Option<Duration> {
        if let Value::Span(span) = self.find(name)? { Some(*span) } else { None }
    }

    pub fn flag(&self, name: &str) -> Option<bool> {
        if let Value::Flag(flag) = self.find(name)? { Some(*flag) } else { None }
    }
}

/// All that a form may hold, for people: name, what stands there, what holds without it, what it is for.
pub fn explain(form: &Form, depth: usize, out: &mut String) {
    for field in form.fields {
        let often = match field.often {
            Often::Once => "needed".to_owned(),
            Often::Maybe(without) => format!("else {without}"),
            Often::Any => "any number".to_owned(),
            Often::AtLeastOnce => "one or more".to_owned(),
        };
        let (indent, about) = ("  ".repeat(depth), field.about);
        if let Kind::Form(inner) = field.kind {
            let title = if inner.titled { " \"NAME\"" } else { "" };
            out.push_str(&format!("{indent}({}{title} ...)  [{often}] {about}\n", field.name));
            explain(inner, depth + 1, out);
        } else {
            out.push_str(&format!(
                "{indent}({} ...)  {} [{often}] {about}\n",
                field.name,
                field.kind.wanted()
            ));
        }
    }
}
