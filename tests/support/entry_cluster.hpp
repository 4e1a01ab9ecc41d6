#pragma once

#include "adapters/http_client.hpp"
#include "common/json_types.hpp"
#include "support/child_process.hpp"
#include "target/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dandelionstep::testing {

//! The key of the only organisation that the test configuration declares, and its name.
inline constexpr const char* entry_key = "key-1";
inline constexpr const char* entry_organisation = "organisation-1";
//! Layers of the model on the users' stand-ins.
inline constexpr std::int64_t entry_layers = 8;

//! One replica of a test cluster; an engine when it has an accelerator kind ("big" or "small").
struct replica_plan {
    std::string id;
    std::string service;
    std::string kind;
    std::string data_centre = "n";
};

//! What a cluster of entry daemons consists of.
struct entry_plan {
    //! The data centre of each daemon.
    std::vector<std::string> daemons{"n"};
    std::vector<replica_plan> replicas;
    std::int64_t drain_ms = 600;
    std::int64_t config_ms = 1'000;
    std::int64_t stability_ms = 1'500;
    std::int64_t grace_s = 8;
    std::int64_t stall_ms = 3'000;
    //! What the settings tell as the memory of each vm.
    std::int64_t memory_mb = 128;
    std::int64_t event_ms = 20;
    //! How often the daemons expect replicas to renew their registration; those of the cluster do so.
    std::int64_t heartbeat_ms = 200;
    //! Repeats that all daemons together may send beyond a share of the requests.
    std::int64_t retry_slack = 1'000;
    //! Whether the daemons may ask each other; else each reads the store for itself.
    bool has_peers = true;
    //! The longest pause between events that the streaming route allows.
    std::int64_t gap_objective_ms = 200;
    //! Whether each daemon reaches the store at an address of its own, so that it can refuse some of them.
    bool own_store_addresses = false;
    //! Where the daemons reach the store, if not directly; by its real address.
    std::map<std::string, endpoint> store_seen_at;
    //! Where each replica registers itself, if not at its own address.
    std::map<std::string, endpoint> replica_seen_at;
    //! Requests whose body, path or prompt segments hold this text end each replica that runs them: the first
    //! engine of a path, or the later ones. None when empty.
    std::string crashes_on;
    bool crashes_later_engines = false;
    bool streams_end_with_connection = false;
    //! The daemons' option --load-control.
    std::string load_control = "auto";
    //! Whether they get the option --queue-streams.
    bool queues_streams = false;
    //! Whether the store's answers tell its era.
    bool store_tells_era = true;
    //! Called with the address of the store and of each replica when it has started.
    std::function<void(const std::string& name, const endpoint& at)> on_address;
};

//! Two copies of the model on small engines, and three replicas of the service "orders".
entry_plan usual_entry_plan();

//! An answer to a request, as its caller saw it.
struct caller_answer {
    int status = 0;
    std::string body;
    http_headers headers;
    bool whole = false;
    std::chrono::steady_clock::time_point sent_at;
    std::chrono::steady_clock::time_point ended_at;
};

//! Posts to a stand-in, for example fault switches or the rows of a writer.
http_result post_json(const endpoint& to, const std::string& path, const json& body,
                      http_headers headers = {});

//! A request of a caller with the key that is always valid; `extra` headers go before the usual ones.
http_request caller_request(const std::string& method, const std::string& path, const std::string& attempt,
                            const std::string& body = "", http_headers extra = {});

//! The users' store, replicas and entry daemons as separate processes on loopback.
class entry_cluster {
public:
    explicit entry_cluster(entry_plan plan);

