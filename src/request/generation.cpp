#include "request/generation.hpp"

#include "absl/strings/str_cat.h"
#include "common/hash.hpp"

#include <algorithm>

namespace dandelionstep {
namespace {

using actions = std::vector<generation_action>;

error_code code_without_chain(const absl::Status& status)
{
    if (absl::IsNotFound(status)) {
        return error_code::unknown_route;
    }
    return absl::IsPermissionDenied(status) ? error_code::suspected_crasher : error_code::no_capacity;
}

class generation_step {
public:
    generation_step(generation_state& state, const chain_source& chains, time_point now)
        : state(state), chains(chains), now(now)
    {}

    actions operator()(const generation_started& /*event*/)
    {
        this->open_next_attempt();
        return std::move(this->result);
    }

    actions operator()(const token_received& event)
    {
        if (!this->is_awaited(event.attempt)) {
            return {};
        }
        const auto expected = static_cast<std::int64_t>(this->state.tokens.size());
        if (event.index.value >= 0 && event.index.value < expected) {
            // A duplicate: the token was already delivered.
            ++this->state.dropped_answers;
            return {};
        }
        if (event.index.value != expected) {
            this->fail_attempt(attempt_failure::protocol, std::nullopt);
            return std::move(this->result);
        }
        if (!this->state.attempt_has_answered) {
            this->state.last = this->state.active;
        }
        this->state.attempt_has_answered = true;
        this->state.last_progress = this->now;
        this->state.tokens.push_back(event.text);
        this->note_caches();
        this->result.emplace_back(deliver_token{event.index, event.text});
        this->check_hop_latencies(event.hop_times);
        return std::move(this->result);
    }

    actions operator()(const stream_ended& event)
    {
        if (!this->is_awaited(event.attempt)) {
            return {};
        }
        // A count that differs from the number of received tokens means that tokens were lost or added.
        if (event.count.value != static_cast<std::int64_t>(this->state.tokens.size())) {
            this->fail_attempt(attempt_failure::protocol, std::nullopt);
            return std::move(this->result);
        }
        this->state.finished = true;
        this->state.active.reset();
        std::string answer;
        for (const std::string& token : this->state.tokens) {
            answer += token;
        }
        this->result.emplace_back(deliver_end{event.count, sha256_hex(answer)});
        return std::move(this->result);
    }

    actions operator()(const attempt_failed& event)
    {
        if (this->is_awaited(event.attempt)) {
            this->fail_attempt(event.failure, event.culprit);
        }
        return std::move(this->result);
    }

    // The line is only counted. If a token of this answer went to another stream instead, the next index
    // shows it.
    actions operator()(const mismatched_line_received& /*event*/)
    {
        ++this->state.dropped_answers;
        return {};
    }

    actions operator()(const clock_ticked& /*event*/)
    {
        if (this->now >= this->state.request.deadline) {
            this->give_up(error_code::deadline_exceeded,
                          "the deadline passed before the answer was complete");
            return std::move(this->result);
        }
        const milliseconds gap = this->state.attempt_has_answered ? this->state.limits.token_gap
                                                                  : this->state.limits.first_token_gap;
        if (this->state.active && this->now - this->state.last_progress >= gap) {
            this->fail_attempt(attempt_failure::token_gap, std::nullopt);
        }
        return std::move(this->result);
    }

    actions operator()(const caller_gone& /*event*/)
    {
        this->cancel_active(false);
        this->state.finished = true;
        return std::move(this->result);
    }

private:
    // Late messages of earlier attempts are dropped and never reach the caller.
    bool is_awaited(attempt_number attempt)
    {
        if (this->state.active && attempt == this->state.attempt) {
            return true;
        }
        ++this->state.dropped_answers;
        return false;
    }

    // Every hop of the chain has run the token's position, so its KV cache has all positions up to it.
    void note_caches()
    {
        const token_count positions{static_cast<std::int64_t>(this->state.tokens.size())};
        for (const hop& stage : this->state.active->hops()) {
            this->state.cached[stage.target] = positions;
        }
    }

