//! The tests of every part, and the macro that names their cases.
