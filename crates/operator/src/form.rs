//! Checks a file against its known forms. A form defines its fields with their types, units, occurrence and meaning. The
//! error for an unknown name suggests the nearest known one.

use crate::tree::{FileError, Node, Position, Tree};
use std::net::SocketAddr;
use std::time::Duration;

/// The type of the value of a field.
#[derive(Clone, Copy)]
pub enum Kind {
    Text,
    /// An IP address with a port, as text. Host names are not resolved.
    Address,
    /// A whole number.
    Count,
    /// A number above zero.
    Number,
    /// A duration with its unit: `us`, `ms`, `s`, `m` or `h`.
    Duration,
    /// A fraction: `0.22` or `22%`.
    Fraction,
    /// A transfer rate in kilobytes per second: `310KB/s`, `1.2MB/s`.
    TransferRate,
    /// A rate per second: `200/s`.
    Rate,
    Flag,
    OneOf(&'static [&'static str]),
    Form(&'static Form),
}

/// How often a field may occur in its form.
#[derive(Clone, Copy, PartialEq)]
pub enum Occurrence {
    Once,
    /// At most once, with a description of the default.
    Optional(&'static str),
    Any,
    AtLeastOnce,
}

/// A field of a form.
pub struct Field {
    pub name: &'static str,
    pub kind: Kind,
    pub occurrence: Occurrence,
    pub about: &'static str,
}

/// A form: a list that begins with a name.
pub struct Form {
    /// Whether its first value is a text with its own name.
    pub has_title: bool,
    pub fields: &'static [Field],
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Text(String),
    Address(SocketAddr),
    Count(u64),
    Number(f64),
    Duration(Duration),
    Flag(bool),
    Word(&'static str),
    Form(CheckedForm),
}

/// A checked form: its title, and its fields with their positions and values, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckedForm {
    pub at: Position,
    pub title: String,
    pub values: Vec<(&'static str, Position, Value)>,
}

impl Kind {
    /// Describes the expected value, for errors and explanations.
    pub fn expected(self) -> String {
        match self {
            Kind::Text => "a text in double quotes".into(),
            Kind::Address => "an address and port in double quotes, as in \"127.0.0.1:18000\"".into(),
            Kind::Count => "a whole number".into(),
            Kind::Number => "a number above zero".into(),
            Kind::Duration => "a time with its unit, as in 250ms, 1.5s, 2m or 1h".into(),
            Kind::Fraction => "a fraction, as in 0.22 or 22%".into(),
            Kind::TransferRate => "kilobytes or megabytes per second, as in 310KB/s or 1.2MB/s".into(),
            Kind::Rate => "a rate per second, as in 200/s".into(),
            Kind::Flag => "yes or no".into(),
            Kind::OneOf(words) => format!("one of {}", words.join(", ")),
            Kind::Form(_) => "a form".into(),
        }
    }

