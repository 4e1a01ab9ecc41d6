#include "target/ended_processes.hpp"

namespace dandelionstep {

bool note_ended(ended_processes& ended, const target_id& target, incarnation started, time_point found_at,
                time_point now)
{
    std::erase_if(ended.newest,
                  [&](const auto& entry) { return now - entry.second.found_at >= ended.validity; });
    if (now - found_at >= ended.validity) {
        return false;
    }
    const auto [found, is_new] =
        ended.newest.try_emplace(target, ended_processes::ended_process{started, found_at});
    if (!is_new && found->second.started >= started) {
        return false;
    }
    found->second = {started, found_at};
    return true;
}

bool has_ended(const ended_processes& ended, const target_id& target, incarnation started, time_point now)
{
    const auto found = ended.newest.find(target);
    return found != ended.newest.end() && found->second.started == started &&
           now - found->second.found_at < ended.validity;
}

} // namespace dandelionstep
