#include "engine_standin.hpp"
#include "platform_standin.hpp"
#include "replica_standin.hpp"
#include "row_store_standin.hpp"
#include "service_standin.hpp"
#include "target/parse_endpoint.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

namespace {

using namespace dandelionstep;
using namespace dandelionstep::standins;

int finish(const absl::Status& status)
{
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
    }
    return status.ok() ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app("Stand-ins for the platform, for engines and for plain services.");
    app.require_subcommand(1);
    endpoint listen{"127.0.0.1", 0};
    app.add_option("--port", listen.port, "Port; 0 takes a free one, which is printed");

    platform_options platform;
    CLI::App* run_platform_command = app.add_subcommand("platform", "The platform's services");
    run_platform_command->add_option("--weight-bytes-per-second", platform.weight_bytes_per_second);
    run_platform_command->add_option("--vm-list-lag-ms", platform.vm_list_lag_ms);

    engine_options engine;
    CLI::App* run_engine_command = app.add_subcommand("engine", "An engine that holds a range of layers");
    run_engine_command->add_option("--name", engine.name);
    run_engine_command->add_option("--model", engine.model);
    run_engine_command->add_option("--version", engine.version);
    run_engine_command->add_option("--begin-layer", engine.begin_layer);
    run_engine_command->add_option("--end-layer", engine.end_layer);
    run_engine_command->add_option("--step-ms", engine.step_ms);
    run_engine_command->add_option("--max-batch", engine.max_batch);
    run_engine_command->add_option("--prefill-tokens-per-step", engine.prefill_tokens_per_step);
    run_engine_command->add_flag("--checks-fencing", engine.checks_fencing);

    service_options service;
    CLI::App* run_service_command = app.add_subcommand("service", "A plain service");
    run_service_command->add_option("--name", service.name);

    row_store_options row_store;
    CLI::App* run_row_store_command = app.add_subcommand("row-store", "The users' store of rows");
    run_row_store_command->add_option("--addresses", row_store.addresses, "Loopback addresses to listen at");
    run_row_store_command->add_flag("!--without-era", row_store.tells_era, "Its answers do not tell its era");

    replica_options replica;
    std::string store_address;
    std::string registered_address;
    CLI::App* run_replica_command = app.add_subcommand("replica", "A replica on the users' platform");
    run_replica_command->add_option("--id", replica.id);
    run_replica_command->add_option("--service", replica.service);
    run_replica_command->add_option("--store", store_address, "Address of the row store")->required();
    run_replica_command->add_option("--registered", registered_address, "Where others reach it");
    run_replica_command->add_option("--data-centre", replica.data_centre);
    run_replica_command->add_option("--kind", replica.kind, "Accelerator kind; an engine when it is given");
    run_replica_command->add_option("--layers", replica.layers, "Layers of the model");
    run_replica_command->add_option("--event-ms", replica.event_ms);
    run_replica_command->add_option("--stall-ms", replica.stall_ms);
    run_replica_command->add_option("--crashes-on", replica.crashes_on, "Text of requests that end it");
    run_replica_command->add_flag("--crashes-later-engines", replica.crashes_later_engines);
    run_replica_command->add_flag("--streams-end-with-connection", replica.streams_end_with_connection);

    CLI11_PARSE(app, argument_count, arguments);
    if (run_platform_command->parsed()) {
        platform.listen = listen;
        return finish(run_platform(platform));
    }
    if (run_engine_command->parsed()) {
        engine.listen = listen;
        return finish(run_engine(engine));
    }
    if (run_row_store_command->parsed()) {
        row_store.listen = listen;
        return finish(run_row_store(row_store));
    }
    if (run_replica_command->parsed()) {
        const absl::StatusOr<endpoint> store = parse_endpoint(store_address);
        const absl::StatusOr<endpoint> registered =
            registered_address.empty() ? endpoint{} : parse_endpoint(registered_address);
        if (!store.ok() || !registered.ok()) {
            return finish(store.ok() ? registered.status() : store.status());
        }
        replica.listen = listen;
        replica.store = *store;
        replica.registered = *registered;
        return finish(run_replica(replica));
    }
    service.listen = listen;
    return finish(run_service(service));
}
