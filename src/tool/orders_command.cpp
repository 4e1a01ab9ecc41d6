#include "tool/orders_command.hpp"

#include "adapters/percent_encode.hpp"
#include "tool/call_any.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

//! What `orders settle` was given.
struct settle_options {
    std::string organisation;
    std::string service;
    std::string key;
    std::string note;
    bool ran = false;
    bool did_not_run = false;
};

void print_order(const json& order)
{
    std::cout << "organisation=" << string_or(order, "organisation", "")
              << " service=" << string_or(order, "service", "") << " key=" << string_or(order, "key", "")
              << " phase=" << string_or(order, "phase", "") << " age_ms=" << integer_or(order, "age_ms", 0)
              << " holder=" << string_or(order, "holder", "")
              << " request=" << string_or(order, "request", "") << " note=" << string_or(order, "note", "")
              << "\n";
}

int list_orders(const tool_options& options, const std::string& phase)
{
    json all = json::array();
    std::string after;
    do {
        const auto page =
            call_any(options, "GET",
                     "/v1/orders?phase=" + percent_encode(phase) + "&after=" + percent_encode(after), "");
        if (const int status = report_call(page); status != exit_ok) {
            return status;
        }
        for (const json& order : page->body.value("orders", json::array())) {
            all.push_back(order);
        }
        after = string_or(page->body, "next", "");
    } while (!after.empty());
    if (options.output == "json") {
        std::cout << dump(all) << "\n";
        return exit_ok;
    }
    for (const json& order : all) {
        print_order(order);
    }
    return exit_ok;
}

int settle_order(const tool_options& options, const settle_options& settle)
{
    if (settle.ran == settle.did_not_run) {
        std::cerr << "one of --ran and --did-not-run is needed\n";
        return exit_bad_usage;
    }
    const json body{{"organisation", settle.organisation},
                    {"service", settle.service},
                    {"key", settle.key},
                    {"ran", settle.ran},
                    {"note", settle.note}};
    const auto answer = call_any(options, "POST", "/v1/orders/settle", dump(body));
    if (const int status = report_call(answer); status != exit_ok) {
        return status;
    }
    if (options.output == "json") {
        std::cout << dump(answer->body) << "\n";
    } else {
        print_order(answer->body);
    }
    return exit_ok;
}

} // namespace

void add_order_commands(CLI::App& app, tool_options& options)
{
    CLI::App* orders = app.add_subcommand("orders", "Find and settle orders whose outcome is unknown");
    orders->require_subcommand(1);

    const auto phase = std::make_shared<std::string>("sending");
    CLI::App* list = orders->add_subcommand("list", "List orders of one phase");
    list->add_option("--phase", *phase, "The phase; \"sending\" are those that may have run");
    list->callback([&options, phase] { options.exit_status = list_orders(options, *phase); });

    const auto given = std::make_shared<settle_options>();
    CLI::App* settle = orders->add_subcommand("settle", "Record what became of an order");
    settle->add_option("organisation", given->organisation)->required();
    settle->add_option("service", given->service)->required();
    settle->add_option("key", given->key, "The caller's Idempotency-Key")->required();
    settle->add_option("--note", given->note, "How it was found out")->required();
    settle->add_flag("--ran", given->ran, "The order ran");
    settle->add_flag("--did-not-run", given->did_not_run, "The order did not run; its key stays used up");
    settle->callback([&options, given] { options.exit_status = settle_order(options, *given); });
}

} // namespace dandelionstep
