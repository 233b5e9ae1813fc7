use std::fs;

use super::Fleet;
use crate::Process;

/// Organisations of every fleet; the key of each is its name and `-key`.
pub const ORGANISATIONS: [&str; 3] = ["adala", "swanfold", "flood"];

impl Fleet {
    /// Runs the operators' tool to its end and gives what it prints.
    ///
    /// # Panics
    /// When the tool fails.
    #[allow(clippy::must_use_candidate)]
    pub fn operate(&self, arguments: &[&str]) -> String {
        let arguments = [&["--timeout", "30s"], arguments].concat();
        let outcome = self.tool(&arguments);
        assert!(outcome.code == 0, "jaylock {arguments:?}: {}", outcome.err);
        outcome.out
    }

    /// Creates the organisations, model `dossier` and service `caseapp`.
    pub(super) fn configure(&self) {
        for name in ORGANISATIONS {
            let key = format!("{name}-key");
            self.operate(&["organisation", "create", name, "--key", &key]);
        }
        let pool = ["--version", "1", "--pool", "jaylock-pool"];
        self.operate(&[&["model", "create", "dossier"], &pool[..]].concat());
        self.operate(&["service", "create", "caseapp"]);
    }

    /// Starts a stand-in engine with a name; its runs go to `chats`.
    pub fn engine(&mut self, name: &str, more: &[&str]) {
        let pool = ["--pool", "jaylock-pool", "--model", "dossier@1"];
        let own = [&pool[..], &["--runs", "chats"], more].concat();
        self.backend("standin-engine", name, &own);
    }

    /// Starts a stand-in plain service with a name; its runs go to `calls`.
    pub fn service(&mut self, name: &str, more: &[&str]) {
        let own = ["--pool", "caseapp", "--runs", "calls"];
        self.backend("standin-service", name, &[&own, more].concat());
    }

    /// Lines that the backend servers wrote to a file of runs.
    #[must_use]
    pub fn runs(&self, file: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder().join(file)).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    fn backend(&mut self, program: &str, name: &str, more: &[&str]) {
        let mut arguments = vec!["--id".to_owned(), name.to_owned()];
        for address in self.addresses() {
            arguments.extend(["--instance".into(), address.to_string()]);
        }
        arguments.extend(more.iter().map(|text| (*text).to_owned()));
        let log = format!("{name}.log");
        let process = Process::start(program, &arguments, self.folder(), &log);
        self.backends.push(process);
    }
}
