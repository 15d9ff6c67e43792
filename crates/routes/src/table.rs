//! Finds a request's route: the first that matches, looked for among those that its class can take only.

use std::collections::BTreeMap;

use crate::expression::Facts;
use crate::policy::Route;

/// Routes by class, in order.
#[derive(Clone, Debug, Default)]
pub struct Table {
    by_class: BTreeMap<String, Vec<usize>>,
    /// Routes that a class named by none may take.
    others: Vec<usize>,
}

impl Table {
    /// The index of some routes.
    pub fn new(routes: &[Route]) -> Self {
        let mut table = Table::default();
        let named =
            |route: &Route| route.matches.classes().map(|c| c.iter().map(|c| c.to_string()).collect());
        let classes: Vec<Option<Vec<String>>> = routes.iter().map(named).collect();
        for class in classes.iter().flatten().flatten() {
            table.by_class.entry(class.clone()).or_default();
        }
        for (i, classes) in classes.iter().enumerate() {
            match classes {
                Some(classes) => {
                    for (name, routes) in &mut table.by_class {
                        if classes.contains(name) {
                            routes.push(i);
                        }
                    }
                }
                None => {
                    table.by_class.values_mut().for_each(|routes| routes.push(i));
                    table.others.push(i);
                }
            }
        }
        table
    }

    /// The first route that a request matches.
    pub fn find(&self, routes: &[Route], facts: &Facts) -> Option<usize> {
        let among = self.by_class.get(facts.class).unwrap_or(&self.others);
        among.iter().copied().find(|i| routes[*i].matches.holds(facts))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::expression::Match;

    #[test]
    fn the_index_finds_what_a_look_at_each_would() {
        let texts = [
            "class == \"a\" and group in [1..3]",
            "class in [\"a\", \"b\"] and has key",
            "group == 7",
            "class == \"b\" or class == \"c\"",
            "not class == \"a\" and has session",
            "has key",
            "class == \"a\"",
        ];
        let routes: Vec<Route> =
            texts.iter().map(|text| Route::new(text, Match::read(text).unwrap())).collect();
        let table = Table::new(&routes);
        let mut found = std::collections::BTreeSet::new();
        for class in ["a", "b", "c", "d"] {
            for group in 0..9 {
                for bits in 0..4 {
                    let facts =
                        Facts { class, group, key: bits & 1 > 0, session: bits & 2 > 0, ..Facts::default() };
                    let expected = routes.iter().position(|r| r.matches.holds(&facts));
                    assert_eq!(table.find(&routes, &facts), expected, "{facts:?}");
                    found.insert(expected);
                }
            }
        }
        assert_eq!(found.len(), routes.len() + 1, "each route is taken by some, and none by some");
    }
}
