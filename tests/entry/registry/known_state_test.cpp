#include "entry/registry/known_state.hpp"

#include "absl/strings/str_cat.h"
#include "dialect.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace dandelionstep;

namespace {

struct knowing_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};

    bool put(std::int64_t version, std::string_view key)
    {
        const std::string text =
            absl::StrCat(R"({"Version":)", version, R"(,"Tenants":[{"Name":"o","ApiKeys":[")",
                         std::string(key), R"("]}]})");
        return put_config(this->context, text, "test");
    }

    [[nodiscard]] bool accepts(const std::string& key) const
    {
        return this->context.config && this->context.config->keys.contains(key);
    }
};

} // namespace

TEST_CASE("only a newer version of the configuration takes the place of the one that is in force")
{
    knowing_daemon daemon;
    CHECK(daemon.put(7, "key-7"));
    CHECK(daemon.put(12, "key-12"));
    for (const std::int64_t older : {12, 11, 7, 0, -1}) {
        CAPTURE(older);
        CHECK_FALSE(daemon.put(older, "key-old"));
        CHECK(daemon.accepts("key-12"));
        CHECK_FALSE(daemon.accepts("key-old"));
    }
}

TEST_CASE("a configuration that can't be read leaves the one that is in force")
{
    knowing_daemon daemon;
    REQUIRE(daemon.put(7, "key-7"));
    for (const char* text : {"", "{", "[]", R"({"Version":"9"})"}) {
        CAPTURE(text);
        CHECK_FALSE(put_config(daemon.context, text, "test"));
        CHECK(daemon.accepts("key-7"));
    }
}

TEST_CASE("requests can be routed once the configuration and the targets are known")
{
    knowing_daemon daemon;
    CHECK_FALSE(can_route(daemon.context));
    REQUIRE(daemon.put(1, "key"));
    CHECK_FALSE(can_route(daemon.context));
    daemon.context.targets_known = true;
    CHECK(can_route(daemon.context));
}
