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
    //! Refused before any target was tried.
    double held_back = 0;
};

//! A service of so many places, each taken for some seconds, whoever asks first.
class loaded_service {
public:
    explicit loaded_service(bool has_rule) : has_rule(has_rule) {}

    //! For sixty requests a second.
    std::size_t places = 180;
    //! Requests a second of each organisation.
    std::map<std::string, double> load;
    std::map<std::string, service_counts> counts;

    void run_for(milliseconds span)
    {
        for (std::int64_t ms = 0; ms < span.count; ++ms) {
            this->now = this->now + milliseconds{1};
            while (!this->taken_until.empty() && this->taken_until.top() <= this->now) {
                this->taken_until.pop();
            }
            for (const auto& [name, per_s] : this->load) {
                if (this->draw() < per_s / 1'000) {
                    this->take(name);
                }
            }
        }
    }

    [[nodiscard]] double served_part(const std::string& name) const
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

    void take(const std::string& name)
    {
        const organisation_id organisation(name);
        service_counts& count = this->counts[name];
        ++count.asked;
        note_organisation_request(this->share, organisation, this->now);
        if (this->has_rule && this->draw() >= admitted_fraction(this->share, organisation, this->now)) {
            ++count.held_back;
            return;
        }
        if (this->taken_until.size() >= this->places) {
            note_overload(this->share, this->now);
            return;
        }
        const double takes = least_ms + (most_ms - least_ms) * this->draw();
        this->taken_until.push(this->now + milliseconds{static_cast<std::int64_t>(takes)});
        ++count.served;
        note_accepted(this->share, this->now);
    }

    bool has_rule;
    fair_share share;
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>> taken_until;
    time_point now{10'000};
    std::mt19937_64 random{11};
};

std::map<std::string, double> nine_usual_ones(double per_s)
{
    std::map<std::string, double> load;
    for (int i = 0; i < 9; ++i) {
        load[absl::StrCat("usual-", i)] = per_s;
    }
    return load;
}

double least_served_part(const loaded_service& service)
{
    double least = 1;
    for (int i = 0; i < 9; ++i) {
        least = std::min(least, service.served_part(absl::StrCat("usual-", i)));
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

// The load that it answers: one organisation sends many times its usual, and there is no room for all of it.
TEST_CASE("organisations that ask for little are served while one floods the service, without the rule they "
          "are not")
{
    loaded_service by_rule(true);
    loaded_service without(false);
    for (loaded_service* service : {&by_rule, &without}) {
        service->load = nine_usual_ones(4);
        service->load["flood"] = 120;
        service->run_for({3'000});
        service->counts.clear();
        service->run_for({20'000});
    }
    MESSAGE("least served part ", least_served_part(by_rule), ", without the rule ",
            least_served_part(without));
    CHECK(least_served_part(by_rule) >= 0.75);
    CHECK(least_served_part(by_rule) >= 2 * least_served_part(without));
    CHECK(by_rule.served() >= 0.95 * without.served());
}

TEST_CASE("while there is room for all nobody is held back, however much one asks for")
{
    loaded_service service(true);
    service.places = 600;
    service.load = nine_usual_ones(4);
    service.load["flood"] = 100;
    service.run_for({20'000});
    CHECK(held_back(service) == 0);
}

TEST_CASE("an organisation that is alone is never held back")
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

TEST_CASE("who asks for less than an even part is hardly ever held back")
{
    loaded_service service(true);
    service.load = nine_usual_ones(2);
    service.load["flood"] = 120;
    service.load["other"] = 30;
    service.run_for({20'000});
    CHECK(service.counts.at("flood").held_back > 0);
    for (int i = 0; i < 9; ++i) {
        const service_counts& one = service.counts.at(absl::StrCat("usual-", i));
        CHECK(one.held_back <= one.asked / 50);
    }
}

TEST_CASE("soon after a flood is over nobody is held back")
{
    loaded_service service(true);
    service.load = nine_usual_ones(4);
    service.load["flood"] = 120;
    service.run_for({10'000});
    service.load["flood"] = 4;
    service.run_for({2'500});
    service.counts.clear();
    service.run_for({10'000});
    CHECK(held_back(service) == 0);
}

TEST_CASE("a service that was away is filled again within two seconds of its return")
{
    loaded_service service(true);
    service.load = nine_usual_ones(5);
    service.run_for({5'000});
    service.places = 0;
    service.run_for({6'000});
    service.places = 180;
    service.run_for({2'000});
    service.counts.clear();
    service.run_for({5'000});
    CHECK(least_served_part(service) >= 0.95);
}

TEST_CASE("who asks for more than its share gets that share, and two such ones the same")
{
    loaded_service service(true);
    service.load = {{"small", 10}, {"large-1", 80}, {"large-2", 160}};
    service.run_for({3'000});
    service.counts.clear();
    service.run_for({30'000});
    const double first = service.counts.at("large-1").served;
    const double second = service.counts.at("large-2").served;
    CHECK(service.served_part("small") >= 0.75);
    CHECK(first >= 0.75 * second);
    CHECK(second >= 0.75 * first);
}

TEST_CASE("a single request without room holds nobody back")
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

TEST_CASE("a flood of long ago holds nobody back, also when nobody has asked since")
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
