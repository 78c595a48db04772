//! Renders the settings templates of the deploy file, for the placeholders and sections that they
//! use.

use serde_json::Value;

const OPEN: &str = "{{";
const CLOSE: &str = "}}";

/// Renders `template` with the values in `fields`. Nothing is rendered for a value that is null.
///
/// `{{a.0}}` is a value by its path. `{{#a}}..{{/a}}` is rendered once for each entry of a list or
/// table, with `{{.}}` for the entry, `{{@}}` for its key or index and `{{,}}` for a comma unless
/// it is the last.
pub fn render(template: &str, fields: &Value) -> String {
    let mut rendered = String::new();
    let mut rest = template;
    while let Some((before, name, after)) = next_placeholder(rest) {
        rendered.push_str(before);
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{OPEN}/{section}{CLOSE}");
            let (inner, after) = after.split_once(&end).expect("the section has an end");
            rendered.push_str(&render_section(inner, lookup(fields, section)));
            rest = after;
        } else {
            rendered.push_str(&text_of(lookup(fields, name)));
        }
    }
    rendered + rest
}

/// Text before the next placeholder, its name, and the text after it.
fn next_placeholder(template: &str) -> Option<(&str, &str, &str)> {
    let (before, rest) = template.split_once(OPEN)?;
    let (name, after) = rest.split_once(CLOSE).expect("the placeholder has an end");
    Some((before, name, after))
}

fn render_section(inner: &str, value: &Value) -> String {
    let entries: Vec<(String, &Value)> = match value {
        Value::Array(list) => {
            list.iter().enumerate().map(|(index, entry)| (index.to_string(), entry)).collect()
        }
        Value::Object(table) => table.iter().map(|(key, entry)| (key.clone(), entry)).collect(),
        Value::Null => Vec::new(),
        other => panic!("{other} has no entries"),
    };
    let last = entries.len().saturating_sub(1);
    let rendered = entries.iter().enumerate().map(|(index, (key, entry))| {
        let comma = if index == last { "" } else { "," };
        let text = inner.replace("{{.}}", &text_of(entry)).replace("{{@}}", key);
        text.replace("{{,}}", comma)
    });
    rendered.collect()
}

fn lookup<'a>(fields: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(fields, |value, part| {
        let found = match part.parse::<usize>() {
            Ok(index) => value.get(index),
            Err(_) => value.get(part),
        };
        found.unwrap_or_else(|| panic!("{path} has no value"))
    })
}

fn text_of(value: &Value) -> String {
    if value.is_null() {
        return String::new();
    }
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

#[test]
fn placeholders_and_sections_are_rendered() {
    let fields = serde_json::json!({
        "name": "a-1",
        "ports": [7, 8],
        "zones": {"x": "r", "y": "r"},
        "bounds": {"graceS": 6},
        "none": null,
    });
    let template = "{{name}}{{none}}:{{ports.1}} [{{#ports}}\"{{.}}\"{{,}}{{/ports}}] \
                    [{{#zones}}{{@}}{{,}}{{/zones}}{{#none}}{{.}}{{/none}}] {{bounds.graceS}}s";

    let rendered = render(template, &fields);

    assert_eq!(rendered, r#"a-1:8 ["7","8"] [x,y] 6s"#);
}
