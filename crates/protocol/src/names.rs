//! Names that the settings list. The decisions know each by its index in its list.

/// The lists of names.
#[derive(Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; empty where the settings know only one.
    pub tenants: Vec<String>,
    /// Zones of workers.
    pub zones: Vec<String>,
    /// Worker types.
    pub worker_types: Vec<String>,
}

/// The index of a name as it is sent. The settings write spaces and commas of a name as underscores.
pub fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    let same_byte =
        |(listed, sent)| listed == sent || (listed == b'_' && matches!(sent, b' ' | b','));
    names.iter().position(|listed| {
        listed.len() == name.len() && listed.bytes().zip(name.bytes()).all(same_byte)
    })
}
