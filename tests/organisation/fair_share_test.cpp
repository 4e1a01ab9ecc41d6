#include "organisation/fair_share.hpp"

#include "absl/strings/str_cat.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace dandelionstep;

namespace {

struct service_counts {
    double asked = 0;
    double served = 0;
    //! Requests refused before any target was tried.
    double held_back = 0;
};

//! A service with a number of slots. Each served request occupies one for some seconds, first come, first
//! served.
class loaded_service {
public:
    explicit loaded_service(bool has_rule) : has_rule(has_rule) {}

    //! Enough for sixty requests per second.
    std::size_t slots = 180;
    //! Requests per second of each organisation.
    std::map<std::string, double> load;
    std::map<std::string, service_counts> counts;

    void run_for(milliseconds span)
    {
        for (std::int64_t ms = 0; ms < span.count; ++ms) {
            this->now = this->now + milliseconds{1};
            while (!this->busy_until.empty() && this->busy_until.top() <= this->now) {
                this->busy_until.pop();
            }
            for (const auto& [name, requests_per_second] : this->load) {
                if (this->draw() < requests_per_second / 1'000) {
                    this->handle_request(name);
                }
            }
        }
    }

    [[nodiscard]] double served_fraction(const std::string& name) const
    {
        const service_counts& one = this->counts.at(name);
        return one.served / one.asked;
    }

    [[nodiscard]] double served() const
    {
        double sum = 0;
        for (const auto& [name, one] : this->counts) {
            sum += one.served;
        }
        return sum;
    }

private:
    static constexpr double least_ms = 1'000;
    static constexpr double most_ms = 5'000;

    double draw() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void handle_request(const std::string& name)
    {
        const organisation_id organisation(name);
        service_counts& count = this->counts[name];
        ++count.asked;
        note_organisation_request(this->share, organisation, this->now);
        if (this->has_rule && this->draw() >= admitted_fraction(this->share, organisation, this->now)) {
            ++count.held_back;
            return;
        }
        if (this->busy_until.size() >= this->slots) {
            note_overload(this->share, this->now);
            return;
        }
        const double duration = least_ms + (most_ms - least_ms) * this->draw();
        this->busy_until.push(this->now + milliseconds{static_cast<std::int64_t>(duration)});
        ++count.served;
        note_accepted(this->share, this->now);
    }

