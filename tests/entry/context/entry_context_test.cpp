#include "dialect.hpp"
#include "entry/context/entry_context.hpp"

#include <doctest/doctest.h>

using namespace dandelionstep;

namespace {

constexpr std::int64_t heard = 8;

struct counted_daemon {
    event_loop loop;
    entry_context context{this->loop, platform::users_platform(), {}};
};

} // namespace

TEST_CASE("a daemon that sees itself alone after it has seen others does not take their share of the retries")
{
    counted_daemon daemon;
    know_daemons(daemon.context, heard, 3);
    const double share = budget_of(daemon.context, service_id("orders")).max_balance;
    know_daemons(daemon.context, 1, 1);
    CHECK(daemon.context.daemons == 1);
    CHECK(budget_of(daemon.context, service_id("orders")).max_balance == share);
    know_daemons(daemon.context, heard * 2, 3);
    CHECK(budget_of(daemon.context, service_id("orders")).max_balance < share);
}
