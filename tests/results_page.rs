//! The results page keeps to the journal: no score without the file that it comes from.

use std::fs;

/// The rows of a table on the page whose last two columns are a score and a journal's id.
fn rows(page: &str, heading: &str) -> Vec<(String, String)> {
    let section = page.split("\n## ").find(|s| s.starts_with(heading)).expect("the page has this section");
    let table = section.lines().skip_while(|line| !line.ends_with("| score | journal |"));
    let rows = table.skip(2).take_while(|line| line.starts_with('|'));
    let cells = |row: &str| -> Vec<String> { row.split('|').map(|cell| cell.trim().to_string()).collect() };
    rows.map(cells).map(|c| (c[c.len() - 3].clone(), c[c.len() - 2].clone())).collect()
}

/// The text of the journal's entry with this id.
fn entry(id: &str) -> Option<String> {
    let end = format!("-{id}.json");
    let files = fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/journal")).expect("the journal is there");
    let named = |f: &fs::DirEntry| f.file_name().to_string_lossy().ends_with(&end);
    files.flatten().find(named).map(|f| fs::read_to_string(f.path()).expect("an entry is a text"))
}

#[test]
fn each_score_on_the_results_page_stands_in_the_journal_file_that_it_names() {
    let page = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/results.md")).unwrap();
    for (heading, least, wording) in [
        ("Fleet days, 300 drivers", 9, "score of the real nodes "),
        ("On sockets, cairo-readings, service days", 9, "score of the real nodes "),
        ("Short days, fifteen a play", 9, "score of the real nodes "),
        ("Short days, four deployments", 40, "score of the real nodes "),
        ("Simulated: three further deployments", 6, "): "),
    ] {
        let rows = rows(&page, heading);
        assert!(rows.len() >= least, "{heading}: {} rows", rows.len());
        for (score, id) in rows.iter().filter(|(_, id)| id != "none") {
            let entry = entry(id).unwrap_or_else(|| panic!("{heading}: no journal file for {id} ({score})"));
            assert!(
                entry.contains(&format!("{wording}{score}")),
                "{heading}: {id} has another score than {score}"
            );
        }
    }
}
