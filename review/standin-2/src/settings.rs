//! Renders the settings template of the deploy file.

use crate::wire;

/// Fills in the template with the values that the data file gives for its placeholders.
pub fn render(template: &str, vars: &[wire::Var<'_>]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let (placeholder, after) = rest[at + 2..].split_once("}}").unwrap_or_default();
        rest = after;
        match placeholder.strip_prefix('#') {
            Some(list) => {
                let (section, after) = rest
                    .split_once(&format!("{{{{/{list}}}}}"))
                    .unwrap_or_default();
                rest = after;
                let values = wire::fill(&format!("list.{list}"), vars);
                let values: Vec<&str> = values.split(',').filter(|it| !it.is_empty()).collect();
                for (n, value) in values.iter().enumerate() {
                    let comma = if n + 1 < values.len() { "," } else { "" };
                    out.push_str(&section.replace("{{.}}", value).replace("{{,}}", comma));
                }
            }
            None => out.push_str(&wire::fill(&format!("settings.{placeholder}"), vars)),
        }
    }
    out.push_str(rest);
    out
}
