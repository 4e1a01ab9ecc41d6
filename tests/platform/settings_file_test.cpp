#include "settings_file.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace dandelionstep;
using namespace dandelionstep::platform;

namespace {

const std::string least = R"(
NodeName = "frontend-1"
Zone = "nashua"
IpAddress = "10.1.0.40"
[ListenAddresses]
Frontend = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
[Platform]
Address = "10.200.1.7:8223"
)";

} // namespace

TEST_CASE("a settings file without bounds is read with safe defaults")
{
    const auto read = parse_settings_file(least, "f");
    REQUIRE(read.ok());
    CHECK(read->vm.value == "frontend-1");
    CHECK(read->data_centre.value == "nashua");
    CHECK(read->callers == endpoint{"10.1.0.40", 8227});
    CHECK(read->readiness == endpoint{"10.1.0.40", 8220});
    CHECK(read->store == endpoint{"10.200.1.7", 8223});
    CHECK(read->drain_time == entry_settings{}.drain_time);
}

TEST_CASE("bounds are read with their units, whole or with fractions, and unknown fields are ignored")
{
    const auto read = parse_settings_file(least + R"(
RowBytes = 1000
[Unheard]
Of = { Nested = [1, 2] }
[Bounds]
DrainMs = 1500
GracePeriodS = 8.5
BudgetWindowS = 5
RetryBudgetRatio = 0.1
RetryBudgetSlack = 306.0
ConfigurationApplyMs = 3000.0
StabilityWindowMs = 4000
StrictRevocation = true
)",
                                          "f");
    REQUIRE(read.ok());
    CHECK(read->drain_time == milliseconds{1'500});
    CHECK(read->grace_period == milliseconds{8'500});
    CHECK(read->retry_window == milliseconds{5'000});
    CHECK(read->retry_ratio == 0.1);
    CHECK(read->retry_slack == 306);
    CHECK(read->configuration_time == milliseconds{3'000});
    CHECK(read->stability_window == milliseconds{4'000});
    CHECK(read->max_row_bytes == 1'000);
}

TEST_CASE("a settings file that can't be used is refused, naming the field")
{
    struct refused_case {
        std::string from;
        std::string to;
        std::string named;
    };
    const std::vector<refused_case> table{
        {"NodeName = \"frontend-1\"", "", "NodeName"},
        {"Zone = \"nashua\"", "Zone = 4", "Zone"},
        {"10.1.0.40:8227", "nowhere", "ListenAddresses.Frontend"},
        {"Ready = \"10.1.0.40:8220\"", "", "ListenAddresses.Ready"},
        {"Address = \"10.200", "Adress = \"10.200", "Platform.Address"},
        {"[Platform]", "[Platform", "f"},
    };
    for (const refused_case& one : table) {
        CAPTURE(one.from);
        std::string text = least;
        const std::size_t at = text.find(one.from);
        REQUIRE(at != std::string::npos);
        text.replace(at, one.from.size(), one.to);
        const auto read = parse_settings_file(text, "f");
        REQUIRE_FALSE(read.ok());
        CHECK(std::string(read.status().message()).find(one.named) != std::string::npos);
    }
}
