// Measures what the choice of a path costs one daemon without and with load control, and the size of its
// reports.

#include "absl/strings/str_cat.h"
#include "dialect.hpp"
#include "entry/engines/path_choice.hpp"
#include "entry/peers/peer_messages.hpp"
#include "support/mixed_engines.hpp"

#include <CLI/CLI.hpp>
#include <cmath>
#include <ctime>
#include <iostream>

namespace {

using namespace dandelionstep;
using namespace dandelionstep::testing;

double processor_us()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

// Engines of three kinds that each hold a quarter of the layers, all in use by this daemon and by others.
void add_engines(entry_context& context, int count)
{
    constexpr std::int64_t quarters = 4;
    for (int i = 0; i < count; ++i) {
        const std::int64_t begin = i % quarters * 20;
        registered_target engine =
            engine_with(absl::StrCat("i-engine-", i), i % 3 == 0 ? "large" : "small", "n", begin, begin + 20);
        engine.service = service_id("model");
        target_condition& condition = context.conditions[engine.id];
        condition.in_flight = 1 + i % 5;
        condition.token_layers = 20'000.0 * static_cast<double>(condition.in_flight);
        condition.remaining_tokens = 80.0 * static_cast<double>(condition.in_flight);
        context.others[engine.id] = {10 + i % 7, 3, 400'000, 1, 900.0 + i};
        context.targets[engine.id] = std::move(engine);
    }
    context.others_at = event_loop::now();
}

double choice_us(load_control_mode mode, int engines, int choices)
{
    event_loop loop;
    entry_settings settings;
    settings.data_centre = data_centre_id("n");
    settings.load_control = mode;
    entry_context context(loop, platform::users_platform(), settings);
    add_engines(context, engines);
    entry_service service;
    service.id = service_id("model");
    service.engine = mixed_profile();
    path_wish wish;
    wish.service = &service;
    wish.prompt_tokens = 800;
    wish.total_tokens = 1'000;
    const double before = processor_us();
    std::size_t parts = 0;
    for (int i = 0; i < choices; ++i) {
        context.others_at = event_loop::now();
        parts += choose_path(context, wish).size();
    }
    return parts > 0 ? (processor_us() - before) / choices : 0;
}

// Bytes of a report on that many engines, without and with the remaining tokens.
void print_report_bytes(int engines)
{
    engine_uses before;
    engine_uses after;
    for (int i = 0; i < engines; ++i) {
        // Loads that decay have as many digits as a double holds.
        const engine_use use{10 + i % 50, 3, 407'800.0 + i, std::exp2(-0.01 * i)};
        before[target_id(absl::StrCat("i-engine-", i))] = use;
        engine_use told = use;
        told.remaining = 900.0 + 37 * i;
        after[target_id(absl::StrCat("i-engine-", i))] = told;
    }
    std::cout << "report engines=" << engines << " bytes=" << uses_text(before).size()
              << " bytes_with_remaining=" << uses_text(after).size() << std::endl;
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Measures what the choice of a path costs.");
    int engines = 100;
    int choices = 5'000;
    app.add_option("--engines", engines, "Engines of the service");
    app.add_option("--choices", choices, "Choices of each round");
    CLI11_PARSE(app, argument_count, arguments);
    for (int round = 0; round < 3; ++round) {
        const double off = choice_us(load_control_mode::off, engines, choices);
        const double on = choice_us(load_control_mode::on, engines, choices);
        std::cout << "path_choice engines=" << engines << " cpu_us_off=" << off << " cpu_us_on=" << on
                  << std::endl;
    }
    print_report_bytes(engines);
    return 0;
}
