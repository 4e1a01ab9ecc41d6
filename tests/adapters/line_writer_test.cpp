#include "adapters/line_writer.hpp"

#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace dandelionstep;

namespace {

// A pipe whose reader does nothing until it is asked.
class idle_pipe {
public:
    idle_pipe() { REQUIRE(pipe(this->ends.data()) == 0); }
    ~idle_pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    idle_pipe(const idle_pipe&) = delete;
    idle_pipe& operator=(const idle_pipe&) = delete;
    idle_pipe(idle_pipe&&) = delete;
    idle_pipe& operator=(idle_pipe&&) = delete;

    [[nodiscard]] int writer() const { return this->ends[1]; }

    std::string read_all()
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65'536> part{};
        while (true) {
            const ssize_t size = read(this->ends[0], part.data(), part.size());
            if (size <= 0) {
                return text;
            }
            text.append(part.data(), static_cast<std::size_t>(size));
        }
    }

private:
    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("lines arrive whole and in order")
{
    idle_pipe pipe;
    line_writer writer(pipe.writer(), 10'000);
    writer.add("first");
    writer.add("second");
    writer.flush();
    CHECK(pipe.read_all() == "first\nsecond\n");
}

TEST_CASE("a reader that stops never blocks the writer; what it misses is counted and told")
{
    constexpr std::size_t max_buffered = 65'536;
    idle_pipe pipe;
    line_writer writer(pipe.writer(), max_buffered);
    const std::string line(100, 'x');
    for (int i = 0; i < 20'000; ++i) {
        writer.add(line);
        REQUIRE(writer.buffered() <= max_buffered + 200);
    }
    CHECK(writer.dropped() > 0);
    const std::int64_t dropped = writer.dropped();
    std::string text = pipe.read_all();
    writer.flush();
    text += pipe.read_all();
    writer.add("after");
    writer.flush();
    text += pipe.read_all();
    CHECK(text.find("event=lines_dropped count=" + std::to_string(dropped) + "\nafter\n") !=
          std::string::npos);
    // Every line that was written is whole.
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = text.find('\n', at);
        REQUIRE(end != std::string::npos);
        const std::string_view one = std::string_view(text).substr(at, end - at);
        CHECK((one == line || one == "after" || one.starts_with("event=lines_dropped")));
        at = end + 1;
    }
}
