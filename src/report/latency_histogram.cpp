#include "report/latency_histogram.hpp"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace dandelionstep {

struct latency_histogram::bin_counts {
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> by_bin =
        boost::histogram::make_histogram_with(storage(), axis(bins, least_ms, most_ms));
};

latency_histogram::latency_histogram() : counts(std::make_unique<bin_counts>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&& other) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&& other) noexcept = default;

latency_histogram::latency_histogram(const latency_histogram& other)
    : counts(std::make_unique<bin_counts>(*other.counts)), total_ms(other.total_ms)
{}

latency_histogram& latency_histogram::operator=(const latency_histogram& other)
{
    *this = latency_histogram(other);
    return *this;
}

void latency_histogram::add(milliseconds time)
{
    // The logarithm of 0 is off the axis, so times are held within it.
    const double value = std::clamp(static_cast<double>(time.count), least_ms, most_ms * (1 - 1e-9));
    this->counts->by_bin(value);
    this->total_ms += static_cast<double>(time.count);
}

void latency_histogram::merge(const latency_histogram& other)
{
    this->counts->by_bin += other.counts->by_bin;
    this->total_ms += other.total_ms;
}

std::int64_t latency_histogram::count() const
{
    std::uint64_t total = 0;
    for (const std::uint64_t bin : this->counts->by_bin) {
        total += bin;
    }
    return static_cast<std::int64_t>(total);
}

double latency_histogram::quantile_ms(double quantile) const
{
    const auto wanted = quantile * static_cast<double>(this->count());
    double seen = 0;
    for (int i = 0; i < bins; ++i) {
        seen += static_cast<double>(this->counts->by_bin.at(i));
        if (seen > 0 && seen >= wanted) {
            return this->counts->by_bin.axis().bin(i).upper();
        }
    }
    return 0;
}

std::int64_t latency_histogram::count_up_to(milliseconds limit) const
{
    std::uint64_t within = 0;
    for (int i = 0;
         i < bins && this->counts->by_bin.axis().bin(i).upper() <= static_cast<double>(limit.count); ++i) {
        within += this->counts->by_bin.at(i);
    }
    return static_cast<std::int64_t>(within);
}

std::string latency_histogram::to_prometheus(const std::string& name, const std::string& labels) const
{
    // Every fifth boundary is enough for a plot and keeps the page small.
    constexpr int bins_per_line = 5;
    constexpr double ms_per_second = 1000;
    const std::string separator = labels.empty() ? "" : ",";
    std::string text;
    std::uint64_t cumulative = 0;
    for (int i = 0; i < bins; ++i) {
        cumulative += this->counts->by_bin.at(i);
        if ((i + 1) % bins_per_line == 0) {
            absl::StrAppend(&text, name, "_bucket{", labels, separator, "le=\"",
                            this->counts->by_bin.axis().bin(i).upper() / ms_per_second, "\"} ", cumulative,
                            "\n");
        }
    }
    absl::StrAppend(&text, name, "_bucket{", labels, separator, "le=\"+Inf\"} ", cumulative, "\n");
    absl::StrAppend(&text, name, "_sum{", labels, "} ", this->total_ms / ms_per_second, "\n");
    absl::StrAppend(&text, name, "_count{", labels, "} ", cumulative, "\n");
    return text;
}

} // namespace dandelionstep
