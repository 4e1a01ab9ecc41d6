#include "common/json.hpp"
#include "soak/fault_run.hpp"

#include "absl/strings/str_cat.h"
#include "support/cluster.hpp"

#include <csignal>

namespace dandelionstep::soak {
namespace {

using namespace dandelionstep::testing;

// Longest that a single fault lasts.
constexpr int most_fault_ms = 2'500;

json sound_store()
{
    return {{"busy", false},     {"reset", false}, {"silent", false},
            {"lose_answers", 0}, {"late_ms", 0},   {"delay_ms", 0}};
}

} // namespace

// Each action undoes itself after its time, while others begin.
void soak_run::inject()
{
    const auto end = this->began + std::chrono::seconds(this->options.seconds);
    while (std::chrono::steady_clock::now() < end) {
        this->undo_due();
        this->strike();
        this->strike_by_answer();
        if (this->options.repeats_refusals) {
            this->strike_by_copy();
        }
        if (this->options.restores_store) {
            this->strike_by_restore();
        }
        this->tend_until(std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(100 + this->below(600)));
    }
}

void soak_run::later(const std::function<void()>& undo)
{
    const auto at =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(300 + this->below(most_fault_ms - 300));
    this->undos.emplace(at, undo);
}

void soak_run::undo_due()
{
    while (!this->undos.empty() && this->undos.begin()->first <= std::chrono::steady_clock::now()) {
        const std::function<void()> undo = this->undos.begin()->second;
        this->undos.erase(this->undos.begin());
        undo();
    }
}

void soak_run::strike()
{
    switch (this->below(9)) {
    case 0:
    case 1:
        this->strike_link();
        break;
    case 2:
        this->strike_store();
        break;
    case 3:
        this->pause_process();
        break;
    case 4:
        this->kill_daemon(SIGKILL);
        break;
    case 5:
        this->kill_daemon(SIGTERM);
        break;
    case 6:
        this->kill_engine();
        break;
    case 7:
        this->strike_replica();
        break;
    default:
        this->change_config();
        break;
    }
}

void soak_run::strike_link()
{
    auto chosen = this->proxies.begin();
    std::advance(chosen, this->below(this->proxies.size()));
    const auto fault = static_cast<proxy_fault>(1 + this->below(5));
    fault_proxy* proxy = chosen->second.get();
    this->note(absl::StrCat("link ", chosen->first, " ", to_string(fault)));
    proxy->set_fault(fault);
    this->later([proxy] { proxy->set_fault(proxy_fault::none); });
}

void soak_run::strike_store()
{
    static const std::vector<json> faults{{{"busy", true}},      {{"reset", true}},    {{"silent", true}},
                                          {{"lose_answers", 5}}, {{"late_ms", 1'500}}, {{"delay_ms", 300}},
                                          {{"forget", 1}}};
    const json& fault = faults[this->below(faults.size())];
    this->note(absl::StrCat("store ", fault.dump()));
    this->cluster->set_faults("store", fault);
    this->later([this] { this->cluster->set_faults("store", sound_store()); });
}

void soak_run::pause_process()
{
    std::vector<std::string> names = this->cluster->replica_ids();
    for (std::size_t i = 0; i < this->options.daemons; ++i) {
        names.push_back(absl::StrCat("daemon", i));
    }
    const std::string name = this->pick(names);
    this->note(absl::StrCat("pause ", name));
    this->cluster->processes.at(name).signal(SIGSTOP);
    this->later([this, name] { this->cluster->processes.at(name).signal(SIGCONT); });
}

void soak_run::kill_daemon(int signal)
{
    const std::size_t index = this->below(this->options.daemons);
    const std::string name = absl::StrCat("daemon", index);
    if (this->down.contains(name)) {
        return;
    }
    this->note(absl::StrCat(signal == SIGKILL ? "kill " : "stop ", name));
    this->down.insert(name);
    child_process& process = this->cluster->processes.at(name);
    process.signal(SIGCONT);
    process.signal(signal);
    if (signal == SIGKILL) {
        process.wait();
    }
    this->later([this, index, name, signal] {
        child_process& stopped_one = this->cluster->processes.at(name);
        if (signal == SIGTERM) {
            stopped_one.signal(SIGCONT);
            const int status = stopped_one.wait();
            if (status != 0) {
                this->violation(absl::StrCat(name, " ended a planned stop with status ", status));
            }
        }
        this->cluster->start_daemon(index);
        // It may be stopped again as soon as it listens.
        child_process& started = this->cluster->processes.at(name);
        eventually(
            [&] { return accepts_connections(this->cluster->callers_of(index)) || !started.running(); });
        this->down.erase(name);
    });
}

void soak_run::kill_engine()
{
    const std::string id = this->pick(this->engines);
    if (!this->is_sound(id)) {
        return;
    }
    this->note(absl::StrCat("kill ", id));
    this->down.insert(id);
    this->cluster->processes.at(id).kill();
    this->later([this, id] {
        this->cluster->start_replica(id);
        this->down.erase(id);
    });
}

void soak_run::strike_replica()
{
    static const std::vector<json> faults{
        {{"refuse", 3}}, {{"hang", 2}}, {{"drop_answers", 3}}, {{"unsigned", 2}}, {{"draining", true}}};
    const std::string id = this->pick(this->services);
    const json& fault = faults[this->below(faults.size())];
    if (!this->is_sound(id)) {
        return;
    }
    this->note(absl::StrCat("replica ", id, " ", fault.dump()));
    this->cluster->set_faults(id, fault);
    this->later([this, id] {
        if (!this->is_sound(id)) {
            return;
        }
        this->cluster->set_faults(
            id, {{"refuse", 0}, {"hang", 0}, {"drop_answers", 0}, {"unsigned", 0}, {"draining", false}});
    });
}

// Draws of its own, so that a seed's other troubles stay what they were.
void soak_run::strike_by_answer()
{
    std::swap(this->random, this->answer_random);
    switch (this->below(6)) {
    case 0:
        this->have_leave_by_answer();
        break;
    case 1:
        this->have_rest();
        break;
    default:
        break;
    }
    std::swap(this->random, this->answer_random);
}

// A replica that says in its answers alone that it leaves, and is another process when it is back.
void soak_run::have_leave_by_answer()
{
    const std::string id = this->below(2) == 0 ? this->pick(this->engines) : this->pick(this->services);
    if (!this->is_sound(id)) {
        return;
    }
    this->note(absl::StrCat(id, " leaves and says so in its answers"));
    this->cluster->set_faults(id, {{"says_leaving", true}});
    this->later([this, id] {
        if (!this->is_sound(id)) {
            return;
        }
        this->cluster->processes.at(id).kill();
        this->cluster->start_replica(id);
    });
}

// One of them, always the same, asks for far more than it needs.
void soak_run::have_rest()
{
    const std::string id = this->pick(this->services);
    if (!this->is_sound(id)) {
        return;
    }
    const bool is_liar = id == this->services.front();
    this->note(absl::StrCat(id, is_liar ? " asks for a long rest" : " asks for a rest"));
    this->cluster->set_faults(id, {{"rests", is_liar ? 50 : 2}, {"rest_s", is_liar ? "30" : "0.8"}});
    this->later([this, id] {
        if (this->is_sound(id)) {
            this->cluster->set_faults(id, {{"rests", 0}});
        }
    });
}

// Draws of its own as well.
void soak_run::strike_by_copy()
{
    std::swap(this->random, this->copy_random);
    if (this->below(3) == 0) {
        this->have_refusals_repeated();
    }
    std::swap(this->random, this->copy_random);
}

// All plain replicas refuse some requests, and their connections bring the refusals once more.
void soak_run::have_refusals_repeated()
{
    static const std::vector<json> refusals{{{"refuse", 3}}, {{"rests", 1}, {"rest_s", "0.1"}}};
    const json& refusal = refusals[this->below(refusals.size())];
    const proxy_fault copies =
        this->below(2) == 0 ? proxy_fault::repeat_refusals : proxy_fault::repeat_refusals_without_id;
    this->note(absl::StrCat("plain replicas ", refusal.dump(), " ", to_string(copies)));
    for (const std::string& id : this->services) {
        if (this->is_sound(id)) {
            this->cluster->set_faults(id, refusal);
            this->proxies.at(id)->set_fault(copies);
        }
    }
    this->later([this] {
        for (const std::string& id : this->services) {
            this->proxies.at(id)->set_fault(proxy_fault::none);
        }
    });
}

// The operator writes again what the store has lost; replicas do so with their heartbeats.
void soak_run::strike_by_restore()
{
    std::swap(this->random, this->restore_random);
    if (this->below(3) == 0) {
        const std::uint64_t age_ms = 200 + this->below(most_fault_ms);
        this->note(absl::StrCat("store comes back from a copy of ", age_ms, " ms"));
        this->cluster->set_faults("store", {{"restore_ms", age_ms}});
        ++this->result.restores;
        this->later([this] { this->cluster->repeat_config(); });
    }
    std::swap(this->random, this->restore_random);
}

// Each configuration has one more key, and not the one before.
void soak_run::change_config()
{
    ++this->keys;
    this->note(absl::StrCat("configuration with key-", this->keys));
    this->cluster->write_config([this](json& config) {
        config["Tenants"][0]["ApiKeys"] = json::array({entry_key, absl::StrCat("extra-", this->keys)});
    });
}

void soak_run::heal()
{
    this->note("heal");
    while (!this->undos.empty()) {
        const std::function<void()> undo = this->undos.begin()->second;
        this->undos.erase(this->undos.begin());
        undo();
    }
    for (const auto& [name, proxy] : this->proxies) {
        proxy->set_fault(proxy_fault::none);
    }
    this->cluster->set_faults("store", sound_store());
}

} // namespace dandelionstep::soak
