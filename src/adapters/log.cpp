#include "adapters/log.hpp"

#include "adapters/event_loop.hpp"
#include "adapters/line_writer.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <glog/logging.h>
#include <memory>
#include <unistd.h>

namespace dandelionstep {
namespace {

std::string& logging_vm()
{
    static std::string vm;
    return vm;
}

// Set when lines go to standard output.
std::unique_ptr<line_writer>& output_writer()
{
    static std::unique_ptr<line_writer> writer;
    return writer;
}

bool is_plain(unsigned char c)
{
    return c > ' ' && c < 0x7F && c != '"' && c != '=' && c != '\\';
}

} // namespace

void start_logging(const char* program, std::string vm)
{
    logging_vm() = std::move(vm);
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

void start_logging_to_output(std::string vm)
{
    constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
    logging_vm() = std::move(vm);
    output_writer() = std::make_unique<line_writer>(STDOUT_FILENO, max_buffered_bytes);
}

void flush_log()
{
    if (output_writer()) {
        output_writer()->flush();
    }
}

std::int64_t dropped_log_lines()
{
    return output_writer() ? output_writer()->dropped() : 0;
}

std::string escape_log_value(std::string_view value)
{
    if (!value.empty() && std::ranges::all_of(value, is_plain)) {
        return std::string(value);
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string quoted = "\"";
    for (const char raw : value) {
        const auto c = static_cast<unsigned char>(raw);
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += raw;
        } else if (c < ' ' || c >= 0x7F) {
            quoted += "\\x";
            quoted += digits[c >> 4U];
            quoted += digits[c & 0xFU];
        } else {
            quoted += raw;
        }
    }
    quoted += '"';
    return quoted;
}

void log_event(std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "ts_ms=" + std::to_string(event_loop::wall_now().count) +
                       " vm=" + escape_log_value(logging_vm()) + " event=" + escape_log_value(event);
    for (const auto& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += escape_log_value(value.str());
    }
    if (output_writer()) {
        output_writer()->add(line);
        return;
    }
    LOG(INFO) << line;
}

} // namespace dandelionstep