    // High load slows down all hops together, and a move costs a prefill. An answer is therefore moved only
    // away from a hop that is much slower than its own best time, and only once.
    void check_hop_latencies(const std::vector<milliseconds>& times)
    {
        const std::vector<hop>& hops = this->state.active->hops();
        if (times.size() != hops.size()) {
            return;
        }
        this->state.hop_latencies.resize(hops.size());
        for (std::size_t i = 0; i < hops.size(); ++i) {
            if (this->is_slow(this->state.hop_latencies[i], times[i]) && !this->state.moved_off_slow_hop) {
                this->state.moved_off_slow_hop = true;
                this->fail_attempt(attempt_failure::slow, hops[i].target);
                return;
            }
        }
    }

    bool is_slow(hop_latency& latency, milliseconds time) const
    {
        const generation_limits& limits = this->state.limits;
        latency.best = std::min(latency.best, time);
        const bool slow = time >= std::max(limits.slow_floor, latency.best * limits.slow_factor);
        latency.slow_tokens = slow ? latency.slow_tokens + 1 : 0;
        return latency.slow_tokens >= limits.slow_tokens;
    }

    void cancel_active(bool keep_cache)
    {
        if (this->state.active) {
            this->result.emplace_back(cancel_attempt{this->state.attempt, *this->state.active, keep_cache});
            this->state.active.reset();
        }
    }

    void fail_attempt(attempt_failure failure, const std::optional<target_id>& named)
    {
        if (failure == attempt_failure::not_connected || failure == attempt_failure::refused) {
            this->state.execution.prove_not_run();
        }
        if (failure == attempt_failure::cache_missing) {
            // The hop is healthy. Its KV cache is rebuilt, and so are all others that were assumed to exist.
            this->state.cached.clear();
        } else {
            this->suspect_hop(failure, named);
        }
        this->cancel_active(true);
        this->open_next_attempt();
    }

    void suspect_hop(attempt_failure failure, const std::optional<target_id>& named)
    {
        const bool known = named && this->state.active->contains(*named);
        const target_id culprit = known ? *named : this->state.active->hops().front().target;
        // After these failures only the stream may be broken; a new connection shows at once whether the
        // target is alive, and costs almost nothing.
        const bool may_be_alive = failure == attempt_failure::reset || failure == attempt_failure::protocol ||
                                  failure == attempt_failure::slow;
        const bool unreachable =
            failure == attempt_failure::unreachable || failure == attempt_failure::not_connected;
        const generation_limits& limits = this->state.limits;
        this->exclude(culprit, unreachable ? limits.unreachable_exclusion : limits.exclusion, may_be_alive);
        this->result.emplace_back(suspect_target{culprit, failure});
        if (failure == attempt_failure::token_gap && !known && ++this->state.unattributed_timeouts > 1) {
            // Engines that do not report an unresponsive hop leave the culprit unknown; avoid the whole
            // chain.
            for (const hop& stage : this->state.active->hops()) {
                this->exclude(stage.target, limits.exclusion, stage.target != culprit);
            }
        }
    }

    void exclude(const target_id& target, milliseconds duration, bool may_be_alive)
    {
        this->state.excluded[target] = {this->now + duration, may_be_alive};
        this->state.cached.erase(target);
    }

    enum class excluded_kind { all, known_down };

    std::set<target_id> excluded_now(excluded_kind kind) const
    {
        std::set<target_id> targets;
        for (const auto& [target, why] : this->state.excluded) {
            if (why.until > this->now && (kind == excluded_kind::all || !why.may_be_alive)) {
                targets.insert(target);
            }
        }
        return targets;
    }

