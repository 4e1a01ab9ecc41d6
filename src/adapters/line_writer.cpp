#include "adapters/line_writer.hpp"

#include <fcntl.h>
#include <unistd.h>

namespace dandelionstep {
namespace {

// Lines are gathered up to this size before they are written.
constexpr std::size_t write_size = 4096;

} // namespace

line_writer::line_writer(int descriptor_in, std::size_t max_buffered_in)
    : descriptor(descriptor_in), max_buffered(max_buffered_in)
{
    const int flags = fcntl(descriptor_in, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_in, F_SETFL, flags | O_NONBLOCK);
    }
}

void line_writer::add(std::string_view line)
{
    if (this->buffer.size() + line.size() > this->max_buffered) {
        this->flush();
    }
    if (this->buffer.size() + line.size() > this->max_buffered) {
        ++this->unreported;
        ++this->total_dropped;
        return;
    }
    if (this->unreported > 0) {
        this->buffer += "event=lines_dropped count=" + std::to_string(this->unreported) + "\n";
        this->unreported = 0;
    }
    this->buffer += line;
    this->buffer += '\n';
    if (this->buffer.size() >= write_size) {
        this->flush();
    }
}

void line_writer::flush()
{
    std::size_t written = 0;
    while (written < this->buffer.size()) {
        const ssize_t taken =
            write(this->descriptor, this->buffer.data() + written, this->buffer.size() - written);
        if (taken <= 0) {
            // The reader is slow or gone; the rest is tried again with the next lines.
            break;
        }
        written += static_cast<std::size_t>(taken);
    }
    this->buffer.erase(0, written);
}

} // namespace dandelionstep
