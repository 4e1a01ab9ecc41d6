#include "target/drain.hpp"

#include <tuple>

namespace dandelionstep {
namespace {

// A daemon that says it leaves may still finish streams; only its closed port shows that it has exited. A
// daemon believed dead may be frozen and go on later, so it stays missing.
bool has_exited(const asked_daemon& daemon)
{
    return daemon.state == member_state::left && daemon.refused_connection;
}

std::optional<missing_daemon> find_gap(const asked_daemon& daemon)
{
    if (!daemon.word) {
        return missing_daemon{daemon.vm, drain_gap::no_answer, 0};
    }
    if (daemon.word->gives_new_work) {
        return missing_daemon{daemon.vm, drain_gap::gives_new_work, daemon.word->in_flight};
    }
    if (daemon.word->in_flight != 0) {
        return missing_daemon{daemon.vm, drain_gap::in_flight, daemon.word->in_flight};
    }
    return std::nullopt;
}

} // namespace

std::string_view to_string(drain_gap gap)
{
    switch (gap) {
    case drain_gap::no_answer:
        return "no_answer";
    case drain_gap::gives_new_work:
        return "gives_new_work";
    case drain_gap::in_flight:
        return "in_flight";
    }
    return "unknown";
}

drain_progress assess(const std::vector<asked_daemon>& asked, const std::set<vm_id>& without)
{
    drain_progress progress;
    for (const asked_daemon& daemon : asked) {
        if (without.contains(daemon.vm) || has_exited(daemon)) {
            continue;
        }
        const std::optional<missing_daemon> gap = find_gap(daemon);
        if (gap) {
            progress.in_flight += gap->in_flight;
            progress.missing.push_back(*gap);
        } else {
            ++progress.confirmed;
        }
    }
    return progress;
}

void learn(std::map<vm_id, known_daemon>& known, const vm_id& vm, const known_daemon& said)
{
    const auto [found, inserted] = known.try_emplace(vm, said);
    if (!inserted &&
        std::tie(said.started, said.state) > std::tie(found->second.started, found->second.state)) {
        found->second = said;
    }
}

} // namespace dandelionstep
