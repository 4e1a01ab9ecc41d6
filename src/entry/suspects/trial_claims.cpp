#include "entry/suspects/trial_claims.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/log.hpp"

namespace dandelionstep {
namespace {

// Longer than a trial takes at a busy target.
constexpr milliseconds claim_lifetime{3'000};
constexpr milliseconds call_timeout{500};
constexpr milliseconds retry_pause{500};
// While the store is away no engine that ends is replaced, so that a trial costs more than it tells.
constexpr milliseconds longest_undecided{6'000};
constexpr milliseconds remembered_time{60'000};
// Bounds the rows, which are used again and again; two trials of one row wait for each other.
constexpr std::uint64_t max_rows = 1'024;

std::string key_of(const trial_name& trial)
{
    const std::string text = absl::StrCat(trial.segment.value, "/", trial.crashes);
    return absl::StrCat(hash_of(text) % max_rows);
}

std::string_view name_of(claim_state state)
{
    switch (state) {
    case claim_state::granted:
        return "granted";
    case claim_state::pending:
        return "pending";
    case claim_state::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace

claim_state trial_claims::claim(const trial_name& trial)
{
    this->forget_old();
    const std::string key = key_of(trial);
    claim_record& record = this->claims[key];
    if (record.state != claim_state::pending && event_loop::now() >= record.until) {
        this->ask(key, record);
    }
    return record.state;
}

void trial_claims::begin_era()
{
    this->claims.clear();
}

void trial_claims::ask(const std::string& key, claim_record& record)
{
    record.state = claim_state::pending;
    conditional_write write;
    write.row = {trials_table, key, this->context.settings.vm.value, 0, false};
    write.expected_version = record.row_version;
    this->store.call(this->context.dialect.write_call({write}), call_timeout, store_reason::trial,
                     [this, key](const store_answer& answer) { this->take(key, answer); });
}

void trial_claims::take(const std::string& key, const store_answer& answer)
{
    if (answer.has_crossed_eras) {
        return;
    }
    const time_point now = event_loop::now();
    claim_record& record = this->claims[key];
    switch (answer.result) {
    case store_result::ok:
        record = {claim_state::granted, answer.asked_at + claim_lifetime, answer.rows.version, now, {}};
        break;
    case store_result::conflict: {
        const std::int64_t version = answer.rows.rows.empty() ? 0 : answer.rows.rows.front().version;
        if (version != record.row_version) {
            record.row_version = version;
            record.unchanged_since = now;
        }
        record.state = claim_state::refused;
        record.until = record.unchanged_since + claim_lifetime;
        break;
    }
    default:
        record.undecided_since = record.undecided_since.value_or(answer.asked_at);
        record.state =
            now - *record.undecided_since >= longest_undecided ? claim_state::granted : claim_state::refused;
        record.until = now + retry_pause;
        break;
    }
    log_event("trial_claimed",
              {{"row", key}, {"result", name_of(record.state)}, {"row_version", record.row_version}});
}

void trial_claims::forget_old()
{
    const time_point now = event_loop::now();
    std::erase_if(this->claims, [now](const auto& entry) {
        return entry.second.state != claim_state::pending && now >= entry.second.until + remembered_time;
    });
}

} // namespace dandelionstep
