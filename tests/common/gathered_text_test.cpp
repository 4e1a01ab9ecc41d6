#include "common/gathered_text.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

constexpr std::size_t budget_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t part_bytes = std::size_t{16} * 1024;

std::shared_ptr<byte_budget> usual_budget()
{
    return std::make_shared<byte_budget>(byte_budget{budget_bytes, 0});
}

// Adds to the text until it is refused.
void fill(gathered_text& text)
{
    while (text.append(std::string(part_bytes, 'x'))) {
    }
}

} // namespace

TEST_CASE("a text gives back what it held when it is taken or goes")
{
    const auto budget = usual_budget();
    gathered_text taken(budget);
    {
        gathered_text gone(budget);
        REQUIRE(gone.append("abc"));
        REQUIRE(taken.append("de"));
        CHECK(budget->held == 5);
    }
    CHECK(budget->held == 2);
    CHECK(taken.take() == "de");
    CHECK(taken.text().empty());
    CHECK(budget->held == 0);
}

TEST_CASE("a part that does not fit is left out whole")
{
    const auto budget = std::make_shared<byte_budget>(byte_budget{100, 0});
    gathered_text text(budget);
    REQUIRE(text.append("abc"));
    CHECK_FALSE(text.append(std::string(100, 'x')));
    CHECK(text.text() == "abc");
    CHECK(budget->held == 3);
}

TEST_CASE("one long text may have a sixth of the budget")
{
    const auto budget = usual_budget();
    gathered_text text(budget);
    CHECK(text.append(std::string(budget_bytes / 6, 'x')));
}

// The load that it answers: many replicas in trouble whose answers do not end, beside replicas that work.
TEST_CASE("beside hundreds of texts without end there is room for short ones")
{
    const auto budget = usual_budget();
    std::vector<std::unique_ptr<gathered_text>> endless;
    for (int i = 0; i < 500; ++i) {
        endless.push_back(std::make_unique<gathered_text>(budget));
        fill(*endless.back());
    }
    CHECK(budget->held <= budget_bytes);
    gathered_text answer(budget);
    CHECK(answer.append("a whole answer"));
}
