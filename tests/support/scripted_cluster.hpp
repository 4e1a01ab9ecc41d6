#pragma once

#include "adapters/event_loop.hpp"
#include "adapters/http_reader.hpp"
#include "support/entry_cluster.hpp"
#include "support/scripted_peer.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstep::testing {

//! A request as it reached a target.
struct arrival {
    std::size_t target = 0;
    time_point at;
    http_head head;
    std::string body;
    raw_connection* from = nullptr;
};

//! What a target says of itself in the store.
struct registration {
    //! The usual one of the target when empty.
    std::string id{};
    std::string service = "orders";
    std::string state = "ready";
    //! The civil time at which its process started.
    std::int64_t started = 1;
    //! Of an engine: its kind of accelerator, and the layers that it holds up to `end_layer`.
    std::string kind{};
    std::int64_t first_layer = 0;
    std::int64_t end_layer = 0;
};

//! What a caller received on one connection.
struct raw_answer {
    int status = 0;
    http_headers headers;
    std::string body;
    //! Whether it is complete by the protocol.
    bool whole = false;
};

//! A request's bytes with the usual headers of a caller; `headers` are whole lines.
std::string request_bytes(std::string_view method, std::string_view target, std::string_view attempt,
                          std::string_view headers = "", std::string_view body = "");

//! A signed answer's bytes; `headers` are whole lines.
std::string signed_answer(int status, std::string_view body, std::string_view headers = "");

//! The same with the request's id, as targets echo it.
std::string signed_answer_to(const arrival& request, int status, std::string_view body);

//! One entry daemon between callers and targets whose bytes a test writes itself: plain ones of the service
//! "orders", unless they are registered as others.
class scripted_cluster {
public:
    using handler = std::function<void(const arrival&)>;

    explicit scripted_cluster(std::size_t target_count, entry_plan plan = {});

    //! Called with each request that reached a target; answers with a success at first.
    handler handle;
    std::vector<arrival> arrivals;
    event_loop loop;

    //! Registers the targets, writes the configuration and waits until lookups are served.
    bool become_ready(const std::function<void(json&)>& change = {});
    //! Registers a target under its usual id, or under another one.
    void enter(std::size_t target, const registration& entry = {});
    void remove(std::size_t target);
    //! Ends the connection in order and refuses new ones, as the system does for a process that ends.
    void end_process(std::size_t target, raw_connection& answering);
    [[nodiscard]] endpoint address_of(std::size_t target) const
    {
        return this->targets.at(target)->address();
    }
    entry_cluster& daemons() { return *this->cluster; }

    //! Opens a caller's connection to the daemon.
    std::shared_ptr<raw_connection> connect();
    //! Sends the bytes over a new connection and waits for an answer, or the connection's end.
    raw_answer ask(const std::string& bytes, milliseconds within = {6'000});
    //! The answers that have come on a connection so far.
    [[nodiscard]] static std::vector<raw_answer> answers_on(const raw_connection& caller);
    //! Runs the loop until the condition holds.
    bool await(const std::function<bool()>& condition, milliseconds within = {5'000});
    //! How often the attempt reached targets.
    [[nodiscard]] std::size_t arrivals_of(std::string_view attempt) const;

private:
    struct reading {
        std::size_t taken = 0;
        http_head head;
        std::string body;
        std::unique_ptr<http_reader> reader;
    };

    void take(std::size_t target, raw_connection& from);

    std::map<raw_connection*, reading> readings;
    std::vector<std::unique_ptr<scripted_server>> targets;
    std::unique_ptr<entry_cluster> cluster;
};

} // namespace dandelionstep::testing
