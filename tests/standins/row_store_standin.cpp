#include "row_store_standin.hpp"

#include "adapters/http_server.hpp"
#include "common/json.hpp"
#include "faults.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace dandelionstep::standins {
namespace {

constexpr int status_ok = 200;
constexpr int status_forbidden = 403;
constexpr int status_gone = 410;
constexpr int status_conflict = 412;
constexpr int status_unavailable = 503;
constexpr std::int64_t most_rows = 500;

struct row_name {
    std::string table;
    std::string part;
    std::string key;

    friend bool operator<(const row_name& a, const row_name& b)
    {
        return std::tie(a.table, a.part, a.key) < std::tie(b.table, b.part, b.key);
    }
};

struct kept_row {
    std::string value;
    std::int64_t version = 0;
};

struct feed_change {
    row_name name;
    std::int64_t version = 0;
    //! When it was made, and the row before it.
    time_point at;
    std::optional<kept_row> before;
};

struct waiting_feed {
    std::string table;
    std::int64_t after = 0;
    std::shared_ptr<http_reply> reply;
    event_loop::timer timeout;
};

std::int64_t number_of(const received_request& request, const char* name)
{
    return std::strtoll(request.parameter(name).c_str(), nullptr, 10);
}

row_name name_in(const json& object)
{
    return {string_or(object, "Table", ""), string_or(object, "part", ""), string_or(object, "Key", "")};
}

class row_store {
public:
    explicit row_store(const row_store_options& options_in)
        : options(options_in),
          server(loop, [this](const received_request& request, const std::shared_ptr<http_reply>& reply) {
              this->receive(request, reply);
          })
    {}

    absl::Status run()
    {
        const auto port = this->server.listen(this->options.listen);
        if (!port.ok()) {
            return port.status();
        }
        for (int i = 2; i <= this->options.addresses; ++i) {
            const auto also = this->server.listen({absl::StrCat("127.0.0.", i), *port});
            if (!also.ok()) {
                return also.status();
            }
        }
        std::cout << "port=" << *port << std::endl;
        const event_loop::timer terminate = this->loop.on_signal(SIGTERM, [this] { this->loop.stop(); });
        this->loop.run();
        return absl::OkStatus();
    }

private:
    void receive(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        if (this->faults.handle(request, reply)) {
            if (const std::int64_t age = this->faults.take_number("restore_ms"); age > 0) {
                this->restore(milliseconds{age});
            }
            return;
        }
        if (this->faults.take("forget")) {
            this->history.clear();
            this->oldest_known = this->counter;
        }
        if (request.path == "/calls") {
            reply->send(status_ok, dump({{"count", this->daemons_calls}}));
            return;
        }
        // Operators and replicas reach the store whatever befalls the daemons' calls.
        const bool is_outside = !request.header("Writer").empty();
        this->daemons_calls += is_outside ? 0 : 1;
        if (!is_outside && this->faults.on("reset")) {
            reply->drop();
            return;
        }
        if (!is_outside && this->faults.on("silent")) {
            this->unanswered.push_back(reply);
            return;
        }
        const bool is_list =
            request.path == "/rows-get" && !request.parameter("Table").starts_with("dandelionstep");
        const bool is_busy = this->faults.lists("busy_at", request.header("Host")) ||
                             this->faults.on("busy") || (is_list && this->faults.on("lists_busy"));
        if (!is_outside && is_busy) {
            this->tell_era(reply);
            reply->send(status_unavailable, "{}");
            return;
        }
        this->after({is_outside ? 0 : this->faults.number("delay_ms")},
                    [this, request, reply] { this->answer(request, reply); });
    }

    void tell_era(const std::shared_ptr<http_reply>& reply) const
    {
        if (this->options.tells_era) {
            reply->add_header("Store-Era", std::to_string(this->era));
        }
    }

