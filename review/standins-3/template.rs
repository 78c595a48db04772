//! Fills in the templates of the deploy file, with the placeholders that `deploy/` uses.

/// Value of a field.
#[derive(Debug, Clone)]
pub enum Field {
    Text(String),
    List(Vec<String>),
}

/// Fields by name.
pub type Fields = Vec<(&'static str, Field)>;

/// Fills in `template`.
///
/// Sections hold no other sections, which is enough for the templates of this project.
pub fn fill(template: &str, fields: &Fields) -> Option<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        text.push_str(before);
        let (name, after) = after.split_once("}}")?;
        if let Some(name) = name.strip_prefix('#') {
            let (section, after) = after.split_once(&format!("{{{{/{name}}}}}"))?;
            let Field::List(items) = find(fields, name)? else { return None };
            for (index, item) in items.iter().enumerate() {
                let comma = if index + 1 < items.len() { "," } else { "" };
                let entry = section.replace("{{.}}", item).replace("{{@}}", item);
                text.push_str(&entry.replace("{{,}}", comma));
            }
            rest = after;
        } else {
            let Field::Text(value) = find(fields, name)? else { return None };
            text.push_str(value);
            rest = after;
        }
    }
    text.push_str(rest);
    Some(text)
}

fn find<'a>(fields: &'a Fields, name: &str) -> Option<&'a Field> {
    fields.iter().find(|(other, _)| *other == name).map(|(_, field)| field)
}
