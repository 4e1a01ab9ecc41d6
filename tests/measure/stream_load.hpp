#pragma once

#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dandelionstep::testing {

//! One question's way to its whole answer, as its caller saw it.
struct stream_record {
    std::string prompt;
    //! The router's names of the requests that were made for it; more than one if it was asked again.
    std::vector<std::string> requests;
    //! When the caller first had each token.
    std::vector<time_point> arrivals;
    std::int64_t asked = 0;
    bool whole = false;
    bool lost = false;
    bool doubled = false;
};

//! What a load consists of.
struct load_plan {
    endpoint to;
    int streams = 0;
    std::int64_t tokens = 0;
    //! Whether a caller asks its whole question again when its stream breaks.
    bool asks_again = false;
};

//! Keeps a number of streams open from a thread of its own, and checks each token against the single
//! machine's.
class stream_load {
public:
    explicit stream_load(const load_plan& plan);
    ~stream_load();
    stream_load(const stream_load&) = delete;
    stream_load& operator=(const stream_load&) = delete;
    stream_load(stream_load&&) = delete;
    stream_load& operator=(stream_load&&) = delete;

    //! Begins no further question and waits until all that were asked are answered.
    void finish();
    //! A copy of all records so far.
    std::vector<stream_record> records();

private:
    class caller;

    void run();

    load_plan plan;
    std::mutex guard;
    std::vector<std::shared_ptr<stream_record>> all;
    std::atomic<bool> finishing = false;
    std::thread thread;
};

} // namespace dandelionstep::testing
