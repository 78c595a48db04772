//! Reading of flat JSON fields and writing of strings, as far as the messages here need it.

/// Text after `"name":` in `body`.
fn after_name<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\"");
    let rest = &body[body.find(&key)? + key.len()..];
    Some(rest.trim_start().strip_prefix(':')?.trim_start())
}

/// Whole number in the field `name`.
pub fn number(body: &str, name: &str) -> Option<u64> {
    let rest = after_name(body, name)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Text in the field `name`, without escapes.
pub fn text(body: &str, name: &str) -> Option<String> {
    let rest = after_name(body, name)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
