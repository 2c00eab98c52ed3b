//! Reading and writing the fields of protobuf structs, in which notices and the metadata of hosts and nodes are encoded.

use envoy_types::pb::google::protobuf::value::Kind as ProtoValue;
use envoy_types::pb::google::protobuf::{ListValue, Struct, Value};

/// A number.
pub fn number_value(number: f64) -> Value {
    Value { kind: Some(ProtoValue::NumberValue(number)) }
}

/// A text.
pub fn text_value(text: String) -> Value {
    Value { kind: Some(ProtoValue::StringValue(text)) }
}

/// A flag.
pub fn bool_value(flag: bool) -> Value {
    Value { kind: Some(ProtoValue::BoolValue(flag)) }
}

/// A struct of named values.
pub fn fields<const N: usize>(pairs: [(&str, Value); N]) -> Struct {
    Struct { fields: pairs.into_iter().map(|(name, value)| (name.to_owned(), value)).collect() }
}

/// A finite number that is not negative.
pub fn number_field(fields: &Struct, name: &str) -> Option<f64> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::NumberValue(number) => {
            Some(*number).filter(|number| number.is_finite() && *number >= 0.0)
        }
        _ => None,
    }
}

/// A text.
pub fn text_field<'a>(fields: &'a Struct, name: &str) -> Option<&'a str> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::StringValue(text) => Some(text),
        _ => None,
    }
}

/// A flag.
pub fn flag_field(fields: &Struct, name: &str) -> Option<bool> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::BoolValue(flag) => Some(*flag),
        _ => None,
    }
}

/// A list of structs.
pub fn list_value(structs: Vec<Struct>) -> Value {
    let value = |fields| Value { kind: Some(ProtoValue::StructValue(fields)) };
    Value {
        kind: Some(ProtoValue::ListValue(ListValue { values: structs.into_iter().map(value).collect() })),
    }
}

/// The values of a list.
pub fn list_field<'a>(fields: &'a Struct, name: &str) -> Option<&'a [Value]> {
    match fields.fields.get(name)?.kind.as_ref()? {
        ProtoValue::ListValue(list) => Some(&list.values),
        _ => None,
    }
}

/// The fields of a struct.
pub fn struct_of(value: &Value) -> Option<&Struct> {
    match value.kind.as_ref()? {
        ProtoValue::StructValue(fields) => Some(fields),
        _ => None,
    }
}
