#include "order/background_write.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr int max_tries = 600;
constexpr milliseconds first_delay{200};
constexpr milliseconds max_delay{10'000};

background_step schedule_retry(background_write& write)
{
    ++write.tries;
    if (write.tries >= max_tries) {
        return {background_step::kind::given_up, {}};
    }
    return {background_step::kind::retry, std::min(first_delay * write.tries, max_delay)};
}

// Whether the current row may be replaced by the wanted one. A target's answer replaces an operator's
// settlement, since it shows what really happened; a release never replaces one.
bool may_replace(const order_record& wanted, const order_record& current)
{
    if (current.nonce != wanted.nonce || current.phase == order_phase::done) {
        return false;
    }
    if (wanted.phase == order_phase::done) {
        return true;
    }
    return current.phase == order_phase::claimed || current.phase == order_phase::sending;
}

} // namespace

background_step advance(background_write& write, const order_event& answer)
{
    // A write with an unknown outcome is retried unchanged: if it took effect, the retry conflicts with it.
    if (std::holds_alternative<write_refused>(answer) ||
        std::holds_alternative<write_outcome_unknown>(answer)) {
        return schedule_retry(write);
    }
    const auto* conflict = std::get_if<write_conflicted>(&answer);
    if (conflict == nullptr || !conflict->current || !may_replace(write.record, conflict->current->record)) {
        return {background_step::kind::finished, {}};
    }
    write.expected = conflict->current->version;
    return schedule_retry(write);
}

} // namespace dandelionstep
