#include "load_plan.hpp"

#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"
#include "common/hash.hpp"
#include "common/json.hpp"

#include <functional>
#include <memory>
#include <random>

namespace dandelionstep::load {
namespace {

constexpr std::string_view event_mark = "data: ";
constexpr milliseconds grace{500};

// Reads the server-sent events of one answer.
class answer_reader {
public:
    answer_reader(answered& into, time_point began) : into(into), began(began) {}

    void take(std::string_view part)
    {
        this->buffer += part;
        std::size_t end = 0;
        while ((end = this->buffer.find('\n')) != std::string::npos) {
            const std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 1);
            if (line.starts_with(event_mark)) {
                this->read_event(line.substr(event_mark.size()));
            }
        }
    }

private:
    void read_event(const std::string& text)
    {
        const auto event = parse_json(text);
        if (!event.ok() || !event->contains("choices")) {
            return;
        }
        const milliseconds now = event_loop::now() - this->began;
        const std::string piece = string_or((*event)["choices"][0]["delta"], "content", "");
        if (!piece.empty()) {
            this->answer += piece;
            this->into.tokens.push_back(now);
            if (this->into.first_token.count < 0) {
                this->into.first_token = now;
            }
        }
        if (event->contains("dandelionstep")) {
            this->into.whole = string_or((*event)["dandelionstep"], "sha256", "") == sha256_hex(this->answer);
        }
    }

    answered& into;
    time_point began;
    std::string buffer;
    std::string answer;
};

class load_runner {
public:
    load_runner(const load_plan& plan, const std::vector<arrival>& trace)
        : plan(plan), http(loop), results(trace.size())
    {
        for (std::size_t i = 0; i < trace.size(); ++i) {
            this->results[i].asked = trace[i];
        }
    }

    std::vector<answered> run()
    {
        this->began = event_loop::now();
        this->send_due();
        const event_loop::timer end = this->loop.run_after(this->plan.duration + this->plan.window + grace,
                                                           [this] { this->loop.stop(); });
        this->loop.run();
        return std::move(this->results);
    }

private:
    void send_due()
    {
        const milliseconds now = event_loop::now() - this->began;
        for (; this->next < this->results.size() && this->results[this->next].asked.at <= now; ++this->next) {
            this->send(this->results[this->next]);
        }
        if (this->next < this->results.size()) {
            this->timer =
                this->loop.run_after(this->results[this->next].asked.at - now, [this] { this->send_due(); });
        }
    }

    void send(answered& result)
    {
        // The stand-in's model answers with as many tokens as the number in brackets says.
        const std::string question = "How long must batch " + std::to_string(this->next) + " cure? [" +
                                     std::to_string(result.asked.tokens) + "]";
        http_request request{.method = "POST", .path = "/v1/chat/completions"};
        request.headers = {{"Content-Type", "application/json"},
                           {"Authorization", "Bearer " + this->plan.token}};
        request.body = dump({{"model", this->plan.model},
                             {"stream", true},
                             {"max_tokens", result.asked.tokens},
                             {"messages", json::array({{{"role", "user"}, {"content", question}}})}});
        request.timeout = this->plan.window;
        auto reader = std::make_shared<answer_reader>(result, this->began);
        this->http.stream(
            this->plan.daemons[result.asked.daemon], std::move(request),
            [reader](std::string_view part) { reader->take(part); },
            [this, &result](const http_result& ended) {
                constexpr int ok_status = 200;
                result.end = event_loop::now() - this->began;
                result.refused = ended.answered() && ended.status != ok_status;
                if (++this->ended == this->results.size()) {
                    this->loop.stop();
                }
            });
    }

    const load_plan& plan;
    event_loop loop;
    http_client http;
    std::vector<answered> results;
    std::size_t next = 0;
    std::size_t ended = 0;
    time_point began;
    event_loop::timer timer;
};

} // namespace

std::vector<arrival> make_trace(const load_plan& plan)
{
    constexpr double ms_per_second = 1000;
    std::mt19937_64 random(plan.seed);
    std::exponential_distribution<double> gap(plan.requests_per_second / ms_per_second);
    std::uniform_int_distribution<std::int64_t> length(plan.least_tokens, plan.most_tokens);
    std::vector<arrival> trace;
    for (double at = gap(random); at < static_cast<double>(plan.duration.count); at += gap(random)) {
        const std::int64_t tokens = length(random);
        trace.push_back({{static_cast<std::int64_t>(at)}, trace.size() % plan.daemons.size(), tokens});
    }
    return trace;
}

std::vector<answered> run_load(const load_plan& plan, const std::vector<arrival>& trace)
{
    return load_runner(plan, trace).run();
}

} // namespace dandelionstep::load
