//! Conversion of the row writes of the core into table writes.

use compact_str::CompactString;
use masticdock_core::table_row::{AttributeValue, RowCondition, RowWrite};

use super::{Condition, Item, ItemKey, Value, Write};

fn attribute_value(field: &AttributeValue) -> Value {
    match field {
        AttributeValue::Text(text) => Value::Text(text.clone()),
        AttributeValue::Number(number) => Value::Number(*number),
    }
}

impl From<&RowWrite> for Write {
    fn from(row: &RowWrite) -> Self {
        let key = ItemKey::new(row.pk.clone(), row.sk.clone());
        let condition = match &row.condition {
            RowCondition::Always => Condition::Always,
            RowCondition::Absent => Condition::Absent,
            RowCondition::Equals(name, field) => {
                Condition::Equals(CompactString::const_new(name), attribute_value(field))
            }
        };
        let Some(attributes) = &row.attributes else {
            return Self::Delete { key, condition };
        };
        let mut item = Item::new(key);
        for (name, field) in attributes {
            item.attributes
                .insert(CompactString::const_new(name), attribute_value(field));
        }
        Self::Put { item, condition }
    }
}
