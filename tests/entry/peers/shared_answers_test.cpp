#include "entry/peers/shared_answers.hpp"

#include "absl/strings/str_cat.h"
#include "entry/peers/peer_messages.hpp"
#include "entry/registry/registry_messages.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;

namespace {

// The registry of a daemon that reads the store.
struct reader {
    registry_log changes;
    target_registry registry;
    unconfirmed_targets unconfirmed;
    time_point as_of{0};
    shared_answers answers;

    void put(int number, std::int64_t slots)
    {
        const target_id id(absl::StrCat("i-", number));
        registered_target target;
        target.id = id;
        target.address = {"10.0.0.1", 8'000};
        target.slots = slots;
        this->registry[id] = target;
        note_change(this->changes, id);
    }
    void drop(int number)
    {
        const target_id id(absl::StrCat("i-", number));
        this->registry.erase(id);
        note_change(this->changes, id);
    }
    const shared_answers::full_list& list_at(time_point now)
    {
        return full_list_of(this->answers, {this->changes, this->registry, this->unconfirmed, this->as_of},
                            now);
    }
};

registry_update read(const std::string& registry)
{
    const auto answer = parse_peer_answer(to_text({}, {registry, std::nullopt, std::nullopt}));
    REQUIRE(answer.ok());
    return answer->registry;
}

void take(const registry_update& news, target_registry& known)
{
    for (const registered_target& target : news.targets) {
        known[target.id] = target;
    }
    for (const target_id& id : find_gone(news, known)) {
        known.erase(id);
    }
}

engine_uses running(std::int64_t count)
{
    return {{target_id("e"), {count, 1, 10, 0.5}}};
}

} // namespace

TEST_CASE("daemons that ask in the same moment get the list from one writing, however much changes meanwhile")
{
    reader store_reader;
    for (int i = 0; i < 3'000; ++i) {
        store_reader.put(i, 1);
    }
    store_reader.as_of = {10'000};
    const std::string first = store_reader.list_at({10'000}).text;
    int writings = 1;
    for (std::int64_t ms = 0; ms < 1'000; ms += 10) {
        store_reader.put(static_cast<int>(ms) % 3'000, ms);
        store_reader.as_of = {10'000 + ms};
        const time_point before = store_reader.answers.all->written_at;
        const shared_answers::full_list& list = store_reader.list_at({10'000 + ms});
        writings += list.written_at == before ? 0 : 1;
        // The list is as old as it says.
        CHECK(list.as_of == list.written_at);
        CHECK(10'000 + ms - list.as_of.count < 500);
    }
    CHECK(writings == 2);
    CHECK(first != store_reader.answers.all->text);
}

TEST_CASE("the list and the changes after it give what the reader has")
{
    reader store_reader;
    for (int i = 0; i < 20; ++i) {
        store_reader.put(i, 1);
    }
    (void)store_reader.list_at({10'000});
    store_reader.put(3, 7);
    store_reader.drop(4);
    store_reader.put(20, 1);
    const shared_answers::full_list& list = store_reader.list_at({10'100});
    target_registry known;
    take(read(list.text), known);
    CHECK(known.size() == 20);
    take(updates_since(store_reader.changes, store_reader.registry, store_reader.unconfirmed, list.sequence),
         known);
    REQUIRE(known.size() == 20);
    CHECK(known.at(target_id("i-3")).slots == 7);
    CHECK_FALSE(known.contains(target_id("i-4")));
    CHECK(known.contains(target_id("i-20")));
}

TEST_CASE("a list whose later changes are forgotten is written anew")
{
    reader store_reader;
    store_reader.put(0, 1);
    (void)store_reader.list_at({10'000});
    for (int i = 0; i < 5'000; ++i) {
        store_reader.put(1, i);
    }
    CHECK(store_reader.list_at({10'010}).sequence == store_reader.changes.sequence);
}

TEST_CASE("a target that came into doubt is not told as registered by a list from before")
{
    reader store_reader;
    store_reader.put(0, 1);
    store_reader.put(1, 1);
    CHECK(read(store_reader.list_at({10'000}).text).targets.size() == 2);
    store_reader.unconfirmed[target_id("i-1")] = {12'000};
    const registry_update news = read(store_reader.list_at({10'010}).text);
    REQUIRE(news.targets.size() == 1);
    CHECK(news.targets.front().id == target_id("i-0"));
    CHECK(news.unconfirmed == std::vector<target_id>{target_id("i-1")});
}

TEST_CASE("the use of engines is written as often as it is added up, with the reader's own")
{
    shared_answers answers;
    load_reports told;
    int own_asked = 0;
    const auto own = [&own_asked] {
        ++own_asked;
        return running(2);
    };
    for (std::int64_t ms = 0; ms < 1'000; ms += 10) {
        note_engine_uses(told, vm_id("a"), running(5), {10'000 + ms});
        const std::string& text = uses_text_of(answers, told, own, {10'000 + ms});
        const auto answer = parse_peer_answer(to_text({}, {registry_text({}), text, std::nullopt}));
        REQUIRE(answer.ok());
        REQUIRE(answer->uses);
        CHECK(answer->uses->at(target_id("e")).running == 7);
    }
    CHECK(own_asked == 4);
}