    absl::StatusOr<chain> choose_next_chain() const
    {
        absl::StatusOr<chain> through =
            this->chains({this->excluded_now(excluded_kind::all), ejected_targets::avoid, this->state.last});
        if (!absl::IsUnavailable(through.status())) {
            return this->require_same_variant(std::move(through));
        }
        // A target that recently failed is better than none. But a request without any token yet does not
        // wait for targets that failed repeatedly: it is refused at once, so that its caller can retry.
        const ejected_targets last_resort =
            this->state.tokens.empty() ? ejected_targets::use_failed_once : ejected_targets::use;
        return this->require_same_variant(
            this->chains({this->excluded_now(excluded_kind::known_down), last_resort, this->state.last}));
    }

    // An answer that one version of the model began must not be continued by another version.
    absl::StatusOr<chain> require_same_variant(absl::StatusOr<chain> through) const
    {
        if (through.ok() && this->state.last && through->variant() != this->state.last->variant()) {
            return absl::UnavailableError(
                "the version of the model that began the answer is no longer available");
        }
        return through;
    }

    void open_next_attempt()
    {
        if (this->now >= this->state.request.deadline) {
            this->give_up(error_code::deadline_exceeded,
                          "the deadline passed before the answer was complete");
            return;
        }
        if (this->state.attempt.value >= this->state.limits.max_attempts) {
            this->give_up(error_code::target_failed,
                          absl::StrCat("gave up after ", this->state.attempt.value, " attempts"));
            return;
        }
        absl::StatusOr<chain> through = this->choose_next_chain();
        if (!through.ok()) {
            this->give_up(code_without_chain(through.status()), std::string(through.status().message()));
            return;
        }
        const bool retried = next_is_retry(this->state);
        this->state.attempt = this->state.attempt + attempt_number{1};
        this->state.active = *through;
        this->state.attempt_has_answered = false;
        this->state.hop_latencies.clear();
        this->state.last_progress = this->now;
        this->state.execution.begin_send();
        this->result.emplace_back(this->attempt_through(*std::move(through), retried));
    }

    open_attempt attempt_through(chain through, bool retried) const
    {
        const token_count delivered{static_cast<std::int64_t>(this->state.tokens.size())};
        const token_timeouts limits{this->state.limits.first_token_gap, this->state.limits.token_gap};
        std::vector<hop_plan> plans = plan_hops(through, this->state.cached, delivered, limits);
        return {this->state.attempt, std::move(through), this->state.tokens, std::move(plans), retried};
    }

    void give_up(error_code code, std::string message)
    {
        this->cancel_active(false);
        this->state.finished = true;
        const milliseconds retry_after =
            code == error_code::unknown_route ? milliseconds{0} : this->state.limits.retry_after;
        this->result.emplace_back(
            deliver_refusal{this->state.execution.refuse(code, std::move(message), retry_after)});
    }

    generation_state& state;
    const chain_source& chains;
    time_point now;
    actions result;
};

} // namespace

std::string_view to_string(attempt_failure failure)
{
    switch (failure) {
    case attempt_failure::not_connected:
        return "not_connected";
    case attempt_failure::refused:
        return "refused";
    case attempt_failure::reset:
        return "reset";
    case attempt_failure::unreachable:
        return "unreachable";
    case attempt_failure::token_gap:
        return "token_gap";
    case attempt_failure::protocol:
        return "protocol";
    case attempt_failure::slow:
        return "slow";
    case attempt_failure::cache_missing:
        return "cache_missing";
    }
    return "unknown";
}

attempt_failure parse_attempt_failure(std::string_view error)
{
    if (error == "cache_missing") {
        return attempt_failure::cache_missing;
    }
    if (error == "hop_unreachable") {
        return attempt_failure::unreachable;
    }
    return error == "hop_silent" ? attempt_failure::token_gap : attempt_failure::reset;
}

bool next_is_retry(const generation_state& state)
{
    return state.attempt.value > 0 && !state.attempt_has_answered;
}

std::vector<generation_action> advance(generation_state& state, const generation_event& event,
                                       const chain_source& chains, time_point now)
{
    if (state.finished) {
        return {};
    }
    return std::visit(generation_step(state, chains, now), event);
}

} // namespace dandelionstep