    fn read(self, node: &Node) -> Option<Value> {
        let measure = |word: &str, units: &[(&str, f64)]| {
            let (unit, factor) = units.iter().find(|(unit, _)| word.ends_with(unit))?;
            let number: f64 = word[..word.len() - unit.len()].parse().ok()?;
            Some(number * factor).filter(|value| value.is_finite() && *value >= 0.0)
        };
        Some(match (self, node) {
            (Kind::Text, Node::Text(text)) => Value::Text(text.clone()),
            (Kind::Address, Node::Text(text)) => Value::Address(text.parse().ok()?),
            (Kind::Count, Node::Word(word)) => Value::Count(word.parse().ok()?),
            (Kind::Number, Node::Word(word)) => {
                Value::Number(word.parse().ok().filter(|number: &f64| number.is_finite() && *number > 0.0)?)
            }
            (Kind::Duration, Node::Word(word)) => {
                let units = [("us", 1e-6), ("ms", 1e-3), ("s", 1.0), ("m", 60.0), ("h", 3600.0)];
                Value::Duration(Duration::try_from_secs_f64(measure(word, &units)?).ok()?)
            }
            (Kind::Fraction, Node::Word(word)) => {
                Value::Number(measure(word, &[("%", 0.01), ("", 1.0)]).filter(|fraction| *fraction <= 1.0)?)
            }
            (Kind::TransferRate, Node::Word(word)) => {
                Value::Number(measure(word, &[("KB/s", 1.0), ("MB/s", 1000.0)])?)
            }
            (Kind::Rate, Node::Word(word)) => Value::Number(measure(word, &[("/s", 1.0)])?),
            (Kind::Flag, Node::Word(word)) => Value::Flag(match word.as_str() {
                "yes" => true,
                "no" => false,
                _ => return None,
            }),
            (Kind::OneOf(words), Node::Word(word)) => {
                Value::Word(words.iter().find(|known_word| *known_word == word)?)
            }
            _ => return None,
        })
    }
}

/// The known name nearest to `word`, if it is near enough to be a likely match.
fn nearest(word: &str, known_names: impl Iterator<Item = &'static str>) -> Option<&'static str> {
    let (distance, name) = known_names.map(|name| (strsim::damerau_levenshtein(word, name), name)).min()?;
    (distance <= name.len().max(word.len()) / 2).then_some(name)
}

fn push_error(errors: &mut Vec<FileError>, at: Position, message: String) {
    errors.push(FileError { at, message });
}

/// Checks a whole file.
pub fn check(form: &'static Form, trees: &[Tree], errors: &mut Vec<FileError>) -> CheckedForm {
    check_fields(form, Position { line: 1, column: 1 }, "the file", String::new(), trees, errors)
}

fn check_fields(
    form: &'static Form,
    at: Position,
    form_label: &str,
    title: String,
    trees: &[Tree],
    errors: &mut Vec<FileError>,
) -> CheckedForm {
    let mut checked = CheckedForm { at, title, values: Vec::new() };
    for tree in trees {
        let Node::List(parts) = &tree.node else {
            push_error(
                errors,
                tree.at,
                format!("word or text outside a form in {form_label}: put it into parentheses"),
            );
            continue;
        };
        let Some((Tree { node: Node::Word(word), at }, rest)) = parts.split_first() else {
            push_error(errors, tree.at, "form without a name: put the name of a field first".into());
            continue;
        };
        let Some(field) = form.fields.iter().find(|field| field.name == word) else {
            let suggestion = nearest(word, form.fields.iter().map(|field| field.name));
            let suggestion = suggestion.map(|name| format!("; did you mean {name}?")).unwrap_or_default();
            push_error(errors, *at, format!("unknown name {word} in {form_label}{suggestion}"));
            continue;
        };
        let previous = checked.values.iter().find(|(name, ..)| *name == field.name);
        if let Some((_, first, _)) =
            previous.filter(|_| matches!(field.occurrence, Occurrence::Once | Occurrence::Optional(_)))
        {
            push_error(
                errors,
                *at,
                format!("duplicate {word} in {form_label}: it is already on line {}, remove one", first.line),
            );
            continue;
        }
        if let Some(value) = read_value(field, *at, rest, errors) {
            checked.values.push((field.name, *at, value));
        }
    }
    for field in form.fields {
        let is_required = matches!(field.occurrence, Occurrence::Once | Occurrence::AtLeastOnce);
        let is_present = |tree: &Tree| match &tree.node {
            Node::List(parts) => {
                matches!(parts.first(), Some(Tree { node: Node::Word(word), .. }) if word == field.name)
            }
            _ => false,
        };
        if is_required && !trees.iter().any(is_present) {
            push_error(errors, at, missing_field(form_label, field.name, field.about));
        }
    }
    checked
}

/// The error for a required field that is missing.
pub(crate) fn missing_field(form_label: &str, name: &str, about: &str) -> String {
    format!("missing {name} in {form_label}: add it ({about})")
}

fn read_value(
    field: &'static Field,
    at: Position,
    rest: &[Tree],
    errors: &mut Vec<FileError>,
) -> Option<Value> {
    let Kind::Form(form) = field.kind else {
        let [single] = rest else {
            let count = rest.len();
            push_error(
                errors,
                at,
                format!("{} expects {}, found {count} values", field.name, field.kind.expected()),
            );
            return None;
        };
        let value = field.kind.read(&single.node);
        if value.is_none() {
            let found = match &single.node {
                Node::List(_) => "a list".to_owned(),
                Node::Word(word) => word.clone(),
                Node::Text(text) => format!("{text:?}"),
            };
            push_error(
                errors,
                single.at,
                format!("{} expects {}, found {found}", field.name, field.kind.expected()),
            );
        }
        return value;
    };
    let (title, rest) = match rest.split_first() {
        Some((Tree { node: Node::Text(title), .. }, rest)) if form.has_title => (title.clone(), rest),
        _ if form.has_title => {
            push_error(
                errors,
                at,
                format!("{} has no name: put its name first, in double quotes", field.name),
            );
            (String::new(), rest)
        }
        _ => (String::new(), rest),
    };
    let form_label = if form.has_title { format!("{} {title:?}", field.name) } else { field.name.to_owned() };
    Some(Value::Form(check_fields(form, at, &form_label, title, rest, errors)))
}

impl CheckedForm {
    fn find(&self, name: &str) -> Option<&Value> {
        self.values.iter().find(|(field_name, ..)| *field_name == name).map(|(.., value)| value)
    }

    /// The position of a field, or of the form if the field is absent.
    pub fn position(&self, name: &str) -> Position {
        self.values.iter().find(|(field_name, ..)| *field_name == name).map_or(self.at, |(_, at, _)| *at)
    }

    /// All forms in a field.
    pub fn forms(&self, name: &str) -> impl Iterator<Item = &CheckedForm> {
        let values = self.values.iter().filter(move |(field_name, ..)| *field_name == name);
        values.filter_map(|(.., value)| if let Value::Form(form) = value { Some(form) } else { None })
    }

    /// The text or the word in a field.
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

    /// All texts in a field.
    pub fn texts(&self, name: &str) -> impl Iterator<Item = &str> {
        let values = self.values.iter().filter(move |(field_name, ..)| *field_name == name);
        values
            .filter_map(|(.., value)| if let Value::Text(text) = value { Some(text.as_str()) } else { None })
    }

    /// All addresses in a field.
    pub fn addresses(&self, name: &str) -> impl Iterator<Item = SocketAddr> {
        let values = self.values.iter().filter(move |(field_name, ..)| *field_name == name);
        values
            .filter_map(|(.., value)| if let Value::Address(address) = value { Some(*address) } else { None })
    }

    pub fn count(&self, name: &str) -> Option<u64> {
        if let Value::Count(count) = self.find(name)? { Some(*count) } else { None }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        if let Value::Number(number) = self.find(name)? { Some(*number) } else { None }
    }

    pub fn duration(&self, name: &str) -> Option<Duration> {
        if let Value::Duration(duration) = self.find(name)? { Some(*duration) } else { None }
    }

    pub fn flag(&self, name: &str) -> Option<bool> {
        if let Value::Flag(flag) = self.find(name)? { Some(*flag) } else { None }
    }
}

/// Describes the fields of a form to users: name, expected value, occurrence or default, and meaning.
pub fn explain(form: &Form, depth: usize, out: &mut String) {
    for field in form.fields {
        let occurrence = match field.occurrence {
            Occurrence::Once => "needed".to_owned(),
            Occurrence::Optional(default) => format!("else {default}"),
            Occurrence::Any => "any number".to_owned(),
            Occurrence::AtLeastOnce => "one or more".to_owned(),
        };
        let (indent, about) = ("  ".repeat(depth), field.about);
        if let Kind::Form(inner_form) = field.kind {
            let title = if inner_form.has_title { " \"NAME\"" } else { "" };
            out.push_str(&format!("{indent}({}{title} ...)  [{occurrence}] {about}\n", field.name));
            explain(inner_form, depth + 1, out);
        } else {
            out.push_str(&format!(
                "{indent}({} ...)  {} [{occurrence}] {about}\n",
                field.name,
                field.kind.expected()
            ));
        }
    }
}
