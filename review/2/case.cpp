// One part of a prompt crashes each engine that begins to write an answer on it. It stands behind a long
// history.
#include "../tools/world.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace {

using namespace review;

constexpr int machines = 2;
constexpr int engines = 8;
constexpr int history_parts = 70;
constexpr const char* deadly_id = "7d0c11aa";
constexpr std::int64_t stability_ms = 3'000;
constexpr std::int64_t usual_ms = 8'000;
constexpr std::int64_t deadly_ms = 40'000;
constexpr std::int64_t sound_interval = 250;
constexpr std::int64_t deadly_interval = 400;

// What replicas see: arrivals of requests with the deadly part, and crashes.
struct sightings {
    std::mutex guard;
    std::vector<std::int64_t> arrivals;
    std::vector<std::int64_t> crashes;

    [[nodiscard]] int arrivals_beyond_bound()
    {
        const std::lock_guard<std::mutex> locked(this->guard);
        constexpr std::size_t fifth = 4;
        if (this->crashes.size() <= fifth) {
            return 0;
        }
        const std::int64_t from = this->crashes[fifth] + stability_ms;
        return static_cast<int>(std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                              [from](auto at) { return at > from; }));
    }
};

// The parts of one session so far.
std::string history()
{
    constexpr int first_id = 0x5c1e0000;
    std::string parts;
    for (int i = 0; i < history_parts; ++i) {
        parts += std::to_string(first_id + i) + ":8,";
    }
    return parts;
}

class traffic {
public:
    explicit traffic(const std::vector<std::unique_ptr<daemon_process>>& daemons_in) : daemons(daemons_in) {}

    void send(const std::string& kind, const std::string& parts)
    {
        const int number = ++this->numbers;
        const daemon_place& at = this->daemons[static_cast<std::size_t>(number % machines)]->at();
        ++this->open;
        std::thread([this, kind, parts, number, &at] {
            const std::string attempt = kind + std::to_string(number);
            const auto to = connection::open(at.address, at.callers);
            message answer;
            const bool is_served =
                to && to->write(draft_request(attempt, parts + std::to_string(number) + ":250")) &&
                to->read_response(answer, 20'000) && answer.status == 200;
            if (kind == "sound") {
                ++(is_served ? this->served : this->failed);
            }
            --this->open;
        }).detach();
    }

    void await_all() const
    {
        while (this->open > 0) {
            sleep_ms(20);
        }
    }

    std::atomic<int> served{0};
    std::atomic<int> failed{0};

private:
    const std::vector<std::unique_ptr<daemon_process>>& daemons;
    std::atomic<int> numbers{0};
    std::atomic<int> open{0};
};

int run(const std::string& path, const std::string& folder, bool has_trouble)
{
    record_file record(path);
    sightings seen;
    row_store store;
    std::vector<std::unique_ptr<engine>> pool;
    pool.reserve(engines);
    for (int i = 0; i < engines; ++i) {
        pool.push_back(std::make_unique<engine>(store, "e" + std::to_string(i)));
        pool.back()->on_event = [&](const std::string& what, const message& request) {
            const std::string attempt = request.header("Dandelionstep-Attempt-Id");
            const std::lock_guard<std::mutex> locked(seen.guard);
            if (what == "crashes") {
                seen.crashes.push_back(now_ms());
                record.note("crash " + std::to_string(seen.crashes.size()) + " by " + attempt);
            } else if (attempt.starts_with("deadly")) {
                seen.arrivals.push_back(now_ms());
            }
        };
        pool.back()->deadly_part = has_trouble ? std::string(deadly_id) + ":" : "";
    }
    store.put("op", "config", config_with_engines());
    std::vector<std::unique_ptr<daemon_process>> daemons;
    daemons.reserve(machines);
    for (int i = 0; i < machines; ++i) {
        daemons.push_back(std::make_unique<daemon_process>(place_daemon(i), store.address(), folder));
        daemons.back()->start(true);
    }
    for (const auto& machine : daemons) {
        if (!machine->await_ready(10'000)) {
            return 2;
        }
    }
    sleep_ms(4'000);
    traffic sent(daemons);
    const std::string parts = history();
    const std::int64_t began = now_ms();
    std::int64_t next_sound = began;
    std::int64_t next_deadly = began + usual_ms;
    while (now_ms() - began < usual_ms + deadly_ms) {
        if (now_ms() >= next_sound) {
            sent.send("sound", parts);
            next_sound += sound_interval;
        }
        if (now_ms() >= next_deadly) {
            sent.send("deadly", parts + deadly_id + ":60,");
            next_deadly += deadly_interval;
        }
        sleep_ms(5);
    }
    sent.await_all();
    const int beyond = seen.arrivals_beyond_bound();
    record.note("crashes " + std::to_string(seen.crashes.size()) +
                ", requests with the part that reached replicas " + std::to_string(seen.arrivals.size()) +
                ", of these later than 3 s after the fifth crash " + std::to_string(beyond) +
                "; sound requests served " + std::to_string(sent.served) + ", not served " +
                std::to_string(sent.failed));
    return beyond > 3 ? 1 : 0;
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count < 3) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    return run(arguments[1], arguments[2], trouble == nullptr || std::string(trouble) != "0");
}
