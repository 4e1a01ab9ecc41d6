#include "tool/drain_command.hpp"

#include "absl/strings/str_cat.h"
#include "adapters/http_client.hpp"
#include "common/json.hpp"
#include "target/drain.hpp"
#include "target/parse_endpoint.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <thread>

namespace dandelionstep {
namespace {

constexpr int ok_status = 200;
constexpr milliseconds answer_timeout{1000};
constexpr milliseconds pause_between_rounds{500};

using known_daemons = std::map<vm_id, known_daemon>;
using answers_by_address = std::map<endpoint, http_result>;

member_state parse_state(const std::string& name)
{
    for (const member_state state : {member_state::suspect, member_state::dead, member_state::left}) {
        if (to_string(state) == name) {
            return state;
        }
    }
    return member_state::alive;
}

// Asks all addresses at once and waits for the last answer.
answers_by_address ask_all(const tool_options& options, const std::string& target,
                           const std::set<endpoint>& addresses)
{
    event_loop loop;
    http_client http(loop);
    answers_by_address answers;
    for (const endpoint& address : addresses) {
        http_request request{.method = "GET", .path = absl::StrCat("/v1/targets/", target, "/in-flight")};
        request.headers = {{"Authorization", "Bearer " + options.token}};
        request.timeout = answer_timeout;
        http.send(address, std::move(request), [&, address](const http_result& result) {
            answers[address] = result;
            if (answers.size() == addresses.size()) {
                loop.stop();
            }
        });
    }
    if (!addresses.empty()) {
        loop.run();
    }
    return answers;
}

json body_of(const http_result& answer)
{
    auto body = parse_json(answer.body);
    const bool usable = answer.answered() && answer.status == ok_status && body.ok() && body->is_object();
    return usable ? *std::move(body) : json::object();
}

// Members of which one daemon tells, oneself included.
void learn_from(known_daemons& known, const json& body)
{
    for (const json& entry : body.value("daemons", json::array())) {
        const auto address = parse_endpoint(string_or(entry, "operators", ""));
        merge_known_daemon(known, vm_id(string_or(entry, "vm", "")),
                           {address.value_or(endpoint{}), incarnation{integer_or(entry, "incarnation", 0)},
                            parse_state(string_or(entry, "state", ""))});
    }
}

std::vector<polled_daemon> match(const known_daemons& known, const answers_by_address& answers)
{
    std::vector<polled_daemon> asked;
    for (const auto& [vm, daemon] : known) {
        polled_daemon entry{.vm = vm, .state = daemon.state, .reply = {}, .refused_connection = false};
        const auto answer = answers.find(daemon.operators);
        if (answer != answers.end()) {
            const json body = body_of(answer->second);
            entry.refused_connection = answer->second.failure == http_failure::not_connected;
            // Another daemon may have taken over the address, and can't speak for this one.
            if (string_or(body, "vm", "") == vm.value) {
                entry.reply =
                    drain_reply{boolean_or(body, "gives_new_work", true), integer_or(body, "in_flight", 1)};
            }
        }
        asked.push_back(std::move(entry));
    }
    return asked;
}

class drain_watch {
public:
    drain_watch(const tool_options& options, const std::string& target, const drain_wait& wait)
        : options(options), target(target)
    {
        for (const std::string& vm : wait.without) {
            this->without.insert(vm_id(vm));
        }
        for (const std::string& daemon : options.daemons) {
            if (auto address = parse_endpoint(daemon); address.ok()) {
                this->first.insert(*std::move(address));
            }
        }
    }

    drain_progress ask_round()
    {
        answers_by_address answers = ask_all(this->options, this->target, this->addresses());
        for (const auto& [address, answer] : answers) {
            learn_from(this->known, body_of(answer));
        }
        // Daemons met only now are asked in the same round, so that none is left out.
        std::set<endpoint> unasked = this->addresses();
        std::erase_if(unasked, [&](const endpoint& address) { return answers.contains(address); });
        answers.merge(ask_all(this->options, this->target, unasked));
        std::vector<polled_daemon> asked = match(this->known, answers);
        this->add_strangers(asked);
        return assess_drain(asked, this->without);
    }

private:
    // Daemons that the operator named but nobody knows, which may be cut off; they go by their address.
    void add_strangers(std::vector<polled_daemon>& asked) const
    {
        for (const endpoint& address : this->first) {
            const bool is_known = std::ranges::any_of(
                this->known, [&](const auto& entry) { return entry.second.operators == address; });
            if (!is_known) {
                asked.push_back({.vm = vm_id(to_string(address)),
                                 .state = member_state::alive,
                                 .reply = {},
                                 .refused_connection = false});
            }
        }
    }

    [[nodiscard]] std::set<endpoint> addresses() const
    {
        std::set<endpoint> all = this->first;
        for (const auto& [vm, daemon] : this->known) {
            if (daemon.operators.port != 0) {
                all.insert(daemon.operators);
            }
        }
        return all;
    }

    const tool_options& options;
    const std::string& target;
    std::set<vm_id> without;
    std::set<endpoint> first;
    known_daemons known;
};

std::string missing_text(const drain_progress& progress)
{
    std::string text;
    for (const blocking_daemon& each : progress.blocking) {
        absl::StrAppend(&text, text.empty() ? "" : ",", each.vm.value, ":",
                        std::string(to_string(each.blocker)));
    }
    return text;
}

void print_progress(const tool_options& options, const std::string& target, const std::string& event,
                    const drain_progress& progress)
{
    if (options.output == "json") {
        std::cout << dump({{"event", event},
                           {"target", target},
                           {"confirmed", progress.confirmed},
                           {"in_flight", progress.in_flight},
                           {"missing", missing_text(progress)}})
                  << std::endl;
        return;
    }
    std::cout << event << " target=" << target << " confirmed=" << progress.confirmed
              << " in_flight=" << progress.in_flight << " missing=" << missing_text(progress) << std::endl;
}

} // namespace

void add_wait_options(CLI::App& drain, drain_wait& wait)
{
    drain.add_flag("--wait", wait.wanted, "Wait until the target is safe to stop");
    drain.add_option("--timeout", wait.timeout_seconds, "Longest wait in seconds")
        ->check(CLI::PositiveNumber);
    drain.add_option("--without", wait.without,
                     "A VM that is gone for good and need not confirm; repeat for more");
}

int await_drained(const tool_options& options, const std::string& target, const drain_wait& wait)
{
    constexpr std::int64_t ms_per_second = 1000;
    const time_point end = event_loop::now() + milliseconds{wait.timeout_seconds * ms_per_second};
    drain_watch watch(options, target, wait);
    while (true) {
        const drain_progress progress = watch.ask_round();
        if (progress.safe_to_stop()) {
            print_progress(options, target, "safe_to_stop", progress);
            return exit_ok;
        }
        if (event_loop::now() >= end) {
            print_progress(options, target, "not_confirmed", progress);
            return exit_not_confirmed;
        }
        print_progress(options, target, "waiting", progress);
        std::this_thread::sleep_for(std::chrono::milliseconds(pause_between_rounds.count));
    }
}

} // namespace dandelionstep