    // Undoes the latest writes. Calls that wait are cut, as the store was away meanwhile.
    void restore(milliseconds age)
    {
        const time_point copied = event_loop::now() - age;
        while (!this->history.empty() && this->history.back().at > copied) {
            const feed_change& change = this->history.back();
            if (change.before) {
                this->rows[change.name] = *change.before;
            } else {
                this->rows.erase(change.name);
            }
            this->history.pop_back();
        }
        this->last_changes.clear();
        for (const feed_change& change : this->history) {
            this->last_changes[change.name] = change.version;
        }
        this->counter = this->history.empty() ? std::max<std::int64_t>(1, this->oldest_known)
                                              : this->history.back().version;
        ++this->era;
        for (const std::shared_ptr<waiting_feed>& feed : this->feeds) {
            feed->reply->drop();
        }
        this->feeds.clear();
    }

    void after(milliseconds pause, const event_loop::callback& run)
    {
        if (pause.count <= 0) {
            run();
            return;
        }
        auto timer = std::make_shared<event_loop::timer>();
        *timer = this->loop.run_after(pause, [run, timer] {
            *timer = {};
            run();
        });
    }

    void answer(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        this->tell_era(reply);
        if (request.path == "/rows-get") {
            this->get(request, reply);
        } else if (request.path == "/rows-feed") {
            this->feed(request, reply);
        } else if (request.path == "/rows-tx") {
            this->write(request, reply);
        } else {
            reply->send(404, "{}");
        }
    }

    [[nodiscard]] json row_json(const row_name& name) const
    {
        const auto found = this->rows.find(name);
        json row = {{"Table", name.table}, {"part", name.part}, {"Key", name.key}};
        if (found == this->rows.end()) {
            row["Tombstone"] = true;
            return row;
        }
        row["Value"] = found->second.value;
        row["ApiVersion"] = found->second.version;
        return row;
    }

    [[nodiscard]] std::string rows_text(const json& found, bool has_more = false) const
    {
        return dump({{"Rows", found},
                     {"HasMore", has_more},
                     {"ApiVersion", this->counter},
                     {"CurrentTimeMs", event_loop::now().count}});
    }

    // Changes go on after the last one of an answer that is full, which does not say that it is.
    [[nodiscard]] std::string changes_text(const json& found) const
    {
        const std::int64_t newest =
            std::ssize(found) < most_rows ? this->counter : integer_or(found.back(), "ApiVersion", 0);
        return dump({{"Rows", found}, {"ApiVersion", newest}, {"CurrentTimeMs", event_loop::now().count}});
    }

    void get(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::int64_t limit = std::clamp<std::int64_t>(number_of(request, "Limit"), 1, most_rows);
        const row_name from{request.parameter("Table"), request.parameter("part"), request.parameter("From")};
        json found = json::array();
        bool has_more = false;
        for (auto at = this->rows.lower_bound(from); at != this->rows.end(); ++at) {
            if (at->first.table != from.table || at->first.part != from.part) {
                break;
            }
            if (static_cast<std::int64_t>(found.size()) == limit) {
                has_more = true;
                break;
            }
            found.push_back(this->row_json(at->first));
        }
        reply->send(status_ok, this->rows_text(found, has_more));
    }

    // The rows of the table that changed after the version, each once, in the order of their last change; as
    // many as an answer holds.
    [[nodiscard]] json changes_of(const std::string& table, std::int64_t after) const
    {
        json found = json::array();
        const auto first = std::ranges::upper_bound(this->history, after, {}, &feed_change::version);
        for (auto change = first; change != this->history.end() && std::ssize(found) < most_rows; ++change) {
            if (change->name.table == table && this->last_changes.at(change->name) == change->version) {
                found.push_back(this->row_json(change->name));
            }
        }
        return found;
    }

    void feed(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const std::string table = request.parameter("Table");
        const std::int64_t after = number_of(request, "AfterRevision");
        if (after < this->oldest_known || after > this->counter) {
            reply->send(status_gone, "{}");
            return;
        }
        const json found = this->changes_of(table, after);
        const milliseconds wait{number_of(request, "WaitMs")};
        if (!found.empty() || wait.count <= 0) {
            reply->send(status_ok, this->changes_text(found));
            return;
        }
        auto waiting = std::make_shared<waiting_feed>();
        waiting->table = table;
        waiting->after = after;
        waiting->reply = reply;
        waiting->timeout = this->loop.run_after(wait, [this, watched = std::weak_ptr(waiting)] {
            if (const auto feed = watched.lock()) {
                feed->reply->send(status_ok, this->changes_text(json::array()));
                std::erase(this->feeds, feed);
            }
        });
        this->feeds.push_back(waiting);
    }

