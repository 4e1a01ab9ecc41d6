#pragma once

#include "absl/strings/string_view.h"
#include "common/clock.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace dandelionstep {

//! One value of a log line, already as text.
class log_value {
public:
    log_value(std::string_view text) : text(text) {}
    log_value(const char* text) : text(text) {}
    log_value(const std::string& text) : text(text) {}
    log_value(std::int64_t number) : text(std::to_string(number)) {}
    log_value(int number) : text(std::to_string(number)) {}
    log_value(milliseconds span) : text(std::to_string(span.count)) {}

    [[nodiscard]] const std::string& str() const { return this->text; }

private:
    std::string text;
};

using log_field = std::pair<std::string_view, log_value>;

//! Sends logs to standard error, one key=value line per event; `vm` stands on every line.
void start_logging(const char* program, std::string vm);

//! Sends logs to standard output instead, without ever waiting for their reader; flush_log writes them.
void start_logging_to_output(std::string vm);

//! Writes the lines that the reader of standard output takes now.
void flush_log();

//! Lines that were dropped because their reader was too slow.
std::int64_t dropped_log_lines();

//! Writes one line. Values with spaces, quotes, control characters or "=" are quoted and escaped.
void log_event(std::string_view event, std::initializer_list<log_field> fields);

//! The value as it stands in a log line.
std::string escape_log_value(std::string_view value);

} // namespace dandelionstep
