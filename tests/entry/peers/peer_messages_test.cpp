#include "entry/peers/peer_messages.hpp"
#include "entry/registry/registry_messages.hpp"

#include "common/packed_text.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

registered_target some_target()
{
    registered_target target;
    target.id = target_id("i-1");
    target.service = service_id("assistant");
    target.address = {"10.1.0.7", 8080};
    target.data_centre = data_centre_id("n");
    target.slots = 192;
    target.leaving = true;
    target.kind = "large";
    target.layers = {20, 40};
    target.started = {1'700'000'000'123};
    return target;
}

} // namespace

TEST_CASE("a question is read as it was written")
{
    peer_question question;
    question.vm = vm_id("vm-1");
    question.process = 18'000'000'000'000'000'001ULL;
    question.sequence = 7;
    question.config_version = 12;
    question.wait = {600};
    question.at = {"10.0.0.9", 7'340};
    question.capacity = 48.5;
    question.era = {3};
    question.only_tells = true;
    question.uses_of = data_centre_id("n");
    question.ended = {{target_id("e"), {70}, {80}}};
    question.left = vm_id("vm-2");
    question.reads_store = true;
    question.registry_digest = 17'000'000'000'000'000'003ULL;
    question.takes_packed = true;
    question.uses = engine_uses{{target_id("i-1"), {3, 1, 4'000.5, 12.25, 750}}};
    question.leaving = {{target_id("i-1"), incarnation{1'700'000'000'123}}};
    question.suspects = {{{5}, {{crash_id{6}, {}}}, {70}, false}};
    question.suspects_sequence = 8;
    question.segments = {{{6}, {{crash_id{7}, {80}, true, false}}}};
    question.segments_sequence = 9;
    const absl::StatusOr<peer_question> read = parse_peer_question(to_text(question));
    REQUIRE(read.ok());
    CHECK(read->leaving == question.leaving);
    REQUIRE(read->suspects.size() == 1);
    CHECK(read->suspects.front().takedowns == question.suspects.front().takedowns);
    CHECK(read->suspects_sequence == 8);
    REQUIRE(read->segments.size() == 1);
    CHECK(read->segments.front().crashes.front().id == crash_id{7});
    CHECK(read->segments_sequence == 9);
    CHECK(read->vm == question.vm);
    CHECK(read->process == question.process);
    CHECK(read->sequence == 7);
    CHECK(read->config_version == 12);
    CHECK(read->wait == milliseconds{600});
    CHECK(read->at == question.at);
    CHECK(read->capacity == 48.5);
    CHECK(read->era == question.era);
    CHECK(read->only_tells);
    CHECK(read->uses_of == question.uses_of);
    REQUIRE(read->ended.size() == 1);
    CHECK(read->ended.front().started == question.ended.front().started);
    CHECK(read->left == question.left);
    CHECK(read->reads_store);
    CHECK(read->registry_digest == question.registry_digest);
    CHECK(read->takes_packed);
    CHECK(read->uses == question.uses);
}

TEST_CASE("an answer is read as it was written")
{
    peer_answer answer;
    answer.process = 5;
    answer.registry.sequence = 9;
    answer.registry.has_all = true;
    answer.registry.targets = {some_target()};
    answer.registry.gone = {target_id("i-2")};
    answer.registry.unconfirmed = {target_id("i-3"), target_id("i-4")};
    answer.config = "{\"Version\":3}";
    answer.config_age = {10};
    answer.targets_age = {700};
    answer.store_age = milliseconds{-120};
    answer.daemons = 84;
    answer.siblings = 21;
    answer.position = {{3}, 41, 43};
    answer.successors = {{vm_id("vm-3"), {"10.0.0.3", 7'340}}, {vm_id("vm-4"), {"10.0.0.4", 7'340}}};
    answer.better = peer{vm_id("vm-5"), {"10.0.0.5", 7'340}};
    answer.uses = engine_uses{{target_id("i-1"), {3, 1, 4'000.5, 12.25}}};
    const absl::StatusOr<peer_answer> read = parse_peer_answer(to_text(answer));
    REQUIRE(read.ok());
    REQUIRE(read->registry.targets.size() == 1);
    const registered_target& target = read->registry.targets.front();
    CHECK(target.id == some_target().id);
    CHECK(target.service == some_target().service);
    CHECK(target.address == some_target().address);
    CHECK(target.data_centre == some_target().data_centre);
    CHECK(target.slots == 192);
    CHECK(target.leaving);
    CHECK(target.kind == "large");
    CHECK(target.layers == some_target().layers);
    CHECK(target.started == some_target().started);
    CHECK(read->registry.gone == answer.registry.gone);
    CHECK(read->registry.unconfirmed == answer.registry.unconfirmed);
    CHECK(read->config == answer.config);
    CHECK(read->config_age == milliseconds{10});
    CHECK(read->targets_age == milliseconds{700});
    CHECK(read->store_age == milliseconds{-120});
    CHECK(read->daemons == 84);
    CHECK(read->position == answer.position);
    CHECK(read->successors == answer.successors);
    CHECK(read->better == answer.better);
    CHECK(read->siblings == 21);
    CHECK(read->uses == answer.uses);
    CHECK(read->registry.has_all);
}

TEST_CASE("bytes that are no message are refused with a reason")
{
    const std::vector<std::string> bad{"",
                                       "not json",
                                       "[]",
                                       "3",
                                       "{}",
                                       "{\"vm\":3}",
                                       "{\"config_age_ms\":1}",
                                       "{\"config_age_ms\":\"1\",\"targets_age_ms\":2}",
                                       "{\"config_age_ms\":1,\"targets_age_ms\":2,\"targets\":[{}]}",
                                       "{\"config_age_ms\":1,\"targets_age_ms\":2,\"targets\":[3]}"};
    for (const std::string& text : bad) {
        CAPTURE(text);
        CHECK_FALSE(parse_peer_answer(text).ok());
        CHECK_FALSE(parse_peer_question(text).ok());
    }
}

TEST_CASE("fields of another type than expected stop nothing")
{
    CHECK(parse_peer_question("{\"vm\":\"a\",\"uses\":3,\"sequence\":\"x\"}").ok());
    CHECK(parse_peer_question("{\"vm\":\"a\",\"uses\":[3,null,{\"id\":4}]}").ok());
    CHECK(parse_peer_answer("{\"config_age_ms\":1,\"targets_age_ms\":2,\"gone\":[1],\"config\":7}").ok());
}

TEST_CASE("use that is not told is no use of nothing")
{
    peer_question question;
    question.vm = vm_id("a");
    const auto read = parse_peer_question(to_text(question));
    REQUIRE(read.ok());
    CHECK_FALSE(read->uses);
    question.uses = engine_uses{};
    CHECK(parse_peer_question(to_text(question))->uses == engine_uses{});
}

TEST_CASE("packed parts of an answer are read as the plain ones")
{
    registry_update news;
    news.sequence = 12;
    news.has_all = true;
    news.targets = {some_target()};
    news.unconfirmed = {target_id("i-3")};
    peer_answer answer;
    const std::string config = R"({"Version":3,"Routes":["\"quoted\""]})";
    const std::string registry = packed_registry(registry_text(news));
    const std::string packed_config = pack_text(config);
    const absl::StatusOr<peer_answer> read =
        parse_peer_answer(to_text(answer, {registry, std::nullopt, packed_config}));
    REQUIRE(read.ok());
    CHECK(read->config == config);
    CHECK(read->registry.sequence == 12);
    CHECK(read->registry.has_all);
    REQUIRE(read->registry.targets.size() == 1);
    CHECK(read->registry.targets.front().id == some_target().id);
    CHECK(read->registry.unconfirmed == news.unconfirmed);
}

TEST_CASE("an answer with a damaged packed part is refused")
{
    const std::string damaged = R"({"registry_packed":"AAAA"})";
    CHECK_FALSE(parse_peer_answer(to_text(peer_answer{}, {damaged, std::nullopt, std::nullopt})).ok());
    CHECK_FALSE(parse_peer_answer(to_text(peer_answer{}, {registry_text({}), std::nullopt, "AAAA"})).ok());
}

TEST_CASE("a daemon that can't tell what the store holds names another one, or nobody")
{
    const peer other{vm_id("vm-5"), {"10.0.0.5", 7'340}};
    CHECK(parse_peer_referral(to_text(peer_referral{other, false})).better == other);
    CHECK(parse_peer_referral(to_text(peer_referral{std::nullopt, true})).is_starting);
    CHECK_FALSE(parse_peer_referral(to_text(peer_referral{})).better);
    for (const char* text : {"", "[]", "{\"better\":7}", "{\"better\":{\"vm\":\"x\",\"at\":\"nowhere\"}}"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_peer_referral(text).better);
    }
}

// Guards against daemons of different versions, or with and without load control, that misread each other.
TEST_CASE("remaining tokens that a daemon does not tell, or tells wrongly, are unknown")
{
    const engine_uses untold = {{target_id("i-1"), {3, 1, 4'000.5, 12.25}}};
    const std::string before =
        R"([{"entered":1,"id":"i-1","reading":12.25,"running":3,"token_layers":4000.5}])";
    CHECK(uses_text(untold) == before);
    for (const std::string told : {"-1", "\"a\"", "null", "[]"}) {
        const std::string uses = before.substr(0, before.size() - 2) + ",\"remaining\":" + told + "}]";
        const auto read = parse_peer_question("{\"vm\":\"a\",\"uses\":" + uses + "}");
        REQUIRE(read.ok());
        CHECK(read->uses == untold);
    }
}
