use std::fs;

use super::Fleet;
use crate::Process;

/// Organisations of every fleet; the key of an organisation is its name followed by `-key`.
pub const ORGANISATIONS: [&str; 3] = ["adala", "swanfold", "flood"];

impl Fleet {
    /// Runs the tool `jaylock` against all instances and returns its output.
    ///
    /// # Panics
    /// When the tool fails.
    #[allow(clippy::must_use_candidate)]
    pub fn run_tool_ok(&self, arguments: &[&str]) -> String {
        let arguments = [&["--timeout", "30s"], arguments].concat();
        let output = self.run_tool(&arguments);
        assert!(
            output.exit_code == 0,
            "jaylock {arguments:?}: {}",
            output.stderr
        );
        output.stdout
    }

    /// Creates the organisations, model `dossier` and service `caseapp`.
    pub(super) fn configure(&self) {
        for name in ORGANISATIONS {
            let key = format!("{name}-key");
            self.run_tool_ok(&["organisation", "create", name, "--key", &key]);
        }
        let options = ["--version", "1", "--pool", "jaylock-pool"];
        self.run_tool_ok(&[&["model", "create", "dossier"], &options[..]].concat());
        self.run_tool_ok(&["service", "create", "caseapp"]);
    }

    /// Starts a stand-in engine that appends its runs to the file `chats`.
    pub fn start_engine(&mut self, name: &str, extra: &[&str]) {
        let options = ["--pool", "jaylock-pool", "--model", "dossier@1"];
        let arguments = [&options[..], &["--runs", "chats"], extra].concat();
        self.start_backend("standin-engine", name, &arguments);
    }

    /// Starts a stand-in plain service that appends its runs to the file `calls`.
    pub fn start_service(&mut self, name: &str, extra: &[&str]) {
        let arguments = ["--pool", "caseapp", "--runs", "calls"];
        self.start_backend("standin-service", name, &[&arguments, extra].concat());
    }

    /// Returns the lines that the backend servers wrote to a run log, `chats` or `calls`.
    #[must_use]
    pub fn run_log(&self, file: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder().join(file)).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    fn start_backend(&mut self, program: &str, name: &str, extra: &[&str]) {
        let mut arguments = vec!["--id".to_owned(), name.to_owned()];
        for address in self.caller_addresses() {
            arguments.extend(["--instance".into(), address.to_string()]);
        }
        arguments.extend(extra.iter().map(|text| (*text).to_owned()));
        let log = format!("{name}.log");
        let process = Process::start(program, &arguments, self.folder(), &log);
        self.backends.push(process);
    }
}
