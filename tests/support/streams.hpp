#pragma once

#include "support/cluster.hpp"

#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace dandelionstep::testing {

//! Streamed answers that run beside a test.
class running_streams {
public:
    running_streams() = default;
    ~running_streams();
    running_streams(const running_streams&) = delete;
    running_streams& operator=(const running_streams&) = delete;
    running_streams(running_streams&&) = delete;
    running_streams& operator=(running_streams&&) = delete;

    //! Asks for an answer of `tokens` tokens.
    void add(cluster& running, std::size_t daemon, const std::string& prompt, std::int64_t tokens);
    //! Waits for all; returns how many were not answered whole and right.
    int count_failed();

private:
    struct stream {
        std::string expected;
        std::string answer;
        std::thread thread;
    };
    std::vector<std::unique_ptr<stream>> streams;
};

//! The attempts of which a target has run a step, as request id and attempt number.
std::set<std::pair<std::string, std::int64_t>> attempts_at(cluster& running, const std::string& target);

} // namespace dandelionstep::testing
