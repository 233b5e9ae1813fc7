//! Settings of an instance, read from an INI file and checked key by key.
