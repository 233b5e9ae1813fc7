//! Lines of the log: their bound, and readers that stop reading.

use std::io::Read;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jaylock_observe::LogWriter;
use log::Level;

/// Lines a second of the writers here.
const RATE: u32 = 40;

/// All that was written once the writer is closed.
fn read_all(mut reader: std::io::PipeReader) -> String {
    let mut text = String::new();
    reader.read_to_string(&mut text).expect("the lines");
    text
}

jaylock_tests::cases! {
    a_flood_is_cut_to_the_rate_and_counted => {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, RATE);
        let now = Instant::now();
        for at in 0..100 {
            lines.write(Level::Info, &format!("refused {at}"), now);
        }
        lines.write(Level::Info, "the next second", now + Duration::from_secs(1));
        drop(lines);
        let text = read_all(reader);
        // A quarter is kept for warnings and errors.
        expect_that!(text.lines().filter(|l| l.starts_with("refused")).count(), eq(30));
        expect_that!(text, contains_substring("lines_left_out=70\nthe next second\n"));
    };

    warnings_are_written_beside_a_flood => {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, RATE);
        let now = Instant::now();
        for _ in 0..100 {
            lines.write(Level::Info, "refused", now);
        }
        lines.write(Level::Warn, "the lease is not renewed", now);
        drop(lines);
        expect_that!(read_all(reader), contains_substring("the lease is not renewed\n"));
    };

    a_reader_that_stops_costs_lines_and_no_time => {
        let (mut reader, writer) = std::io::pipe().expect("a pipe");
        let mut lines = LogWriter::new(writer, u32::MAX);
        let now = Instant::now();
        // Far more than a pipe holds: a writer that waits never ends here.
        let long = "x".repeat(10_000);
        for _ in 0..10_000 {
            lines.write(Level::Error, &long, now);
        }
        let mut some = vec![0; 1 << 20];
        let read = reader.read(&mut some).expect("what was written");
        expect_that!(read, gt(0));
        lines.write(Level::Error, "it reads again", now);
        drop(lines);
        let text = read_all(reader);
        expect_that!(text, contains_substring("lines_left_out="));
        expect_that!(text, ends_with("it reads again\n"));
    };
}
