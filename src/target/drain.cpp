#include "target/drain.hpp"

#include <tuple>

namespace dandelionstep {
namespace {

// A daemon that announced its leaving may still finish streams; only its closed port shows that it has
// exited. A daemon that the others believe dead may be frozen and continue later, so it does not count as
// exited.
bool has_exited(const polled_daemon& daemon)
{
    return daemon.state == member_state::left && daemon.refused_connection;
}

std::optional<blocking_daemon> find_blocker(const polled_daemon& daemon)
{
    if (!daemon.reply) {
        return blocking_daemon{daemon.vm, drain_blocker::no_answer, 0};
    }
    if (daemon.reply->gives_new_work) {
        return blocking_daemon{daemon.vm, drain_blocker::gives_new_work, daemon.reply->in_flight};
    }
    if (daemon.reply->in_flight != 0) {
        return blocking_daemon{daemon.vm, drain_blocker::in_flight, daemon.reply->in_flight};
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(drain_blocker blocker)
{
    switch (blocker) {
    case drain_blocker::no_answer:
        return "no_answer";
    case drain_blocker::gives_new_work:
        return "gives_new_work";
    case drain_blocker::in_flight:
        return "in_flight";
    }
    return "unknown";
}

drain_progress assess_drain(const std::vector<polled_daemon>& polled, const std::set<vm_id>& without)
{
    drain_progress progress;
    for (const polled_daemon& daemon : polled) {
        if (without.contains(daemon.vm) || has_exited(daemon)) {
            continue;
        }
        const std::optional<blocking_daemon> blocker = find_blocker(daemon);
        if (blocker) {
            progress.in_flight += blocker->in_flight;
            progress.blocking.push_back(*blocker);
        } else {
            ++progress.confirmed;
        }
    }
    return progress;
}

void merge_known_daemon(std::map<vm_id, known_daemon>& known, const vm_id& vm, const known_daemon& reported)
{
    const auto [found, inserted] = known.try_emplace(vm, reported);
    if (!inserted &&
        std::tie(reported.started, reported.state) > std::tie(found->second.started, found->second.state)) {
        found->second = reported;
    }
}

} // namespace dandelionstep
