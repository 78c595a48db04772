//! Agents whose servers announce themselves, with stubs of everything around them.

mod deregistration;
mod entry_search;
mod fixtures;
