#include "entry/settings_watch.hpp"

#include "common/hash.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace dandelionstep {
namespace {

constexpr milliseconds look_interval{1'000};

} // namespace

bool settings_watch::has_changed(time_point now)
{
    if (now - this->looked_at < look_interval) {
        return false;
    }
    this->looked_at = now;
    std::ifstream file(this->path);
    std::ostringstream text;
    text << file.rdbuf();
    const std::uint64_t before = std::exchange(this->hash, hash_of(text.str()));
    return before != 0 && before != this->hash;
}

} // namespace dandelionstep
