//! Finds the route of a request: the first that matches, searched only among the routes that its class can match.

use std::collections::BTreeMap;

use crate::expression::RequestAttributes;
use crate::policy::Route;

/// Routes by request class, in the order of the policy.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    by_class: BTreeMap<String, Vec<usize>>,
    /// Routes that are open to a class that no route names.
    other_classes: Vec<usize>,
}

impl RouteIndex {
    /// Builds the index of a policy's routes.
    pub fn new(routes: &[Route]) -> Self {
        let mut index = RouteIndex::default();
        let named =
            |route: &Route| route.matcher.classes().map(|c| c.iter().map(|c| c.to_string()).collect());
        let classes: Vec<Option<Vec<String>>> = routes.iter().map(named).collect();
        for class in classes.iter().flatten().flatten() {
            index.by_class.entry(class.clone()).or_default();
        }
        for (i, classes) in classes.iter().enumerate() {
            match classes {
                Some(classes) => {
                    for (name, routes) in &mut index.by_class {
                        if classes.contains(name) {
                            routes.push(i);
                        }
                    }
                }
                None => {
                    index.by_class.values_mut().for_each(|routes| routes.push(i));
                    index.other_classes.push(i);
                }
            }
        }
        index
    }

    /// The index of the first route that matches a request. `routes` are those that the index was built from.
    pub fn find(&self, routes: &[Route], attributes: &RequestAttributes) -> Option<usize> {
        let candidates = self.by_class.get(attributes.class).unwrap_or(&self.other_classes);
        candidates.iter().copied().find(|i| routes[*i].matcher.matches(attributes))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::expression::Matcher;

    /// Guards against an index that skips a route which a search through all routes would find.
    #[test]
    fn the_index_agrees_with_a_search_through_all_routes() {
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
            texts.iter().map(|text| Route::new(text, Matcher::parse(text).unwrap())).collect();
        let index = RouteIndex::new(&routes);
        let mut found = std::collections::BTreeSet::new();
        for class in ["a", "b", "c", "d"] {
            for group in 0..9 {
                for bits in 0..4 {
                    let attributes = RequestAttributes {
                        class,
                        group,
                        has_key: bits & 1 > 0,
                        has_session: bits & 2 > 0,
                        ..RequestAttributes::default()
                    };
                    let expected = routes.iter().position(|r| r.matcher.matches(&attributes));
                    assert_eq!(index.find(&routes, &attributes), expected, "{attributes:?}");
                    found.insert(expected);
                }
            }
        }
        assert_eq!(found.len(), routes.len() + 1, "each route is found for some request, and none for some");
    }
}