    void write(const received_request& request, const std::shared_ptr<http_reply>& reply)
    {
        const absl::StatusOr<json> body = parse_json(request.body);
        if (!body.ok()) {
            reply->send(400, "{}");
            return;
        }
        const bool is_outside = !request.header("Writer").empty();
        if (!is_outside && this->touches_others(*body)) {
            reply->send(status_forbidden, "{}");
            return;
        }
        const milliseconds late{is_outside ? 0 : this->faults.number("late_ms")};
        if (late.count > 0) {
            this->after(late, [this, body = *body] { this->apply(body); });
            this->unanswered.push_back(reply);
            return;
        }
        const json conflict = this->conflict_in(*body);
        if (!conflict.empty()) {
            reply->send(status_conflict, this->rows_text(conflict));
            return;
        }
        this->apply(*body);
        if (!is_outside && this->faults.take("lose_answers")) {
            reply->drop();
            return;
        }
        reply->send(status_ok, this->rows_text(json::array()));
    }

    [[nodiscard]] static bool touches_others(const json& body)
    {
        for (const char* list : {"Puts", "Remove"}) {
            for (const json& item : body.value(list, json::array())) {
                const std::string table = string_or(item, "Table", "");
                if (table == "op" || table == "servers") {
                    return true;
                }
            }
        }
        return false;
    }

    // The rows of the conditions as they are now, if one of them does not hold.
    [[nodiscard]] json conflict_in(const json& body) const
    {
        json present = json::array();
        bool holds = true;
        for (const json& condition : body.value("ExpectedRevision", json::array())) {
            const auto found = this->rows.find(name_in(condition));
            const std::int64_t version = found == this->rows.end() ? 0 : found->second.version;
            holds = holds && version == integer_or(condition, "ApiVersion", 0);
            if (found != this->rows.end()) {
                present.push_back(this->row_json(found->first));
            } else {
                present.push_back(this->row_json(name_in(condition)));
            }
        }
        return holds ? json::array() : present;
    }

    void apply(const json& body)
    {
        if (!this->conflict_in(body).empty()) {
            return;
        }
        ++this->counter;
        for (const json& put : body.value("Puts", json::array())) {
            const row_name name = name_in(put);
            this->note_change(name);
            this->rows[name] = {string_or(put, "Value", ""), this->counter};
        }
        for (const json& removal : body.value("Remove", json::array())) {
            if (this->rows.contains(name_in(removal))) {
                this->note_change(name_in(removal));
                this->rows.erase(name_in(removal));
            }
        }
        this->wake_feeds();
    }

    void note_change(const row_name& name)
    {
        const auto found = this->rows.find(name);
        std::optional<kept_row> before;
        if (found != this->rows.end()) {
            before = found->second;
        }
        this->history.push_back({name, this->counter, event_loop::now(), std::move(before)});
        this->last_changes[name] = this->counter;
    }

    void wake_feeds()
    {
        std::vector<std::shared_ptr<waiting_feed>> still;
        for (const std::shared_ptr<waiting_feed>& feed : this->feeds) {
            const json found = this->changes_of(feed->table, feed->after);
            if (found.empty()) {
                still.push_back(feed);
            } else {
                feed->reply->send(status_ok, this->changes_text(found));
            }
        }
        this->feeds = std::move(still);
    }

    row_store_options options;
    event_loop loop;
    fault_switches faults;
    http_server server;
    std::map<row_name, kept_row> rows;
    //! By rising version.
    std::vector<feed_change> history;
    //! The version of each row's last change.
    std::map<row_name, std::int64_t> last_changes;
    std::vector<std::shared_ptr<waiting_feed>> feeds;
    std::vector<std::shared_ptr<http_reply>> unanswered;
    std::int64_t daemons_calls = 0;
    std::int64_t counter = 1;
    std::int64_t era = 1;
    // Changes up to this version can no longer be asked for.
    std::int64_t oldest_known = 0;
};

} // namespace

absl::Status run_row_store(const row_store_options& options)
{
    return row_store(options).run();
}

} // namespace dandelionstep::standins
