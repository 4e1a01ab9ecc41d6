#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace dandelionstep {

//! Counts of times on a logarithmic axis; histograms of all daemons have the same axis, so they can be added.
class latency_histogram {
public:
    //! Times below the first or above the last boundary are counted there.
    static constexpr double least_ms = 0.5;
    static constexpr double most_ms = 120'000;
    static constexpr int bins = 60;

    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram& other);
    latency_histogram& operator=(const latency_histogram& other);
    latency_histogram(latency_histogram&& other) noexcept;
    latency_histogram& operator=(latency_histogram&& other) noexcept;

    void add(milliseconds time);
    void merge(const latency_histogram& other);
    [[nodiscard]] std::int64_t count() const;
    [[nodiscard]] double sum_ms() const { return this->total_ms; }
    //! The upper boundary of the bin that holds the quantile (0 to 1), in milliseconds; 0 when empty.
    [[nodiscard]] double quantile_ms(double quantile) const;
    //! Times that were at most the boundary at or below `limit`.
    [[nodiscard]] std::int64_t count_up_to(milliseconds limit) const;

    //! The histogram as a Prometheus histogram in seconds; labels are written as given.
    [[nodiscard]] std::string to_prometheus(const std::string& name, const std::string& labels) const;

private:
    // Boost.Histogram's headers stay out of this one.
    struct bin_counts;

    std::unique_ptr<bin_counts> counts;
    double total_ms = 0;
};

} // namespace dandelionstep
