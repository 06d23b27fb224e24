//! YAML values with the places of their parts.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

use super::to_place;
use crate::Place;

/// A YAML value.
#[derive(Debug, Clone)]
pub enum Tree {
    /// A single value.
    Scalar(Scalar),
    /// A list.
    List(Vec<Placed>),
    /// A table, in the order of the text.
    Table(Vec<Field>),
}

/// A single value.
#[derive(Debug, Clone, PartialEq)]
pub enum Scalar {
    /// The null value.
    Null,
    /// A boolean.
    Bool(bool),
    /// A non-negative whole number.
    Unsigned(u64),
    /// Any other number.
    Float(f64),
    /// A text.
    Text(String),
}

/// A value with its place.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The value.
    pub tree: Tree,
    /// Where it begins.
    pub place: Place,
}

/// A key with its value.
#[derive(Debug, Clone)]
pub struct Field {
    /// The key.
    pub key: String,
    /// Where the key begins.
    pub place: Place,
    /// The value.
    pub value: Placed,
}

impl Tree {
    /// The type of this value, for messages.
    pub fn describe(&self) -> &'static str {
        match self {
            Tree::Scalar(Scalar::Null) => "nothing",
            Tree::Scalar(Scalar::Bool(_)) => "true or false",
            Tree::Scalar(Scalar::Unsigned(_) | Scalar::Float(_)) => "a number",
            Tree::Scalar(Scalar::Text(_)) => "text",
            Tree::List(_) => "a list",
            Tree::Table(_) => "a table",
        }
    }
}

impl Placed {
    fn from_spanned(spanned: Spanned<Tree>) -> Placed {
        Placed {
            place: to_place(&spanned.referenced),
            tree: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Tree, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

#[derive(Debug)]
struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Null))
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Null))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Tree, D::Error> {
        Tree::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Bool(value)))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Unsigned(value)))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Tree, E> {
        let scalar = match u64::try_from(value) {
            Ok(value) => Scalar::Unsigned(value),
            Err(_) => Scalar::Float(value as f64),
        };
        Ok(Tree::Scalar(scalar))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Float(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Text(value.to_owned())))
    }

    fn visit_string<E>(self, value: String) -> Result<Tree, E> {
        Ok(Tree::Scalar(Scalar::Text(value)))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Tree>>()? {
            list.push(Placed::from_spanned(item));
        }
        Ok(Tree::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut fields = Vec::new();
        while let Some(key) = map.next_key::<Spanned<String>>()? {
            let value = map.next_value::<Spanned<Tree>>()?;
            fields.push(Field {
                place: to_place(&key.referenced),
                key: key.value,
                value: Placed::from_spanned(value),
            });
        }
        Ok(Tree::Table(fields))
    }
}
