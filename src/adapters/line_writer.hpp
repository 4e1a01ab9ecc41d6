#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dandelionstep {

//! Writes lines to a descriptor without ever waiting for its reader. Lines that find the buffer full are
//! dropped and counted; the next line that fits is preceded by one that says how many.
class line_writer {
public:
    //! Makes the descriptor non-blocking.
    line_writer(int descriptor, std::size_t max_buffered);

    //! Adds a line, without its end.
    void add(std::string_view line);
    //! Writes what the reader takes now.
    void flush();

    [[nodiscard]] std::int64_t dropped() const { return this->total_dropped; }
    [[nodiscard]] std::size_t buffered() const { return this->buffer.size(); }

private:
    int descriptor;
    std::size_t max_buffered;
    std::string buffer;
    std::int64_t unreported = 0;
    std::int64_t total_dropped = 0;
};

} // namespace dandelionstep
