//! `beaconshore check`: lists every problem in operator's files.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde_json::json;

use super::{load_configuration, read_text, Format};

/// Runs the command. The exit code tells whether problems were found.
pub fn run(files: &[PathBuf], config: Option<&Path>, format: Format) -> Result<ExitCode, String> {
    let config = load_configuration(config)?;
    let mut problems = Vec::new();
    for path in files {
        let (file, text) = (path.display().to_string(), read_text(path)?);
        if let Err(found) = config.parse_operator_file(&file, &text) {
            problems.extend(found);
        }
    }
    match format {
        Format::Text => problems.iter().for_each(|problem| println!("{problem}")),
        Format::Json => {
            let items: Vec<_> = problems
                .iter()
                .map(|p| {
                    let place = p.location.map(|place| json!({"line": place.line, "column": place.column}));
                    json!({"file": p.file, "place": place, "reason": p.reason})
                })
                .collect();
            println!("{}", json!(items));
        }
    }
    Ok(ExitCode::from(u8::from(!problems.is_empty())))
}
