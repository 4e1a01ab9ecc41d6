#include "tool/plan_command.hpp"

#include "configuration/declarations.hpp"
#include "route/throughput_bound.hpp"
#include "tool/declaration_files.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace dandelionstep {
namespace {

struct plan_options {
    std::vector<std::string> paths;
    std::vector<std::string> lost;
};

json limit_json(const bottleneck& limit)
{
    json entry{{"kind", limit.targets > 0 ? "targets" : "link"},
               {"from", limit.from.value},
               {"to", limit.to.value},
               {"begin_layer", limit.layers.begin.value},
               {"end_layer", limit.layers.end.value},
               {"tokens_per_second", limit.tokens_per_second}};
    if (limit.targets > 0) {
        entry["targets"] = limit.targets;
    }
    return entry;
}

void print_limit(const bottleneck& limit)
{
    if (limit.targets > 0) {
        std::cout << "  limited_by=targets data_centre=" << limit.from.value
                  << " layers=" << limit.layers.begin.value << "-" << limit.layers.end.value
                  << " targets=" << limit.targets;
    } else {
        std::cout << "  limited_by=link from=" << limit.from.value << " to=" << limit.to.value
                  << " at_layer=" << limit.layers.begin.value;
    }
    std::cout << " tokens_per_second=" << limit.tokens_per_second << "\n";
}

int show_plan(const tool_options& options, const plan_options& plan)
{
    const auto records = read_declarations(plan.paths);
    if (!records.ok()) {
        std::cerr << records.status().message() << "\n";
        return exit_bad_usage;
    }
    declarations declared;
    for (const configuration_record& record : *records) {
        if (const absl::Status status = apply_record(declared, record); !status.ok()) {
            std::cerr << status.message() << "\n";
            return exit_bad_usage;
        }
    }
    std::set<target_id> lost;
    for (const std::string& name : plan.lost) {
        lost.insert(target_id(name));
    }
    json all = json::array();
    for (const auto& [name, each] : declared.models) {
        const throughput_bound bound = find_throughput_bound(declared, name, lost);
        json cut = json::array();
        for (const bottleneck& limit : bound.cut) {
            cut.push_back(limit_json(limit));
        }
        all.push_back({{"model", name.value}, {"tokens_per_second", bound.tokens_per_second}, {"cut", cut}});
        if (options.output == "text") {
            std::cout << "model=" << name.value << " bound_tokens_per_second=" << bound.tokens_per_second
                      << "\n";
            for (const bottleneck& limit : bound.cut) {
                print_limit(limit);
            }
        }
    }
    if (options.output == "json") {
        std::cout << dump(all) << "\n";
    }
    return exit_ok;
}

} // namespace

void add_plan_command(CLI::App& app, tool_options& options)
{
    const auto plan = std::make_shared<plan_options>();
    CLI::App* command = app.add_subcommand("plan", "Show each model's throughput bound and what limits it");
    command->add_option("files", plan->paths, "Declaration files (TOML)")->required();
    command->add_option("--lost", plan->lost, "A target to leave out; repeat for more");
    command->callback([&options, plan] { options.exit_status = show_plan(options, *plan); });
}

} // namespace dandelionstep
