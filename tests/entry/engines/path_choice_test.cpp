#include "dialect.hpp"
#include "entry/streams/stream_attempt.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

const target_id engine("i-1");

struct streaming_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
    accepted_request request;
    stream_attempt attempt{this->context.answer_bytes};

    streaming_daemon()
    {
        this->request.facts.prompt_tokens = {700};
        this->request.facts.max_answer_tokens = {600};
        this->attempt.path = {{engine, {}, {0, 20}}};
        this->attempt.expected_tokens = 100;
        this->attempt.booking = {800, 100};
        occupy_path(this->context, this->attempt.path, this->attempt.booking);
    }

    const target_condition& condition() { return this->context.conditions[engine]; }
    void arrive(std::int64_t tokens) { note_arrived(this->context, this->request, this->attempt, tokens); }
};

} // namespace

TEST_CASE("what a stream takes of an engine follows what has arrived, also beyond what was expected")
{
    streaming_daemon daemon;
    CHECK(daemon.condition().token_layers == 800 * 20);
    CHECK(daemon.condition().remaining_tokens == 100);
    daemon.arrive(60);
    CHECK(daemon.condition().token_layers == 800 * 20);
    CHECK(daemon.condition().remaining_tokens == 40);
    daemon.arrive(400);
    CHECK(daemon.condition().token_layers == 1'300 * 20);
    CHECK(daemon.condition().remaining_tokens == 200);
}

// Guards against use that stays behind, or goes missing, when the model learns while a stream runs.
TEST_CASE("a stream gives back what it took, whatever was learned and wherever it moved meanwhile")
{
    streaming_daemon daemon;
    daemon.arrive(130);
    change_attempt_path(daemon.context, daemon.attempt, {{target_id("i-2"), {}, {0, 20}}});
    CHECK(daemon.condition().token_layers == 0);
    CHECK(daemon.condition().remaining_tokens == 0);
    daemon.arrive(300);
    end_attempt(daemon.context, daemon.attempt);
    daemon.arrive(500);
    for (const auto& [id, condition] : daemon.context.conditions) {
        CHECK(condition.in_flight == 0);
        CHECK(condition.entered == 0);
        CHECK(condition.token_layers == 0);
        CHECK(condition.remaining_tokens == 0);
    }
}