    bool has_rule;
    fair_share share;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> busy_until;
    time_point now{10'000};
    std::mt19937_64 random{11};
};

std::map<std::string, double> nine_usual_organisations(double requests_per_second)
{
    std::map<std::string, double> load;
    for (int i = 0; i < 9; ++i) {
        load[absl::StrCat("usual-", i)] = requests_per_second;
    }
    return load;
}

double least_served_fraction(const loaded_service& service)
{
    double least = 1;
    for (int i = 0; i < 9; ++i) {
        least = std::min(least, service.served_fraction(absl::StrCat("usual-", i)));
    }
    return least;
}

double held_back(const loaded_service& service)
{
    double sum = 0;
    for (const auto& [name, count] : service.counts) {
        sum += count.held_back;
    }
    return sum;
}

} // namespace

// Guards against one organisation crowding out the others when it sends many times its usual load, more than
// the service has capacity for.
TEST_CASE("organisations with few requests are served while one floods the service; without the rule they "
          "are not")
{
    loaded_service by_rule(true);
    loaded_service without(false);
    for (loaded_service* service : {&by_rule, &without}) {
        service->load = nine_usual_organisations(4);
        service->load["flood"] = 120;
        service->run_for({3'000});
        service->counts.clear();
        service->run_for({20'000});
    }
    MESSAGE("least served fraction ", least_served_fraction(by_rule), ", without the rule ",
            least_served_fraction(without));
    CHECK(least_served_fraction(by_rule) >= 0.75);
    CHECK(least_served_fraction(by_rule) >= 2 * least_served_fraction(without));
    CHECK(by_rule.served() >= 0.95 * without.served());
}

TEST_CASE(
    "while the service has capacity for all, no request is held back, however many one organisation sends")
{
    loaded_service service(true);
    service.slots = 600;
    service.load = nine_usual_organisations(4);
    service.load["flood"] = 100;
    service.run_for({20'000});
    CHECK(held_back(service) == 0);
}

TEST_CASE("the only organisation that sends requests is never held back")
{
    loaded_service by_rule(true);
    loaded_service without(false);
    for (loaded_service* service : {&by_rule, &without}) {
        service->load["alone"] = 150;
        service->run_for({20'000});
    }
    CHECK(by_rule.counts.at("alone").held_back == 0);
    CHECK(by_rule.served() >= 0.95 * without.served());
}

TEST_CASE("an organisation that sends less than an equal part is hardly ever held back")
{
    loaded_service service(true);
    service.load = nine_usual_organisations(2);
    service.load["flood"] = 120;
    service.load["other"] = 30;
    service.run_for({20'000});
    CHECK(service.counts.at("flood").held_back > 0);
    for (int i = 0; i < 9; ++i) {
        const service_counts& one = service.counts.at(absl::StrCat("usual-", i));
        CHECK(one.held_back <= one.asked / 50);
    }
}

TEST_CASE("soon after a flood no organisation is held back")
{
    loaded_service service(true);
    service.load = nine_usual_organisations(4);
    service.load["flood"] = 120;
    service.run_for({10'000});
    service.load["flood"] = 4;
    service.run_for({2'500});
    service.counts.clear();
    service.run_for({10'000});
    CHECK(held_back(service) == 0);
}

TEST_CASE("within two seconds of the end of an outage, a service serves nearly all requests again")
{
    loaded_service service(true);
    service.load = nine_usual_organisations(5);
    service.run_for({5'000});
    service.slots = 0;
    service.run_for({6'000});
    service.slots = 180;
    service.run_for({2'000});
    service.counts.clear();
    service.run_for({5'000});
    CHECK(least_served_fraction(service) >= 0.95);
}

TEST_CASE("organisations that send more than their share get equal shares, beside a small one that is served")
{
    loaded_service service(true);
    service.load = {{"small", 10}, {"large-1", 80}, {"large-2", 160}};
    service.run_for({3'000});
    service.counts.clear();
    service.run_for({30'000});
    const double first = service.counts.at("large-1").served;
    const double second = service.counts.at("large-2").served;
    CHECK(service.served_fraction("small") >= 0.75);
    CHECK(first >= 0.75 * second);
    CHECK(second >= 0.75 * first);
}

TEST_CASE("after a single refused request no organisation is held back")
{
    fair_share share;
    time_point now{10'000};
    for (int i = 0; i < 40; ++i) {
        now = now + milliseconds{100};
        for (const char* name : {"a", "a", "b"}) {
            note_organisation_request(share, organisation_id(name), now);
            if (i == 20) {
                note_overload(share, now);
            } else {
                note_accepted(share, now);
            }
            CHECK(admitted_fraction(share, organisation_id(name), now) == 1);
        }
    }
}

TEST_CASE("a flood long ago does not hold back requests, even if none were sent since")
{
    fair_share share;
    const time_point flood{10'000};
    for (std::int64_t i = 0; i < 200; ++i) {
        const time_point now = flood + milliseconds{i * 20};
        note_organisation_request(share, organisation_id("a"), now);
        if (i % 2 == 0) {
            note_accepted(share, now);
        } else {
            note_overload(share, now);
        }
    }
    const time_point later = flood + milliseconds{60'000};
    for (int i = 0; i < 300; ++i) {
        note_organisation_request(share, organisation_id("a"), later);
        note_organisation_request(share, organisation_id("b"), later);
    }
    CHECK(admitted_fraction(share, organisation_id("a"), later) == 1);
}