    void start_replica(const std::string& id);
    //! The first start of a daemon is told as one of the whole system, later ones are not.
    void start_daemon(std::size_t index);
    //! Writes the configuration with the next version; `change` may alter it first.
    void write_config(const std::function<void(json&)>& change = {});
    //! Writes the newest configuration again, as the operator does when the store has lost it.
    void repeat_config();
    //! Writes `value` into the store, as `writer` would.
    void write_row(const std::string& writer, const std::string& table, const std::string& key,
                   const std::string& value);
    //! Writes a row whose value is this text in the store's own encoding, or is none in it.
    void write_encoded_row(const std::string& writer, const std::string& table, const std::string& key,
                           const std::string& encoded);
    //! Removes a row, as `writer` would.
    void remove_row(const std::string& writer, const std::string& table, const std::string& key);
    //! Whether the daemon says that it is ready.
    bool is_ready(std::size_t index);
    //! Writes a configuration and waits until every daemon serves streams.
    bool become_ready();
    //! Waits until each layer is held by an engine that the daemons know.
    bool await_layers();

    //! Sends a request to a daemon and waits for its answer. `extra` headers go before the usual ones.
    caller_answer ask(std::size_t daemon, const std::string& method, const std::string& path,
                      const std::string& attempt, const std::string& body = "", http_headers extra = {});
    caller_answer stream(std::size_t daemon, const std::string& attempt, const std::string& body);
    caller_answer order(std::size_t daemon, const std::string& attempt, const std::string& body);
    caller_answer look_up(std::size_t daemon, const std::string& attempt);

    [[nodiscard]] std::vector<std::string> replica_ids() const;
    //! What a replica ran.
    json ledger(const std::string& id);
    //! What an engine reports of itself; empty when it doesn't answer.
    json report(const std::string& id);
    //! Whether it is an engine at which streams enter.
    bool holds_first_layer(const std::string& id);
    //! How often all replicas together ran an attempt.
    std::int64_t runs_of(const std::string& attempt);
    //! Sets fault switches of "store" or a replica.
    void set_faults(const std::string& name, const json& faults);
    //! Everything that the daemon wrote, after it has ended.
    [[nodiscard]] std::string output_of(std::size_t daemon);
    //! Ends all daemons and writes what they logged, one file each, into a new folder.
    void keep_logs(const std::string& in);
    //! The value of one of the daemon's gauges; -1 when it can't be read.
    [[nodiscard]] std::int64_t gauge_of(std::size_t daemon, const std::string& name);
    //! The settings file of a daemon.
    [[nodiscard]] std::string settings_of(std::size_t daemon) const;
    //! Where the daemon reaches the store.
    [[nodiscard]] endpoint store_of(std::size_t daemon) const;
    //! Whether the daemon lets requests with that key through.
    bool accepts_key(std::size_t daemon, const std::string& key);
    //! Writes a configuration in which the key is valid beside the usual one.
    void write_key(const std::string& key);
    //! Calls that the daemons have made to the store.
    std::int64_t store_calls();
    [[nodiscard]] endpoint callers_of(std::size_t daemon) const { return this->daemons.at(daemon).callers; }
    [[nodiscard]] endpoint address_of(const std::string& name) const { return this->addresses.at(name); }

    std::map<std::string, child_process> processes;

private:
    struct daemon_addresses {
        endpoint callers;
        endpoint readiness;
        //! Where the other daemons of the data centre ask it.
        std::uint16_t peer_port = 0;
        bool was_started = false;
    };

    [[nodiscard]] std::string settings_text(std::size_t index, bool is_first_start) const;
    [[nodiscard]] json config_json() const;
    void read_port(const std::string& name);

    entry_plan plan;
    scratch_folder folder;
    std::map<std::string, endpoint> addresses;
    std::vector<daemon_addresses> daemons;
    std::int64_t config_version = 0;
    std::string newest_config;
};

//! Whether the body is the whole stream that answers the request's body: every event once and in order.
bool is_whole_stream(const caller_answer& answer, const std::string& request_body);

//! Whether the events of the body, which may be cut, are the first of that stream, in order and none twice.
bool is_stream_prefix(const std::string& received, const std::string& request_body);

} // namespace dandelionstep::testing
