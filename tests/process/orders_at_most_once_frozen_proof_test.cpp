#include "support/order_faults.hpp"

#include <array>
#include <doctest/doctest.h>
#include <thread>

using namespace dandelionstep;
using namespace dandelionstep::testing;

TEST_CASE("an order runs at most once, its daemon frozen past its lease and resumed at every point between "
          "claim, send and record")
{
    const std::vector<order_point> points = order_points();
    std::vector<order_history> histories(points.size());
    // Two clusters at a time keep the processes few.
    for (std::size_t first = 0; first < points.size(); first += 2) {
        std::thread beside(
            [&] { histories[first + 1] = disturb(points[first + 1], disturbance::frozen_past_its_lease); });
        histories[first] = disturb(points[first], disturbance::frozen_past_its_lease);
        beside.join();
    }
    for (std::size_t i = 0; i < points.size(); ++i) {
        CAPTURE(points[i].name);
        CHECK(histories[i].executions <= 1);
        CHECK(histories[i].executions >= points[i].least_executions);
        CHECK(histories[i].untrue == 0);
        CHECK((histories[i].last_repeat_settled || !points[i].settles_by_itself));
        for (const http_result& answer : histories[i].answers) {
            // The killed daemon's own caller sees its connection break; everyone else is told an outcome.
            CHECK((!answer.answered() || !answer.header("Outcome").empty()));
            CHECK((answer.header("Outcome") != "completed" || histories[i].executions == 1));
        }
    }
}
