#include "daemon/open_requests.hpp"

#include "absl/strings/str_cat.h"
#include "daemon/answers.hpp"
#include "request/execution_tracker.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

constexpr std::size_t least_cleaning = 64;
constexpr milliseconds retry_after{1000};

bool is_open(const std::weak_ptr<caller_reply>& reply)
{
    const std::shared_ptr<caller_reply> held = reply.lock();
    return held && !held->gone();
}

} // namespace

void open_requests::add(const request_id& id, const std::shared_ptr<caller_reply>& reply)
{
    if (this->replies.size() >= this->next_cleaning) {
        this->drop_answered();
        this->next_cleaning = std::max(least_cleaning, 2 * this->replies.size());
    }
    this->replies.emplace(id, reply);
}

std::vector<request_id> open_requests::names() const
{
    std::vector<request_id> open;
    for (const auto& [id, reply] : this->replies) {
        if (is_open(reply)) {
            open.push_back(id);
        }
    }
    return open;
}

void open_requests::give_up()
{
    // A target may have run any of them, so the outcome is unknown.
    execution_tracker execution;
    execution.begin_send();
    const refusal why =
        execution.refuse(error_code::stopping, "the daemon stopped before the answer was whole", retry_after);
    for (const auto& [id, reply] : this->replies) {
        const std::shared_ptr<caller_reply> held = reply.lock();
        if (!held || held->gone()) {
            continue;
        }
        if (held->stream_started()) {
            held->write(absl::StrCat("data: ", refusal_body(why), "\n\n"));
            held->end_stream();
        } else {
            send_refusal(*held, why);
        }
    }
}

void open_requests::drop_answered()
{
    std::erase_if(this->replies, [](const auto& entry) { return !is_open(entry.second); });
}

} // namespace dandelionstep
