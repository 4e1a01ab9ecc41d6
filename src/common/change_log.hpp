#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace dandelionstep {

//! Numbers the changes of keyed things, so that a daemon that follows can ask for what is new.
template <class Key>
struct change_log {
    struct change {
        std::int64_t sequence = 0;
        Key key;
    };

    //! Followers ask about once a second, and few things change in a second; more than this is sent whole.
    static constexpr std::size_t max_changes = 1'000;

    //! Number of the last change.
    std::int64_t sequence = 0;
    //! The latest changes, oldest first.
    std::deque<change> changes;
};

//! Notes that the thing came, changed or went.
template <class Key>
void note_change(change_log<Key>& log, const Key& key)
{
    log.changes.push_back({++log.sequence, key});
    if (log.changes.size() > change_log<Key>::max_changes) {
        log.changes.pop_front();
    }
}

//! Whether all changes after the one of that number are remembered.
template <class Key>
bool remembers(const change_log<Key>& log, std::int64_t sequence)
{
    const std::int64_t forgotten = log.changes.empty() ? log.sequence : log.changes.front().sequence - 1;
    return forgotten <= sequence && sequence <= log.sequence;
}

//! What changed after the change of that number; nullopt when that is not remembered any more.
template <class Key>
std::optional<std::set<Key>> changed_since(const change_log<Key>& log, std::int64_t sequence)
{
    if (!remembers(log, sequence)) {
        return std::nullopt;
    }
    std::set<Key> changed;
    for (const auto& one : log.changes) {
        if (one.sequence > sequence) {
            changed.insert(one.key);
        }
    }
    return changed;
}

} // namespace dandelionstep
